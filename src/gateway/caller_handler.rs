//! Serves callers' requests: reads, routes and forwards them, and returns the reply.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use arc_swap::Guard;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use log::info;
use parking_lot::Mutex;
use rand::RngExt;

use super::Caller;
use super::CallerLimits;
use super::Dialect;
use super::RequestOrigin;
use super::Route;
use super::RouteTable;
use super::admission::NO_CONFIG_RETRY_MS;
use super::caller::single_key;
use super::forward_request::ForwardRequest;
use super::forwarder::Forwarder;
use super::memory_budget::MemoryBudget;
use super::memory_budget::MemoryReservation;
use super::quota_limiter::QuotaLimiter;
use super::reply::LocalReply;
use super::reply::Reply;
use super::reply::ReplyBody;
use super::spent_time_estimator::SpentTimeEstimator;
use super::start_hold::StartHold;
use crate::board::Counter;
use crate::board::Phase;
use crate::clock::now_us;
use crate::errors::Code;
use crate::listener::CallerAddress;
use crate::listener::ConnLimits;
use crate::listener::Handler;
use crate::peer::Links;
use crate::quarantine::Fingerprints;
use crate::retry::EarlierAttempt;
use crate::retry::RefusedRequests;
use crate::retry::RequestHash;

/// Retry delay, in milliseconds, while request bodies fill the memory reserved for them.
const BODY_MEMORY_RETRY_MS: u64 = 500;

/// The current configuration; `None` until the first one is loaded.
pub type CurrentRouteTable = Arc<ArcSwapOption<RouteTable>>;

/// Handles callers' requests. Clones share state.
#[derive(Clone, Debug)]
pub struct CallerHandler<D> {
    pub forwarder: Forwarder<D>,
    /// Memory for request bodies.
    pub body_memory: Arc<MemoryBudget>,
    pub spent_time: Arc<SpentTimeEstimator>,
    /// Refused requests whose callers may come back.
    pub refused: Arc<Mutex<RefusedRequests>>,
    pub quota_limiter: QuotaLimiter<Links>,
    pub start_hold: Arc<StartHold>,
}

impl<D: Dialect> CallerHandler<D> {
    fn current_limits(&self) -> CallerLimits {
        self.current_table().as_ref().map_or_else(CallerLimits::default, |table| table.limits)
    }

    fn current_table(&self) -> Guard<Option<Arc<RouteTable>>> {
        self.forwarder.admission.table.load()
    }

    /// Finds the route of a request and identifies its caller, or returns the reply that rejects
    /// it.
    fn admit(
        &self,
        parts: &http::request::Parts,
    ) -> Result<(Arc<Route>, Option<Caller>), LocalReply> {
        let admission = &self.forwarder.admission;
        let (table, route) = admission.find_route(request_host(parts), parts.uri.path())?;
        let names = self.forwarder.dialect.header_names();
        let key = single_key(&parts.headers, &names.api_key);
        let caller = Caller::authenticate(&table, &route, key)
            .map_err(|rejection| admission.reject_or_retry(rejection))?;
        if caller.is_some() {
            admission.check_freshness()?;
        }
        Ok((route, caller))
    }

    /// Whether a request can be served, or can be answered without being served: it is rejected for
    /// good, or this instance stops.
    fn can_answer(&self, parts: &http::request::Parts) -> bool {
        if self.forwarder.board.phase() != Phase::Running {
            return true;
        }
        let dispatcher = &self.forwarder.dispatcher;
        match self.admit(parts) {
            Ok((route, _)) => route.services().any(|service| dispatcher.has_servers_of(service)),
            Err(rejection) => rejection.retry_after_ms.is_none(),
        }
    }

    /// Holds a request while this instance starts and cannot serve it yet.
    async fn hold_while_starting(&self, parts: &http::request::Parts, arrived_us: u64) {
        if self.start_hold.is_over() || self.can_answer(parts) {
            return;
        }
        let names = self.forwarder.dialect.header_names();
        let time_left = caller_timeout_ms(parts, &names.timeout_ms).map(Duration::from_millis);
        let end = self.start_hold.wait(time_left, || self.can_answer(parts)).await;
        info!(
            event = "request-held", id = self.request_id(parts), outcome = end.name(),
            held_ms = now_us().saturating_sub(arrived_us) / 1000;
            "held while this instance starts"
        );
    }

