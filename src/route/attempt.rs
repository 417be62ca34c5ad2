//! One attempt to run a request on one backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use log::info;
use log::warn;

use super::Answer;
use super::AnswerBody;
use super::CheckoutError;
use super::Freshness;
use super::PooledConn;
use super::ProxyRequest;
use super::Slot;
use super::fields;
use super::upstream_body::UpstreamBody;
use crate::decide::AttemptOutcome;
use crate::errors::Code;
use crate::limit::parse_retry_after;
use crate::model::Service;
use crate::quarantine::AdmittedSend;
use crate::quarantine::PendingSend;
use crate::reach::ReachEvidence;

/// Retry delay for the caller, in milliseconds, if nothing better is known.
const DEFAULT_RETRY_AFTER_MS: u64 = 100;
/// Retry delay for the caller, in milliseconds, if no connection to the server can be opened.
const UNREACHABLE_RETRY_AFTER_MS: u64 = 1_000;
/// The body of a refusal is read up to this size, so that its connection can be reused.
const REFUSAL_BODY_MAX_BYTES: usize = 64 << 10;

/// The answer of an attempt, and whether the backend server announced that it is leaving.
#[derive(Debug)]
pub struct AttemptResult {
    pub answer: Answer,
    /// The answer had `x-backend-state: draining`.
    pub leaving: bool,
    /// What the attempt shows about the path to the server.
    pub evidence: Option<ReachEvidence>,
}

impl AttemptResult {
    /// The result of an attempt that the server did not respond to.
    const fn without_response(answer: Answer) -> Self {
        Self { answer, leaving: false, evidence: Some(ReachEvidence::NoResponse) }
    }
}

impl From<Answer> for AttemptResult {
    fn from(answer: Answer) -> Self {
        Self { answer, leaving: false, evidence: None }
    }
}

/// Whether a status means that the server failed to process the request.
#[must_use]
pub fn is_server_failure(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    )
}

fn build_request(proxy_request: &ProxyRequest) -> Option<Request<Full<Bytes>>> {
    let mut builder =
        Request::builder().method(proxy_request.method.as_str()).uri(proxy_request.target.as_str());
    let headers = builder.headers_mut()?;
    *headers = fields::header_map(&proxy_request.headers);
    headers.insert(fields::TIMEOUT_MS, (proxy_request.remaining_us() / 1000).into());
    builder.body(Full::new(proxy_request.body.clone())).ok()
}

/// Whether the end of the body can be distinguished from a broken connection.
fn has_delimited_body(response: &Response<Incoming>, method: &str) -> bool {
    let bodiless = method == "HEAD"
        || response.status() == StatusCode::NO_CONTENT
        || response.status() == StatusCode::NOT_MODIFIED;
    bodiless
        || match response.headers().get("transfer-encoding") {
            // A body with another coding ends with its connection, whatever length is stated.
            Some(coding) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
            None => response.headers().contains_key("content-length"),
        }
}

/// Sends the request to the slot's server and receives its answer.
///
/// A failure before the request is handed to a connection is `not-run`; a later one is
/// `unknown`, because the server may have received the whole request.
pub async fn attempt(
    proxy_request: &ProxyRequest,
    spec: &Service,
    slot: Slot,
    buffer_bytes: usize,
    admitted_send: &Arc<AdmittedSend>,
) -> AttemptResult {
    let Some(request) = build_request(proxy_request) else {
        return Answer::not_run(Code::BadRequest, 0).into();
    };
    let remaining = Duration::from_micros(proxy_request.remaining_us());
    let freshness = if proxy_request.idempotent { Freshness::Any } else { Freshness::Recent };
    let upstream = Arc::clone(&slot.upstream);
    let conn = match tokio::time::timeout(remaining, upstream.checkout(freshness)).await {
        Ok(Ok(conn)) => conn,
        Ok(Err(error)) => {
            slot.release(AttemptOutcome::Failed);
            let answer = Answer::not_run(Code::ConnectFailed, UNREACHABLE_RETRY_AFTER_MS);
            let failed = error == CheckoutError::Unreachable;
            let evidence = failed.then_some(ReachEvidence::ConnectFailed);
            return AttemptResult { answer, leaving: false, evidence };
        }
        Err(_) => return Answer::not_run(Code::DeadlineInQueue, DEFAULT_RETRY_AFTER_MS).into(),
    };
    let (failed_send, send) = (proxy_request.failed_send(&upstream), Arc::clone(admitted_send));
    let pending_send = PendingSend { send, failed_send };
    send_on_conn(proxy_request, spec, slot, conn, request, buffer_bytes, pending_send).await
}

