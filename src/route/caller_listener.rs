//! The listener for callers: serves their requests and the list of addresses to use.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use serde::Serialize;
use tokio::net::TcpListener;

use super::Answer;
use super::AnswerBody;
use super::Outcome;
use super::Placement;
use super::ProxyRequest;
use super::Router;
use super::fields;
use crate::board::Counter;
use crate::clock::now_ms;
use crate::clock::now_us;
use crate::errors::Code;
use crate::errors::CodedError;
use crate::listener::CallerAddress;
use crate::listener::ConnLimits;
use crate::listener::Handler;
use crate::listener::HttpListener;
use crate::member::MemberRow;
use crate::outcome::IdempotencyKey;
use crate::outcome::KeyPrefix;
use crate::peer::ForwardStage;
use crate::quarantine::Fingerprints;

/// A connection that has not sent a complete request head within this time of its first byte is
/// closed.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// A connection without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Most addresses in a list; several, so that a caller does not depend on a single one.
const ADDRESSES_MAX: usize = 4;
/// Largest request head, in bytes.
const HEADER_BYTES_MAX: usize = 64 << 10;

/// The listener for callers, running until it is stopped.
#[derive(Debug)]
pub struct CallerListener(HttpListener);

/// Handles the requests of callers.
#[derive(Clone, Debug)]
struct CallerHandler(Router);

impl Handler for CallerHandler {
    type Body = AnswerBody;

    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        handle_request(&self.0, request).await
    }

    fn limits(&self) -> ConnLimits {
        ConnLimits {
            header_bytes_max: HEADER_BYTES_MAX,
            header_timeout: HEADER_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
        }
    }
}

/// One address of an [`AddressList`].
#[derive(Debug, Serialize)]
struct AddressEntry {
    address: String,
    zone: String,
    /// Prefix of every idempotency key that is sent to this address.
    key_prefix: String,
}

/// The addresses that a caller is to use for a service.
#[derive(Debug, Serialize)]
struct AddressList {
    service: String,
    /// How long the caller may use the list, in milliseconds.
    keep_ms: u64,
    addresses: Vec<AddressEntry>,
}

impl CallerListener {
    /// Serves callers on `listener`.
    #[must_use]
    pub fn spawn(listener: TcpListener, router: Router) -> Self {
        let connections_max = router.board.settings.requests.connections_max;
        let connections_max = u32::try_from(connections_max).unwrap_or(u32::MAX);
        Self(HttpListener::spawn(listener, CallerHandler(router), connections_max))
    }

    /// Stops accepting connections, lets each open one finish its current request, and returns
    /// when all are closed.
    pub async fn stop(self) {
        self.0.stop().await;
    }
}

async fn handle_request(router: &Router, request: Request<Incoming>) -> Response<AnswerBody> {
    router.board.counters.add(Counter::Requests);
    if request.uri().path() == fields::ADDRESSES_PATH {
        return answer_addresses(router, &request);
    }
    let in_flight = router.board.start_request();
    let answer = match read_request(router, request).await {
        Ok(proxy_request) => router.handle(proxy_request).await,
        Err(answer) => answer,
    };
    drop(in_flight);
    build_response(router, answer)
}

