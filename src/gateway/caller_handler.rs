//! Requests of callers: read, routed, forwarded, answered.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use arc_swap::Guard;
use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use log::info;
use rand::RngExt;

use super::Caller;
use super::CallerLimits;
use super::Dialect;
use super::Route;
use super::RouteTable;
use super::forward_request::ForwardRequest;
use super::forwarder::Forwarder;
use super::memory_room::MemoryBudget;
use super::memory_room::MemoryReservation;
use super::patience::SpentTimeEstimator;
use super::quota_gate::QuotaLimiter;
use super::reply::LocalReply;
use super::reply::Reply;
use super::reply::ReplyBody;
use crate::board::Counter;
use crate::board::Latency;
use crate::board::Phase;
use crate::clock::now_us;
use crate::errors::Code;
use crate::listener::CallerAddress;
use crate::listener::ConnLimits;
use crate::listener::Handler;
use crate::peer::Links;
use crate::quarantine::Fingerprints;

/// When to come back while no configuration is known: the first one is there within a second.
const NO_CONFIG_RETRY_MS: u64 = 300;
/// When to come back while bodies fill the memory set aside for them.
const BODY_MEMORY_RETRY_MS: u64 = 500;

/// The configuration in force; `None` until the first is known.
pub type CurrentRouteTable = Arc<ArcSwapOption<RouteTable>>;

/// Serves callers; clones share.
#[derive(Clone, Debug)]
pub struct CallerHandler<D> {
    pub forwarder: Forwarder<D>,
    /// For the bodies of requests.
    pub room: Arc<MemoryBudget>,
    pub patience: Arc<SpentTimeEstimator>,
    pub quota_gate: QuotaLimiter<Links>,
}

impl<D: Dialect> CallerHandler<D> {
    fn current_limits(&self) -> CallerLimits {
        self.current_table().as_ref().map_or_else(CallerLimits::default, |table| table.limits)
    }

    fn current_table(&self) -> Guard<Option<Arc<RouteTable>>> {
        self.forwarder.admission.table.load()
    }

    /// The route of a request and whose it is, or the answer that it is not served.
    fn admit(
        &self,
        parts: &http::request::Parts,
    ) -> Result<(Arc<Route>, Option<Caller>), LocalReply> {
        let admission = &self.forwarder.admission;
        let table = admission.table(NO_CONFIG_RETRY_MS)?;
        let found = table.find_route(request_host(parts), parts.uri.path()).cloned();
        let no_route = || LocalReply::rejected(StatusCode::NOT_FOUND, Code::NoRoute);
        let route = found.ok_or_else(|| admission.reject_or_retry(no_route()))?;
        let fields = self.forwarder.dialect.header_names();
        let caller = Caller::authenticate(&table, &route, &parts.headers, &fields.api_key)
            .map_err(|own| admission.reject_or_retry(own))?;
        if caller.is_some() {
            admission.check_freshness()?;
        }
        Ok((route, caller))
    }

    /// The caller's request, whole.
    async fn read_request(
        &self,
        request: Request<Incoming>,
        arrived_us: u64,
        part: &mut MemoryReservation,
    ) -> Result<ForwardRequest, LocalReply> {
        let (parts, incoming) = request.into_parts();
        let (route, caller) = self.admit(&parts)?;
        let quota = self.quota_gate.acquire(caller.as_ref()).await?;
        let fields = self.forwarder.dialect.header_names();
        let told = parts.headers.get(&fields.timeout_ms).and_then(|value| value.to_str().ok());
        let told_ms = told.and_then(|text| text.trim().parse::<u64>().ok());
        let timeout_ms = told_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        let spent_us =
            told_ms.map_or(0, |told_ms| self.patience.spent_ms(&route.name, told_ms)) * 1000;
        let deadline_us = arrived_us + timeout_ms * 1000;
        let left = Duration::from_micros(deadline_us.saturating_sub(now_us()));
        let body_bytes_max = self.current_limits().body_bytes_max;
        let body = tokio::time::timeout(left, read_body(incoming, body_bytes_max, part)).await;
        let body = body.unwrap_or_else(|_| {
            Err(LocalReply::rejected(StatusCode::REQUEST_TIMEOUT, Code::BodyIncomplete))
        });
        let body = body.inspect_err(|_| quota.refund())?;
        let random = rand::rng().random_range(0.0..1.0);
        let Some(service) = route.pick_service(random).cloned() else {
            return Err(LocalReply::not_run(Code::NoServer, NO_CONFIG_RETRY_MS));
        };
        Ok(ForwardRequest {
            id: parts.headers.get(&fields.request_id).cloned(),
            fingerprints: fingerprints(&parts, &body),
            path_and_query: target(&parts).to_owned(),
            method: parts.method,
            headers: parts.headers,
            body,
            route,
            caller,
            quota,
            health_path: self.health_path(&service),
            service,
            arrived_us,
            spent_us,
            deadline_us,
        })
    }

