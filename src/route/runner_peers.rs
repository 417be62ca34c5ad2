//! What a request involves of other instances: forwarding to a home or co-home, and notices to them.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Answer;
use super::ProxyRequest;
use super::Router;
use super::ServiceState;
use crate::board::Counter;
use crate::board::EventKind;
use crate::errors::Code;
use crate::member::MemberRow;
use crate::peer::ForwardStage;
use crate::peer::PeerClient;
use crate::peer::PeerError;
use crate::peer::PeerRequest;

/// Added to the deadline of a forwarded request, so that the other instance's final answer arrives
/// before this instance gives up and answers `unknown`.
const FORWARD_GRACE: Duration = Duration::from_millis(20);
/// Timeout of a message about a leaving server.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(500);

impl Router {
    /// Forwards the request to a home. If none can be reached, this instance runs it itself and
    /// uses all servers: it knows less about their load, but the caller gets an answer.
    pub(super) async fn forward_to_home(
        &self,
        state: &ServiceState,
        proxy_request: &ProxyRequest,
    ) -> Answer {
        let mut may_have_run = false;
        for home in &state.homes {
            match self.forward(home, proxy_request, ForwardStage::Home).await {
                // That home does not know the service yet; another one may.
                Ok(answer) if answer.code == Code::UnknownService => {}
                Ok(answer) => return answer.after_earlier_attempts(may_have_run),
                Err(PeerError::ResponseLost) => {
                    self.board.counters.add(Counter::PeerLost);
                    if !proxy_request.idempotent {
                        return Answer::unknown(Code::PeerLost);
                    }
                    may_have_run = true;
                }
                Err(_) => self.board.counters.add(Counter::HomeUnreachable),
            }
        }
        self.run_locally(state, proxy_request).await.after_earlier_attempts(may_have_run)
    }

    /// Forwards a request to another instance and waits for its answer until the deadline.
    pub(super) async fn forward(
        &self,
        to: &MemberRow,
        proxy_request: &ProxyRequest,
        stage: ForwardStage,
    ) -> Result<Answer, PeerError> {
        let head = proxy_request.forward_head(stage);
        let remaining = Duration::from_micros(proxy_request.remaining_us());
        let deadline = Instant::now() + remaining + FORWARD_GRACE;
        let buffer_bytes = self.board.settings.requests.answer_buffer_bytes;
        let forwarded = async {
            let body = &proxy_request.body;
            let reply = self.links.forward(to.peer_address, &head, body, deadline).await?;
            if let Some(state) = self.board.services().get(&proxy_request.service) {
                state.runtime.record_free_slots(to.incarnation, reply.head.free_slots);
                state.runtime.slot_queue.redirect_waiters(reply.head.free_slots);
            }
            Answer::from_peer(reply, buffer_bytes).await
        };
        let answer = tokio::time::timeout_at(deadline, forwarded)
            .await
            .map_err(|_| PeerError::ResponseLost)??;
        self.board.counters.add(Counter::Passed);
        Ok(answer)
    }

    /// A co-home with free slots; or the first co-home, if this home has no usable server: the
    /// request then waits there, at a home that keeps servers. A request that was already forwarded
    /// between homes stays here, so that it cannot loop.
    pub(super) fn choose_co_home(
        &self,
        state: &ServiceState,
        proxy_request: &ProxyRequest,
        own_usable: bool,
    ) -> Option<Arc<MemberRow>> {
        if proxy_request.stage >= ForwardStage::Spill {
            return None;
        }
        let mut others = state.homes.iter().filter(|h| h.incarnation != self.board.incarnation);
        let home = if !own_usable && state.is_home {
            others.next()
        } else {
            others.find(|home| state.runtime.take_free_slot(home.incarnation))
        };
        if home.is_some() {
            self.board.counters.add(Counter::Spilled);
        }
        home.cloned()
    }

    /// Closes a server that announced that it is leaving, and notifies the co-homes.
    pub(super) fn handle_leaving_server(&self, state: &ServiceState, server: &str) {
        let reason = super::CloseReason::SelfReported;
        if !state.runtime.slot_queue.set_closed(server, reason, true) {
            return;
        }
        let service = state.spec.name.clone();
        self.board.record_event(EventKind::ServerLeaving {
            service: service.clone(),
            server: server.into(),
        });
        self.notify_co_homes(state, server, true);
    }

    /// Notifies the co-homes that a server is leaving or back.
    pub fn notify_co_homes(&self, state: &ServiceState, server: &str, leaving: bool) {
        let service = state.spec.name.clone();
        let request = PeerRequest::ServerLeaving { service, server: server.into(), leaving };
        for home in state.homes.iter().filter(|home| home.incarnation != self.board.incarnation) {
            let links = self.links.clone();
            let address = home.peer_address;
            let request = request.clone();
            tokio::spawn(async move {
                // A co-home that misses this learns it from the server's own answers.
                let _ = links.call(address, &request, NOTIFY_TIMEOUT).await;
            });
        }
    }
}
