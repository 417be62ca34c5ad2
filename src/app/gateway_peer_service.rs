//! Handles the requests that peers send to a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use log::warn;

use crate::board::Blackboard;
use crate::board::Counter;
use crate::errors::Code;
use crate::gateway::CountedReplyBody;
use crate::gateway::Dialect;
use crate::gateway::Dispatcher;
use crate::gateway::GatewayServerChecker;
use crate::gateway::MemoryReservation;
use crate::gateway::Mirror;
use crate::gateway::OperatorSink;
use crate::gateway::PeerForwardHandler;
use crate::gateway::PeerForwardHead;
use crate::gateway::QuotaLimiter;
use crate::gateway::ServerSink;
use crate::member::handle_indirect_ping;
use crate::member::handle_member_request;
use crate::peer::Feed;
use crate::peer::FeedResponse;
use crate::peer::ForwardReplyHead;
use crate::peer::Links;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::peer::PeerService;
use crate::reach::ReachAnswerer;

/// Longest time that a long poll of a peer is held open, whatever the peer asks for.
const LONG_POLL_MAX: Duration = Duration::from_secs(5);

/// The request handler of the peer listener; clones share their state.
#[derive(Debug)]
pub struct GatewayPeerService<D> {
    pub board: Arc<Blackboard>,
    pub links: Links,
    pub dispatcher: Dispatcher,
    pub config: Arc<Mirror<OperatorSink<D>>>,
    pub servers: Arc<Mirror<ServerSink<D>>>,
    pub quota_limiter: QuotaLimiter<Links>,
    pub forward_handler: PeerForwardHandler<D>,
    pub reach_answerer: ReachAnswerer<GatewayServerChecker<D>>,
}

impl<D: Clone> Clone for GatewayPeerService<D> {
    fn clone(&self) -> Self {
        Self {
            board: Arc::clone(&self.board),
            links: self.links.clone(),
            dispatcher: self.dispatcher.clone(),
            config: Arc::clone(&self.config),
            servers: Arc::clone(&self.servers),
            quota_limiter: self.quota_limiter.clone(),
            forward_handler: self.forward_handler.clone(),
            reach_answerer: self.reach_answerer.clone(),
        }
    }
}

impl<D> GatewayPeerService<D> {
    /// Lends retries of a service's budget to another instance.
    fn lend_retries(&self, service: &str, wanted: u32) -> u32 {
        let loan = self.dispatcher.lend_retries(service, wanted);
        if loan.granted > 0 {
            self.board.counters.add_many(Counter::RetriesLent, loan.granted.into());
            info!(
                event = "retries-lent", service = service, wanted = wanted, granted = loan.granted,
                allowed = loan.usage.allowed, spent = loan.usage.spent;
                ""
            );
        }
        loan.granted
    }
}

impl<D: Dialect> PeerService for GatewayPeerService<D> {
    type ForwardHead = PeerForwardHead;
    type Body = CountedReplyBody;
    type Room = MemoryReservation;

    async fn handle_control(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Member(request) => handle_member_request(&self.board, request),
            PeerRequest::IndirectPing { target } => {
                handle_indirect_ping(&self.board, &self.links, target).await
            }
            PeerRequest::ServerLoads(loads) => {
                self.dispatcher.record_peer_loads(&loads);
                PeerReply::Done
            }
            PeerRequest::Suspects { records, complete } => {
                PeerReply::Suspects(self.board.quarantine.merge_and_diff(&records, complete))
            }
            PeerRequest::Feed { feed, after, hold_ms } => {
                let hold = Duration::from_millis(hold_ms).min(LONG_POLL_MAX);
                let reply = match feed {
                    Feed::Config => self.config.serve(after, hold).await,
                    Feed::Servers => self.servers.serve(after, hold).await,
                    Feed::SomeServers { zone } => {
                        self.servers.serve_sample(zone, after, hold).await
                    }
                };
                let zone_demand_per_s = self.board.zone_demand_per_s();
                PeerReply::Feed(FeedResponse { zone_demand_per_s, ..reply })
            }
            PeerRequest::QuotaTokens { workspace, wanted_millitokens } => {
                PeerReply::QuotaTokens(self.quota_limiter.lend(&workspace, wanted_millitokens))
            }
            PeerRequest::RetryLoan { service, wanted } => {
                PeerReply::RetryLoan(self.lend_retries(&service, wanted))
            }
            PeerRequest::ReachesServers { services } => {
                PeerReply::ReachesServers(self.reach_answerer.answer(&services).await)
            }
            _ => PeerReply::Failed(Code::PeerFrame.number()),
        }
    }

    async fn handle_forward(
        &self,
        head: PeerForwardHead,
        body: Bytes,
    ) -> (ForwardReplyHead, CountedReplyBody) {
        self.forward_handler.handle(head, body).await
    }

    fn body_room(&self) -> MemoryReservation {
        self.forward_handler.body_room()
    }

    fn connection_refused(&self, from: SocketAddr, why: &str) {
        self.board.counters.add(Counter::PeersRefused);
        warn!("{} from {from}: {why}", Code::PeerUnauthenticated);
    }
}
