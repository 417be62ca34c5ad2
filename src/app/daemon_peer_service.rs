//! Handles the requests that peers send to a daemon.

use std::net::SocketAddr;

use bytes::Bytes;
use log::warn;

use crate::board::Counter;
use crate::board::EventKind;
use crate::catalog::merge_rows;
use crate::clock::now_ms;
use crate::errors::Code;
use crate::measure::DaemonServerChecker;
use crate::measure::Shard;
use crate::measure::TokenBuckets;
use crate::measure::apply_platform_list;
use crate::measure::grant_tokens;
use crate::member::handle_indirect_ping;
use crate::member::handle_member_request;
use crate::member::handle_witness_request;
use crate::outcome::OwnerSnapshot;
use crate::peer::FixedRoom;
use crate::peer::ForwardHead;
use crate::peer::ForwardReplyHead;
use crate::peer::LoadNote;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::peer::PeerService;
use crate::peer::split_rows;
use crate::reach::ReachAnswerer;
use crate::route::AnswerBody;
use crate::route::CloseReason;
use crate::route::ProxyRequest;
use crate::route::Router;
use crate::route::handle_load_note;

/// The request handler of the peer listener; clones share their state.
#[derive(Clone, Debug)]
pub struct DaemonPeerService {
    pub router: Router,
    pub shard: Shard,
    pub buckets: TokenBuckets,
    pub reach_answerer: ReachAnswerer<DaemonServerChecker>,
}

impl DaemonPeerService {
    /// Replies with the revisions of all services if the peer's digest differs.
    fn compare_digest(&self, digest: u64) -> PeerReply {
        let catalog = self.router.board.catalog.lock();
        if catalog.digest() == digest {
            return PeerReply::Done;
        }
        PeerReply::Summary(catalog.summary())
    }

    /// Records a peer's load and replies with the number of slots free here.
    fn record_load(&self, note: &LoadNote) -> PeerReply {
        let services = self.router.board.services();
        PeerReply::FreeSlots(
            services
                .get(&note.service)
                .map_or(0, |state| handle_load_note(&self.router.board, state, note)),
        )
    }

    /// Closes or reopens a backend server that a peer has seen draining or back.
    fn set_leaving(&self, service: &str, server: &str, leaving: bool) -> PeerReply {
        let board = &self.router.board;
        let Some(state) = board.services().get(service).cloned() else {
            return PeerReply::Done;
        };
        if state.runtime.slot_queue.set_closed(server, CloseReason::SelfReported, leaving) {
            board.record_event(EventKind::server_leaving_changed(service, server, leaving));
        }
        PeerReply::Done
    }

    /// Takes over a part of the outcomes of an instance that is stopping.
    fn adopt(&self, part: OwnerSnapshot, last: bool) -> PeerReply {
        let board = &self.router.board;
        let from = part.incarnation;
        let reported_started_ms = now_ms().saturating_sub(part.uptime_ms);
        // This message may have been delayed, which makes the start computed from its uptime too
        // late; the earlier of both is closer.
        let gossiped_started_ms =
            board.members.lock().started_ms(from).unwrap_or(reported_started_ms);
        let rows = part.rows.len();
        board.outcomes.adopt(part, reported_started_ms.min(gossiped_started_ms), last);
        if last {
            board.record_event(EventKind::Adopted { rows, from });
        }
        PeerReply::Done
    }
}

impl PeerService for DaemonPeerService {
    type ForwardHead = ForwardHead;
    type Body = AnswerBody;
    type Room = FixedRoom;

    async fn handle_control(&self, request: PeerRequest) -> PeerReply {
        let board = &self.router.board;
        match request {
            PeerRequest::Member(request) => handle_member_request(board, request),
            PeerRequest::IndirectPing { target } => {
                handle_indirect_ping(board, &self.router.links, target).await
            }
            PeerRequest::Digest { digest } => self.compare_digest(digest),
            PeerRequest::Changes(rows) => {
                merge_rows(board, rows);
                PeerReply::Done
            }
            // Rows that do not fit into this reply are fetched by the next anti-entropy round.
            PeerRequest::Fetch(names) => {
                let rows = board.catalog.lock().get_many(&names);
                PeerReply::Changes(split_rows(&rows).into_iter().next().unwrap_or_default())
            }
            PeerRequest::Load(note) => self.record_load(&note),
            PeerRequest::ServerLeaving { service, server, leaving } => {
                self.set_leaving(&service, &server, leaving)
            }
            PeerRequest::ServersLeaving(leaving) => {
                apply_platform_list(board, &leaving.into_iter().collect());
                PeerReply::Done
            }
            PeerRequest::Grant(request) => {
                PeerReply::Granted(grant_tokens(board, &self.shard, &self.buckets, &request))
            }
            PeerRequest::Suspects { records, complete } => {
                PeerReply::Suspects(board.quarantine.merge_and_diff(&records, complete))
            }
            PeerRequest::ReachesServers { services } => {
                PeerReply::ReachesServers(self.reach_answerer.answer(&services).await)
            }
            PeerRequest::HandOver { part, last } => self.adopt(part, last),
            PeerRequest::Witness(request) => {
                PeerReply::Witness(handle_witness_request(board, request))
            }
            // Only gateways exchange these.
            PeerRequest::ServerLoads(_)
            | PeerRequest::Feed { .. }
            | PeerRequest::QuotaTokens { .. }
            | PeerRequest::RetryLoan { .. } => PeerReply::Failed(Code::PeerFrame.number()),
        }
    }

    async fn handle_forward(
        &self,
        head: ForwardHead,
        body: Bytes,
    ) -> (ForwardReplyHead, AnswerBody) {
        let board = &self.router.board;
        let service = head.service.clone();
        let in_flight = board.start_request();
        let answer = self.router.handle(ProxyRequest::from_peer(head, body)).await;
        drop(in_flight);
        let services = board.services();
        let free = services
            .get(&service)
            .map_or(0, |state| state.runtime.slot_queue.free_slots_and_waiting().0);
        (answer.reply_head(free), answer.body)
    }

    fn body_room(&self) -> FixedRoom {
        FixedRoom { free_bytes: self.router.board.settings.requests.body_limit_bytes }
    }

    fn connection_refused(&self, from: SocketAddr, why: &str) {
        self.router.board.counters.add(Counter::PeersRefused);
        warn!("{} from {from}: {why}", Code::PeerUnauthenticated);
    }
}