/// Sends the request over `conn` and handles the head of the answer.
async fn send_on_conn(
    proxy_request: &ProxyRequest,
    spec: &Service,
    slot: Slot,
    mut conn: PooledConn,
    request: Request<Full<Bytes>>,
    buffer_bytes: usize,
    pending_send: PendingSend,
) -> AttemptResult {
    let remaining = Duration::from_micros(proxy_request.remaining_us());
    if remaining.is_zero() {
        return Answer::not_run(Code::DeadlineInQueue, DEFAULT_RETRY_AFTER_MS).into();
    }
    let response =
        match tokio::time::timeout(remaining, conn.sender.try_send_request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut err)) => {
                slot.release(AttemptOutcome::Failed);
                // hyper returns the message only if no byte of it was written.
                let unsent = err.take_message().is_some();
                let answer = if unsent {
                    Answer::not_run(Code::ConnectFailed, DEFAULT_RETRY_AFTER_MS)
                } else {
                    Answer::unknown(Code::AnswerLost)
                };
                return AttemptResult::without_response(answer);
            }
            Err(_) => {
                let answer = Answer::unknown(Code::DeadlineAfterDispatch);
                return AttemptResult::without_response(answer);
            }
        };
    let evidence = Some(conn.response_evidence());
    let report = ServerReport::parse(response.headers());
    report.apply(&slot);
    let leaving = report.leaving;
    if spec.refusal_statuses.contains(&response.status().as_u16()) {
        let answer = handle_refusal(response, slot, conn).await;
        return AttemptResult { answer, leaving, evidence };
    }
    if !has_delimited_body(&response, &proxy_request.method) {
        slot.release(AttemptOutcome::Failed);
        return AttemptResult { answer: Answer::unknown(Code::AnswerTruncated), leaving, evidence };
    }
    let answer =
        receive_answer(proxy_request, response, slot, conn, buffer_bytes, pending_send).await;
    AttemptResult { answer, leaving, evidence }
}

/// What the headers of an answer report about its server.
struct ServerReport {
    leaving: bool,
    in_flight: Option<u32>,
}

impl ServerReport {
    fn parse(headers: &HeaderMap) -> Self {
        let leaving = fields::header_text(headers, fields::BACKEND_STATE) == Some(fields::DRAINING);
        let load = fields::header_text(headers, fields::BACKEND_LOAD);
        Self { leaving, in_flight: load.and_then(|text| text.parse().ok()) }
    }

    fn apply(&self, slot: &Slot) {
        if let Some(in_flight) = self.in_flight {
            slot.record_load(in_flight);
        }
    }
}

/// Handles a status that the service declares as a refusal: the server did not run the request.
async fn handle_refusal(response: Response<Incoming>, slot: Slot, conn: PooledConn) -> Answer {
    let cooldown = requested_cooldown(response.headers(), &slot.upstream.id);
    // The body is not used, but the connection can be reused only after it is read.
    let body = http_body_util::Limited::new(response.into_body(), REFUSAL_BODY_MAX_BYTES);
    if body.collect().await.is_ok() {
        conn.return_to_pool();
    }
    let outcome = cooldown.map_or(AttemptOutcome::Refused, |cooldown| {
        AttemptOutcome::RefusedWithCooldown { cooldown_us: duration_us(cooldown) }
    });
    slot.release(outcome);
    Answer::not_run(
        Code::Refused,
        cooldown.map_or(DEFAULT_RETRY_AFTER_MS, |cooldown| duration_us(cooldown) / 1000),
    )
}

/// How long the server asks for no further requests, by the `retry-after` of a refusal; `None`
/// without a valid time.
fn requested_cooldown(headers: &HeaderMap, server: &str) -> Option<Duration> {
    let text = fields::header_text(headers, "retry-after")?;
    let Ok(cooldown) = parse_retry_after(text) else {
        warn!(
            event = "server-rest-unreadable", server = server, text = text,
            code = Code::ServerRestUnreadable.number();
            "{}", Code::ServerRestUnreadable
        );
        return None;
    };
    info!(
        event = "server-rests", server = server, rest_ms = cooldown.as_millis();
        "the server refused a request and asks for no further requests for a time"
    );
    Some(cooldown)
}

fn duration_us(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Receives the body of an answer: buffered if its length is known and at most `buffer_bytes`, else
/// streamed.
async fn receive_answer(
    proxy_request: &ProxyRequest,
    response: Response<Incoming>,
    slot: Slot,
    conn: PooledConn,
    buffer_bytes: usize,
    pending_send: PendingSend,
) -> Answer {
    let (parts, incoming) = response.into_parts();
    let headers = fields::header_map(&fields::end_to_end_headers(&parts.headers));
    let size = incoming.size_hint().exact();
    let remaining = Duration::from_micros(proxy_request.remaining_us());
    if size.is_none_or(|size| size > buffer_bytes as u64) {
        let body = UpstreamBody::new(incoming, slot, conn, remaining, pending_send);
        return Answer::ran(parts.status, headers, AnswerBody::Upstream(Box::new(body)));
    }
    let Ok(collected) = tokio::time::timeout(remaining, incoming.collect()).await else {
        return Answer::unknown(Code::DeadlineAfterDispatch);
    };
    let Ok(collected) = collected else {
        slot.release(AttemptOutcome::Failed);
        return Answer::unknown(Code::AnswerTruncated);
    };
    conn.return_to_pool();
    let latency_us = slot.elapsed_us();
    let failed = is_server_failure(parts.status);
    if !failed {
        pending_send.record_response();
    }
    slot.release(if failed {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered { latency_us }
    });
    Answer::ran(parts.status, headers, AnswerBody::Buffered(collected.to_bytes()))
}