/// Converts an answer to a response with outcome, result code and retry headers.
fn build_response(router: &Router, answer: Answer) -> Response<AnswerBody> {
    let mut response = Response::new(answer.body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    let headers = response.headers_mut();
    let outcome = http::HeaderValue::from_static(answer.outcome.name());
    headers.insert(fields::OUTCOME, outcome);
    headers.insert(fields::CODE, answer.code.number().into());
    if let Ok(name) = router.board.settings.instance.name.parse() {
        headers.insert(fields::INSTANCE, name);
    }
    if answer.retry_after_ms > 0 && answer.outcome != Outcome::Ran {
        headers.insert("retry-after", answer.retry_after_ms.div_ceil(1000).into());
        headers.insert(fields::RETRY_AFTER_MS, answer.retry_after_ms.into());
    }
    response
}

/// Reads a request with its body, or returns the answer that rejects it. Nothing of the request
/// has been forwarded then.
async fn read_request(router: &Router, request: Request<Incoming>) -> Result<ProxyRequest, Answer> {
    let settings = &router.board.settings.requests;
    let reject = |err: &CodedError| Answer::not_run(err.code, 0);
    let (parts, incoming) = request.into_parts();
    let headers = &parts.headers;
    let service = service_name(&parts).ok_or_else(|| Answer::not_run(Code::BadRequest, 0))?;
    let key = match headers.get(fields::IDEMPOTENCY_KEY) {
        Some(value) => {
            let text = value.to_str().unwrap_or("");
            Some(IdempotencyKey::parse(text).map_err(|err| reject(&err))?)
        }
        None => None,
    };
    let keyed = key.is_some();
    let default_ms = router.board.services().get(&service).map_or(0, |s| s.spec.timeout_ms.into());
    let timeout_ms = match headers.get(fields::TIMEOUT_MS) {
        Some(value) => {
            let parsed = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
            parsed.ok_or_else(|| Answer::rejected(Code::BadRequest, keyed))?
        }
        None => default_ms,
    };
    let deadline_us = now_us() + timeout_ms.min(settings.timeout_max_ms) * 1000;
    let body = match Limited::new(incoming, settings.body_limit_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => {
            return Err(Answer::rejected(Code::BodyTooLarge, keyed));
        }
        Err(_) => return Err(Answer::rejected(Code::BodyIncomplete, keyed)),
    };
    let target = parts.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
    let caller = CallerAddress::from_parts(&parts);
    let method = parts.method.as_str();
    Ok(ProxyRequest {
        fingerprints: Fingerprints::of(caller, &service, method, target, &body),
        service,
        method: method.to_owned(),
        target: target.to_owned(),
        headers: fields::end_to_end_headers(headers),
        body,
        key,
        idempotent: true,
        stage: ForwardStage::Entry,
        deadline_us,
    })
}

/// The name of the service: the service header, or else the host without its port. The host of an
/// absolute request target takes precedence over the `host` header.
fn service_name(parts: &http::request::Parts) -> Option<String> {
    let named = if let Some(value) = parts.headers.get(fields::SERVICE) {
        value.to_str().ok()?
    } else {
        let field = fields::header_text(&parts.headers, "host");
        parts.uri.host().or(field)?.split(':').next()?
    };
    (!named.is_empty()).then(|| named.to_owned())
}

fn query_param<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    let named = pairs.filter_map(|pair| pair.split_once('='));
    named.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn answer_addresses(router: &Router, request: &Request<Incoming>) -> Response<AnswerBody> {
    if request.method() != Method::GET {
        return build_response(router, Answer::not_run(Code::BadRequest, 0));
    }
    let board = &router.board;
    let zone = query_param(request, "zone").unwrap_or(&board.settings.instance.zone);
    let service = query_param(request, "service").unwrap_or("");
    let addresses = list_addresses(router, service, zone);
    let keep_ms = board.settings.requests.address_keep_ms;
    let answer = AddressList { service: service.into(), keep_ms, addresses };
    let text = serde_json::to_vec(&answer).unwrap_or_default();
    let mut response = Response::new(AnswerBody::Buffered(text.into()));
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}

/// Up to [`ADDRESSES_MAX`] instances: the homes of the service, then others; in each group those
/// of `zone` come first.
fn list_addresses(router: &Router, service: &str, zone: &str) -> Vec<AddressEntry> {
    let board = &router.board;
    let view = board.members_view();
    let mut listed: Vec<Arc<MemberRow>> = Vec::new();
    if let Some(state) = board.services().get(service) {
        let placement = Placement::decide(&state.spec, &view.rows, board.incarnation, zone);
        listed.extend(placement.homes);
    }
    let others = view.rows.iter().filter(|row| row.state.accepts_work());
    let mut others: Vec<&Arc<MemberRow>> = others.collect();
    others.sort_by_key(|row| (row.zone != zone, row.incarnation ^ board.incarnation));
    for row in others {
        if !listed.iter().any(|known| known.incarnation == row.incarnation) {
            listed.push(Arc::clone(row));
        }
    }
    listed.truncate(ADDRESSES_MAX);
    listed.iter().map(|row| address_entry(router, row)).collect()
}

fn address_entry(router: &Router, row: &MemberRow) -> AddressEntry {
    let board = &router.board;
    let started_ms = board.members.lock().started_ms(row.incarnation).unwrap_or_else(now_ms);
    let epoch = board.outcomes.epoch_since(started_ms, now_ms());
    let prefix = KeyPrefix { incarnation: row.incarnation, epoch };
    AddressEntry {
        address: row.caller_address.to_string(),
        zone: row.zone.clone(),
        key_prefix: prefix.to_string(),
    }
}