    async fn respond(&self, request: Request<Incoming>) -> Reply {
        let arrived_us = now_us();
        let fields = self.forwarder.dialect.header_names();
        let id = request.headers().get(&fields.request_id).cloned();
        let mut part = self.room.reservation();
        let mut reply = match self.read_request(request, arrived_us, &mut part).await {
            Ok(request) => {
                let reply = self.forwarder.forward(&request).await;
                if reply.not_run() {
                    request.quota.refund();
                }
                self.log_request(&request, &reply);
                reply
            }
            Err(own) => {
                let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
                info!(
                    event = "request-rejected", id = id, code = own.code.number(),
                    status = own.status.as_u16(), version = self.config_version();
                    "not forwarded"
                );
                own.into()
            }
        };
        if reply.code != Code::Ok
            && let Some(id) = id
        {
            reply.headers.insert(fields.request_id.clone(), id);
        }
        reply
    }

    fn health_path(&self, service: &str) -> Option<String> {
        let table = self.current_table();
        let rule = table.as_ref()?.services.get(service)?;
        Some(rule.health_path.clone())
    }

    fn config_version(&self) -> u64 {
        self.current_table().as_ref().map_or(0, |table| table.version)
    }

    fn log_request(&self, request: &ForwardRequest, reply: &Reply) {
        let took = Duration::from_micros(now_us().saturating_sub(request.arrived_us));
        self.forwarder.board.latencies.record(Latency::Request, took, reply.code.name());
        info!(
            event = "request", id = request.id_text(), route = request.route.name.as_str(),
            workspace = request.caller.as_ref().map(|caller| &*caller.workspace.name),
            service = &*request.service, version = self.config_version(),
            status = reply.status.as_u16(), code = reply.code.number(),
            took_ms = took.as_millis(), spent_before_ms = request.spent_us / 1000,
            allowed_ms = request.deadline_us.saturating_sub(request.arrived_us) / 1000;
            "answered"
        );
    }
}

fn request_host(parts: &http::request::Parts) -> &str {
    let named = parts.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    parts.uri.host().or(named).unwrap_or("")
}

/// Path and query.
fn target(parts: &http::request::Parts) -> &str {
    parts.uri.path_and_query().map_or("/", |target| target.as_str())
}

fn fingerprints(parts: &http::request::Parts, body: &[u8]) -> Fingerprints {
    let caller = CallerAddress::of(parts);
    Fingerprints::of(caller, request_host(parts), parts.method.as_str(), target(parts), body)
}

/// Reads a body within the limits.
async fn read_body(
    mut incoming: Incoming,
    bytes_max: usize,
    part: &mut MemoryReservation,
) -> Result<Bytes, LocalReply> {
    let too_large = || LocalReply::rejected(StatusCode::PAYLOAD_TOO_LARGE, Code::BodyTooLarge);
    let told = incoming.size_hint().exact().unwrap_or(0);
    if told > bytes_max as u64 {
        return Err(too_large());
    }
    let mut body = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let cut = |_| LocalReply::rejected(StatusCode::BAD_REQUEST, Code::BodyIncomplete);
        let Ok(bytes) = frame.map_err(cut)?.into_data() else {
            continue;
        };
        if body.len() + bytes.len() > bytes_max {
            return Err(too_large());
        }
        if !part.try_grow(bytes.len()) {
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
        let in_flight = board.in_flight();
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
            head_timeout: Duration::from_millis(limits.idle_timeout_ms),
        }
    }
}
