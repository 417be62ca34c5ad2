//! Serves requests that another instance forwards because it has no path to the backend servers.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http::Uri;
use http_body::Body;
use log::info;
use rand::RngExt;
use tokio::sync::Semaphore;

use super::Caller;
use super::Dialect;
use super::QuotaToken;
use super::forward_request::ForwardRequest;
use super::forwarder::Forwarder;
use super::memory_budget::MemoryBudget;
use super::memory_budget::MemoryReservation;
use super::peer_forward_head::PeerForwardHead;
use super::peer_forward_head::header_pairs;
use super::reply::LocalReply;
use super::reply::Reply;
use super::reply::ReplyBody;
use super::request_origin::RequestOrigin;
use crate::board::InFlightGuard;
use crate::board::Phase;
use crate::clock::now_us;
use crate::errors::Code;
use crate::listener::GuardedBody;
use crate::peer::BodyRoom;
use crate::peer::ForwardReplyHead;
use crate::route::Outcome;
use crate::route::header_map;

/// Requests of other instances in flight, per request per second that this instance can carry. With
/// the usual service time of a quarter of a second they take half of it.
const FORWARDED_PER_CAPACITY_DIVISOR: u32 = 8;
/// Minimum of that limit.
const FORWARDED_MIN: u32 = 4;
/// Retry delay, in milliseconds, for a request that this instance declines. The sender offers it to
/// another instance at once.
const DECLINED_RETRY_MS: u64 = 100;

/// The body of a reply to another instance. The request counts as in flight until it has been sent.
pub type CountedReplyBody = GuardedBody<ReplyBody, InFlightGuard>;

/// Serves forwarded requests. Clones share state.
#[derive(Clone, Debug)]
pub struct PeerForwardHandler<D> {
    forwarder: Forwarder<D>,
    /// Limits the requests in flight, so that the callers of this instance are served as before.
    permits: Arc<Semaphore>,
    /// Memory for request bodies.
    body_memory: Arc<MemoryBudget>,
}

impl BodyRoom for MemoryReservation {
    fn try_grow(&mut self, bytes: usize) -> bool {
        Self::try_grow(self, bytes)
    }
}

impl<D: Dialect> PeerForwardHandler<D> {
    /// Serves requests with `forwarder`, within half of this instance's capacity.
    #[must_use]
    pub fn new(forwarder: Forwarder<D>, body_memory: Arc<MemoryBudget>) -> Self {
        let capacity_per_s = forwarder.board.own_capacity_per_s();
        let limit = (capacity_per_s / FORWARDED_PER_CAPACITY_DIVISOR).max(FORWARDED_MIN);
        let permits = Semaphore::new(usize::try_from(limit).unwrap_or(Semaphore::MAX_PERMITS));
        Self { forwarder, permits: Arc::new(permits), body_memory }
    }

    /// Memory for the body of one request.
    #[must_use]
    pub fn body_room(&self) -> MemoryReservation {
        self.body_memory.reservation()
    }

    /// Serves a request and returns the reply for the instance that forwarded it.
    pub async fn handle(
        &self,
        head: PeerForwardHead,
        body: Bytes,
    ) -> (ForwardReplyHead, CountedReplyBody) {
        let in_flight = self.forwarder.board.start_request();
        let permit = self.permits.try_acquire().ok();
        let reply = match self.decline_reason(&head, permit.is_some()) {
            None => self.serve(head, body).await,
            Some(why) => {
                info!(
                    event = "peer-forward-declined", why = why, service = head.service.as_str(),
                    config_version = head.config_version;
                    "another instance may serve the request"
                );
                LocalReply::not_run(Code::PeerDeclined, DECLINED_RETRY_MS).into()
            }
        };
        drop(permit);
        let (head, body) = reply_message(reply);
        (head, GuardedBody::new(body, in_flight))
    }

    /// Why this instance cannot take a request that another one may serve.
    fn decline_reason(&self, head: &PeerForwardHead, has_permit: bool) -> Option<&'static str> {
        let Forwarder { board, dispatcher, admission, .. } = &self.forwarder;
        let config_version = admission.table.load().as_ref().map(|table| table.version);
        if !has_permit {
            Some("full")
        } else if board.phase() != Phase::Running {
            Some("stopping")
        } else if dispatcher.reach().is_lost(&head.service) {
            Some("no-path-to-servers")
        } else if config_version.is_none_or(|version| version < head.config_version) {
            Some("older-configuration")
        } else {
            None
        }
    }

    async fn serve(&self, head: PeerForwardHead, body: Bytes) -> Reply {
        match self.read(head, body) {
            Ok(request) => {
                let reply = self.forwarder.forward(&request).await;
                self.forwarder.log_request(&request, &reply);
                reply
            }
            Err(rejection) => rejection.into(),
        }
    }

    /// Routes a request by the configuration of this instance, and checks its key again.
    fn read(&self, head: PeerForwardHead, body: Bytes) -> Result<ForwardRequest, LocalReply> {
        let admission = &self.forwarder.admission;
        let names = self.forwarder.dialect.header_names();
        let bad_request = || LocalReply::rejected(StatusCode::BAD_REQUEST, Code::BadRequest);
        let headers = header_map(&head.headers);
        let method = Method::from_bytes(head.method.as_bytes()).map_err(|_| bad_request())?;
        let uri: Uri = head.path_and_query.parse().map_err(|_| bad_request())?;
        let host = headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
        let (table, route) = admission.find_route(host.unwrap_or(""), uri.path())?;
        let caller = Caller::authenticate(&table, &route, head.key)
            .map_err(|rejection| admission.reject_or_retry(rejection))?;
        if caller.is_some() {
            admission.check_freshness()?;
        }
        let random = rand::rng().random_range(0.0..1.0);
        let same = route.services().find(|service| ***service == *head.service);
        let Some(service) = same.or_else(|| route.pick_service(random)).cloned() else {
            return Err(LocalReply::not_run(Code::NoServer, DECLINED_RETRY_MS));
        };
        let health_path = table.services.get(&service).map(|config| config.health_path.clone());
        Ok(ForwardRequest {
            id: headers.get(&names.request_id).cloned(),
            origin: RequestOrigin::Peer { sends: head.sends, counted: head.counted },
            fingerprints: head.fingerprints,
            method,
            path_and_query: head.path_and_query,
            headers,
            body,
            route,
            caller,
            quota: QuotaToken::default(),
            service,
            health_path,
            arrived_us: now_us().saturating_sub(head.elapsed_us),
            earlier: None,
            spent_before_us: head.spent_before_us,
            deadline_us: now_us() + head.remaining_us,
        })
    }
}

/// The message that carries a reply to the instance that forwarded the request.
fn reply_message(reply: Reply) -> (ForwardReplyHead, ReplyBody) {
    let outcome = match reply.code {
        Code::Ok => Outcome::Ran,
        _ if reply.not_run() => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    let head = ForwardReplyHead {
        outcome,
        code: reply.code.number(),
        retry_after_ms: reply.retry_after_ms.unwrap_or(0),
        status: reply.status.as_u16(),
        headers: header_pairs(&reply.headers),
        body_bytes: reply.body.size_hint().exact(),
        free_slots: 0,
    };
    (head, reply.body)
}
