//! Requests for a service whose servers this instance has lost.

use std::time::Duration;

use super::Dialect;
use super::attempts::Attempts;
use super::forward_request::ForwardRequest;
use super::forwarder::Forwarder;
use super::grant::Grant;
use super::peer_forwarder::PeerForwardResult;
use super::reply::LocalReply;
use super::reply::Reply;
use crate::errors::Code;

/// Longest wait for a check of the paths to the servers.
const REACH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// A check is not repeated for a request within this time, in microseconds: if no instance reaches
/// the servers, requests are refused at once.
const REACH_FRESH_US: u64 = 1_500_000;
/// Retry delay, in milliseconds, if no instance with a path to the servers takes the request.
const NO_PEER_RETRY_MS: u64 = 200;

impl<D: Dialect> Forwarder<D> {
    /// Whether a request that no server here can take may still be forwarded, since the paths to the
    /// servers turn out to be lost.
    pub(super) async fn turns_out_lost(&self, request: &ForwardRequest) -> bool {
        let reach = self.dispatcher.reach();
        let timeout = REACH_CHECK_TIMEOUT.min(Duration::from_millis(request.remaining_ms()));
        request.origin.may_forward()
            && reach.check_lost(&request.service, REACH_FRESH_US, timeout).await
    }

    /// Forwards a request to an instance that reaches the servers, which this one does not.
    pub(super) async fn forward_to_peer(
        &self,
        request: &ForwardRequest,
        attempts: &Attempts,
    ) -> Reply {
        let forwarder = &self.peer_forwarder;
        let Attempts { sends, counted, .. } = *attempts;
        match forwarder.forward(request, self.config_version(), sends, counted).await {
            PeerForwardResult::Replied(reply) if reply.not_run() && attempts.may_have_run => {
                LocalReply::unknown(Code::AnswerLost).into()
            }
            PeerForwardResult::Replied(reply) => reply,
            PeerForwardResult::Lost(code) => LocalReply::unknown(code).into(),
            PeerForwardResult::Declined => {
                attempts.not_run(Code::PeerDeclined, NO_PEER_RETRY_MS).into()
            }
        }
    }

    /// As [`Self::acquire`]; `None` if the servers are lost while the request waits.
    pub(super) async fn acquire_or_lose(
        &self,
        request: &ForwardRequest,
        attempts: &Attempts,
    ) -> Option<Result<Grant, LocalReply>> {
        let acquire = self.acquire(request, attempts);
        if !request.origin.may_forward() {
            return Some(acquire.await);
        }
        tokio::select! {
            biased;
            acquired = acquire => Some(acquired),
            () = self.dispatcher.reach().wait_until_lost(&request.service) => None,
        }
    }

    pub(super) fn config_version(&self) -> u64 {
        self.admission.table.load().as_ref().map_or(0, |table| table.version)
    }
}
