//! Forwards requests to another instance while this one has no path to the backend servers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderName;
use http::StatusCode;
use log::info;
use rand::seq::SliceRandom;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::Caller;
use super::forward_request::ForwardRequest;
use super::homes::HomesPlan;
use super::homes::all_homes;
use super::memory_budget::MemoryBudget;
use super::peer_forward_head::PeerForwardHead;
use super::peer_forward_head::header_pairs;
use super::reply::LocalReply;
use super::reply::Reply;
use super::reply::ReplyBody;
use super::send::BUFFER_MAX_BYTES;
use crate::board::Blackboard;
use crate::board::Counter;
use crate::clock::now_us;
use crate::errors::Code;
use crate::member::MemberRow;
use crate::peer::ForwardReply;
use crate::peer::Links;
use crate::peer::PeerError;
use crate::route::header_map;

/// Instances that one request is offered to.
const OFFERS_MAX: usize = 3;
/// Added to the deadline, so that the other instance's final reply arrives before this one gives
/// up.
const REPLY_GRACE: Duration = Duration::from_millis(20);

/// What became of a request that was to be forwarded to another instance.
#[derive(Debug)]
pub enum PeerForwardResult {
    /// The other instance's reply.
    Replied(Reply),
    /// The other instance accepted the request, and its reply was lost.
    Lost(Code),
    /// No instance accepted the request; no server got it.
    Declined,
}

/// Forwards requests to instances that reach the servers. Clones share state.
#[derive(Clone, Debug)]
pub struct PeerForwarder {
    pub board: Arc<Blackboard>,
    pub links: Links,
    /// Name of the header with the caller's API key, which never leaves this instance.
    pub api_key: HeaderName,
    /// Memory for buffered responses.
    pub response_memory: Arc<MemoryBudget>,
}

impl PeerForwarder {
    /// Offers a request to a few instances, one after the other, until one accepts it. `sends` is
    /// the number of servers that this instance sent it to.
    pub async fn forward(
        &self,
        request: &ForwardRequest,
        config_version: u64,
        sends: u32,
        counted: bool,
    ) -> PeerForwardResult {
        for peer in self.choose_peers() {
            if request.remaining_ms() == 0 {
                break;
            }
            let head = self.head(request, config_version, sends, counted);
            let began_us = now_us();
            let remaining = Duration::from_micros(head.remaining_us);
            let deadline = Instant::now() + remaining + REPLY_GRACE;
            let offered = self.offer(&peer, &head, &request.body, deadline);
            let result = tokio::time::timeout_at(deadline, offered).await;
            let result = result.unwrap_or(PeerForwardResult::Lost(Code::DeadlineAfterDispatch));
            info!(
                event = "peer-forward", id = request.id_text(), service = &*request.service,
                to = peer.name.as_str(), took_ms = now_us().saturating_sub(began_us) / 1000,
                outcome = result.name(), sends = sends;
                "forwarded to an instance that reaches the servers"
            );
            if !matches!(result, PeerForwardResult::Declined) {
                self.board.counters.add(Counter::Passed);
                return result;
            }
        }
        PeerForwardResult::Declined
    }

    /// Homes that reach servers: those of this zone first, then others, each in random order.
    fn choose_peers(&self) -> SmallVec<[Arc<MemberRow>; OFFERS_MAX]> {
        let view = self.board.members_view();
        let homes = all_homes(&view, HomesPlan::of(&self.board));
        let own = self.board.incarnation;
        let mut peers: Vec<Arc<MemberRow>> =
            homes.into_iter().filter(|row| row.incarnation != own && row.reaches_servers).collect();
        peers.shuffle(&mut rand::rng());
        let zone = &self.board.settings.instance.zone;
        peers.sort_by_key(|row| row.zone != *zone);
        peers.into_iter().take(OFFERS_MAX).collect()
    }

    fn head(
        &self,
        request: &ForwardRequest,
        config_version: u64,
        sends: u32,
        counted: bool,
    ) -> PeerForwardHead {
        let mut headers = request.headers.clone();
        headers.remove(&self.api_key);
        PeerForwardHead {
            method: request.method.as_str().to_owned(),
            path_and_query: request.path_and_query.clone(),
            headers: header_pairs(&headers),
            key: request.caller.as_ref().map(Caller::key),
            fingerprints: request.fingerprints,
            service: request.service.to_string(),
            config_version,
            elapsed_us: now_us().saturating_sub(request.arrived_us),
            spent_before_us: request.spent_before_us,
            remaining_us: request.deadline_us.saturating_sub(now_us()),
            sends,
            counted,
        }
    }

    /// Offers a request to one instance.
    async fn offer(
        &self,
        peer: &MemberRow,
        head: &PeerForwardHead,
        body: &Bytes,
        deadline: Instant,
    ) -> PeerForwardResult {
        match self.links.forward(peer.peer_address, head, body, deadline).await {
            Ok(reply) if reply.head.code == Code::PeerDeclined.number() => {
                PeerForwardResult::Declined
            }
            Ok(reply) => match self.receive(reply).await {
                Ok(reply) => PeerForwardResult::Replied(reply),
                Err(_) => PeerForwardResult::Lost(Code::AnswerTruncated),
            },
            Err(PeerError::ResponseLost) => {
                self.board.counters.add(Counter::PeerLost);
                PeerForwardResult::Lost(Code::PeerLost)
            }
            Err(PeerError::NotSent | PeerError::Refused(_)) => PeerForwardResult::Declined,
        }
    }

    /// Receives a reply. A small body is buffered, so that a truncated one is noticed before any of
    /// it reaches the caller.
    async fn receive(&self, reply: ForwardReply) -> Result<Reply, PeerError> {
        let ForwardReply { head, body } = reply;
        let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let code = Code::from_number(head.code).unwrap_or(Code::PeerFrame);
        if code != Code::Ok {
            let retry_after_ms = (head.retry_after_ms > 0).then_some(head.retry_after_ms);
            return Ok(LocalReply { status, code, retry_after_ms }.into());
        }
        let headers = header_map(&head.headers);
        let bytes = head.body_bytes;
        let expected = bytes.and_then(|bytes| usize::try_from(bytes).ok());
        let mut reservation = self.response_memory.reservation();
        let buffered = expected
            .filter(|expected| *expected <= BUFFER_MAX_BYTES && reservation.try_grow(*expected));
        let Some(expected) = buffered else {
            return Ok(Reply {
                status,
                headers,
                body: ReplyBody::Peer { body, bytes },
                code,
                retry_after_ms: None,
            });
        };
        let mut body = body;
        let mut whole = BytesMut::with_capacity(expected);
        while let Some(bytes) = body.next_bytes().await {
            whole.extend_from_slice(&bytes.map_err(|_| PeerError::ResponseLost)?);
        }
        if whole.len() != expected {
            return Err(PeerError::ResponseLost);
        }
        let bytes = Some(whole.freeze()).filter(|bytes| !bytes.is_empty());
        let body = ReplyBody::Buffered { bytes, _reservation: reservation };
        Ok(Reply { status, headers, body, code, retry_after_ms: None })
    }
}

impl PeerForwardResult {
    /// The name used in logs.
    const fn name(&self) -> &'static str {
        match self {
            Self::Replied(_) => "replied",
            Self::Lost(_) => "lost",
            Self::Declined => "declined",
        }
    }
}