    /// Refuses a request that could last longer than this instance, if it stops. Otherwise the caller
    /// would be left without an answer while a server works on the request.
    fn check_stop(&self, parts: &http::request::Parts, timeout_ms: u64) -> Result<(), LocalReply> {
        let board = &self.forwarder.board;
        let Some(left) = board.stop_deadline.remaining() else {
            return Ok(());
        };
        if Duration::from_millis(timeout_ms) <= left {
            return Ok(());
        }
        board.counters.add(Counter::StopRefusals);
        info!(
            event = "refused-by-stop", id = self.request_id(parts), allowed_ms = timeout_ms,
            left_ms = left.as_millis();
            "this instance ends before the request's deadline"
        );
        Err(LocalReply::stopping())
    }

    /// The request id as text, for logs.
    fn request_id<'a>(&self, parts: &'a http::request::Parts) -> &'a str {
        let name = &self.forwarder.dialect.header_names().request_id;
        parts.headers.get(name).and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Reads the complete request, within the quota, size and time limits.
    async fn read_request(
        &self,
        request: Request<Incoming>,
        arrived_us: u64,
        earlier: Option<EarlierAttempt>,
        reservation: &mut MemoryReservation,
    ) -> Result<ForwardRequest, LocalReply> {
        let (parts, incoming) = request.into_parts();
        self.hold_while_starting(&parts, arrived_us).await;
        let (route, caller) = self.admit(&parts)?;
        let names = self.forwarder.dialect.header_names();
        let caller_timeout_ms = caller_timeout_ms(&parts, &names.timeout_ms);
        let timeout_ms = caller_timeout_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        let deadline_us = arrived_us + timeout_ms * 1000;
        self.check_stop(&parts, timeout_ms)?;
        if now_us() >= deadline_us {
            // It was held past its deadline, since the route's timeout was not known then.
            return Err(LocalReply::not_run(Code::NoConfiguration, NO_CONFIG_RETRY_MS));
        }
        let quota = self.quota_limiter.acquire(caller.as_ref()).await?;
        let estimated_us = caller_timeout_ms.map_or(0, |caller_timeout_ms| {
            self.spent_time.spent_ms(&route.name, caller_timeout_ms)
        }) * 1000;
        let known_us =
            earlier.map_or(0, |earlier| arrived_us.saturating_sub(earlier.first_arrived_us));
        let spent_before_us = estimated_us.max(known_us);
        let remaining = Duration::from_micros(deadline_us.saturating_sub(now_us()));
        let body_bytes_max = self.current_limits().body_bytes_max;
        let body =
            tokio::time::timeout(remaining, read_body(incoming, body_bytes_max, reservation)).await;
        let body = body.unwrap_or_else(|_| {
            Err(LocalReply::rejected(StatusCode::REQUEST_TIMEOUT, Code::BodyIncomplete))
        });
        let body = body.inspect_err(|_| quota.refund())?;
        let random = rand::rng().random_range(0.0..1.0);
        let Some(service) = route.pick_service(random).cloned() else {
            return Err(LocalReply::not_run(Code::NoServer, NO_CONFIG_RETRY_MS));
        };
        Ok(ForwardRequest {
            id: parts.headers.get(&names.request_id).cloned(),
            origin: RequestOrigin::Caller,
            fingerprints: fingerprints(&parts, &body),
            path_and_query: path_and_query(&parts.uri).to_owned(),
            method: parts.method,
            headers: parts.headers,
            body,
            route,
            caller,
            quota,
            health_path: self.health_path(&service),
            service,
            arrived_us,
            earlier,
            spent_before_us,
            deadline_us,
        })
    }

    /// Remembers a request that its caller may retry.
    fn record_refusal(
        &self,
        hash: RequestHash,
        arrived_us: u64,
        earlier: Option<EarlierAttempt>,
        reply: &Reply,
    ) {
        if !reply.not_run() || reply.retry_after_ms.is_none() {
            return;
        }
        let attempt = EarlierAttempt {
            first_arrived_us: earlier.map_or(arrived_us, |earlier| earlier.first_arrived_us),
            refused_us: now_us(),
            refusals: earlier.map_or(0, |earlier| earlier.refusals) + 1,
        };
        let mut refused = self.refused.lock();
        refused.record(hash, attempt);
        self.forwarder.dispatcher.set_return_share(refused.return_share());
    }

    async fn respond(&self, request: Request<Incoming>) -> Reply {
        let arrived_us = now_us();
        let names = self.forwarder.dialect.header_names();
        let id = request.headers().get(&names.request_id).cloned();
        let hash = request_hash(&request);
        let earlier = self.refused.lock().take(hash, arrived_us);
        let mut reservation = self.body_memory.reservation();
        let read = {
            let read = pin!(self.read_request(request, arrived_us, earlier, &mut reservation));
            self.forwarder.board.stop_deadline.run(read).await
        };
        let read = read.unwrap_or_else(|| Err(LocalReply::stopping()));
        let mut reply = match read {
            Ok(request) => {
                let reply = self.forwarder.forward(&request).await;
                if reply.not_run() {
                    request.quota.refund();
                }
                self.forwarder.log_request(&request, &reply);
                reply
            }
            Err(rejection) => {
                let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
                info!(
                    event = "request-rejected", id = id, code = rejection.code.number(),
                    status = rejection.status.as_u16(), version = self.config_version();
                    "request rejected"
                );
                rejection.into()
            }
        };
        self.record_refusal(hash, arrived_us, earlier, &reply);
        if reply.code != Code::Ok
            && let Some(id) = id
        {
            reply.headers.insert(names.request_id.clone(), id);
        }
        reply
    }

    fn health_path(&self, service: &str) -> Option<String> {
        let table = self.current_table();
        let config = table.as_ref()?.services.get(service)?;
        Some(config.health_path.clone())
    }

    fn config_version(&self) -> u64 {
        self.current_table().as_ref().map_or(0, |table| table.version)
    }
}

/// The time that the caller still allows, in milliseconds.
fn caller_timeout_ms(parts: &http::request::Parts, name: &HeaderName) -> Option<u64> {
    let text = parts.headers.get(name).and_then(|value| value.to_str().ok())?;
    text.trim().parse().ok()
}

fn request_host(parts: &http::request::Parts) -> &str {
    host(&parts.uri, &parts.headers)
}

fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    let header = headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    uri.host().or(header).unwrap_or("")
}

fn request_hash(request: &Request<Incoming>) -> RequestHash {
    let caller = CallerAddress::of(request.extensions());
    let host = host(request.uri(), request.headers());
    RequestHash::of(caller, host, request.method().as_str(), path_and_query(request.uri()))
}

/// The path and query of a request.
fn path_and_query(uri: &Uri) -> &str {
    uri.path_and_query().map_or("/", |value| value.as_str())
}

fn fingerprints(parts: &http::request::Parts, body: &[u8]) -> Fingerprints {
    let caller = CallerAddress::from_parts(parts);
    Fingerprints::of(
        caller,
        request_host(parts),
        parts.method.as_str(),
        path_and_query(&parts.uri),
        body,
    )
}

/// Reads a request body within the size and memory limits.
async fn read_body(
    mut incoming: Incoming,
    bytes_max: usize,
    reservation: &mut MemoryReservation,
) -> Result<Bytes, LocalReply> {
    let too_large = || LocalReply::rejected(StatusCode::PAYLOAD_TOO_LARGE, Code::BodyTooLarge);
    let declared_bytes = incoming.size_hint().exact().unwrap_or(0);
    if declared_bytes > bytes_max as u64 {
        return Err(too_large());
    }
    let mut body = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let incomplete = |_| LocalReply::rejected(StatusCode::BAD_REQUEST, Code::BodyIncomplete);
        let Ok(bytes) = frame.map_err(incomplete)?.into_data() else {
            continue;
        };
        if body.len() + bytes.len() > bytes_max {
            return Err(too_large());
        }
        if !reservation.try_grow(bytes.len()) {
            return Err(LocalReply::not_run(Code::BodyRoomFull, BODY_MEMORY_RETRY_MS));
        }
        body.extend_from_slice(&bytes);
    }
    Ok(body.freeze())
}

impl<D: Dialect> Handler for CallerHandler<D> {
    type Body = ReplyBody;

    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let board = &self.forwarder.board;
        board.counters.add(Counter::Requests);
        let in_flight = board.start_request();
        let reply = self.respond(request).await;
        drop(in_flight);
        board.counters.add(match reply.code {
            Code::Ok => Counter::Ran,
            _ if reply.status == StatusCode::SERVICE_UNAVAILABLE => Counter::NotRun,
            _ => Counter::Unknown,
        });
        let mut response = reply.into_response();
        if board.phase() != Phase::Running {
            let close = http::HeaderValue::from_static("close");
            response.headers_mut().insert(http::header::CONNECTION, close);
        }
        response
    }

    fn limits(&self) -> ConnLimits {
        let limits = self.current_limits();
        ConnLimits {
            header_bytes_max: limits.header_bytes_max,
            header_timeout: Duration::from_millis(limits.header_timeout_ms),
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
        }
    }
}
