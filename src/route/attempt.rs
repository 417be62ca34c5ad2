//! One attempt on one backend server.

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
use super::Conn;
use super::Need;
use super::ProxyRequest;
use super::Slot;
use super::answer::UpstreamBody;
use super::fields;
use crate::decide::Finish;
use crate::errors::Code;
use crate::model::Service;
use crate::quarantine::AdmittedSend;
use crate::quarantine::PendingSend;

/// When to come back where the server tells nothing of it.
const RETRY_SOON_MS: u64 = 100;
/// When to come back to a server that takes no connection.
const UNREACHABLE_RETRY_MS: u64 = 1_000;
/// Most of a refusal's body that is read to keep its connection.
const REFUSAL_MAX_BYTES: usize = 64 << 10;

/// What came of an attempt, and what its answer said of the backend server.
#[derive(Debug)]
pub struct Attempted {
    pub answer: Answer,
    /// The server said that it is leaving.
    pub leaving: bool,
}

impl From<Answer> for Attempted {
    fn from(answer: Answer) -> Self {
        Self { answer, leaving: false }
    }
}

/// Whether a status means that the server failed rather than answered.
#[must_use]
pub fn failure(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    )
}

fn build(proxy_request: &ProxyRequest) -> Option<Request<Full<Bytes>>> {
    let mut builder =
        Request::builder().method(proxy_request.method.as_str()).uri(proxy_request.target.as_str());
    let headers = builder.headers_mut()?;
    *headers = fields::header_map(&proxy_request.headers);
    headers.insert(fields::TIMEOUT_MS, (proxy_request.left_us() / 1000).into());
    builder.body(Full::new(proxy_request.body.clone())).ok()
}

/// Whether the end of the body can be told from a connection that breaks.
fn end_is_marked(response: &Response<Incoming>, method: &str) -> bool {
    let bodiless = method == "HEAD"
        || response.status() == StatusCode::NO_CONTENT
        || response.status() == StatusCode::NOT_MODIFIED;
    bodiless
        || response.headers().contains_key("content-length")
        || response.headers().contains_key("transfer-encoding")
}

/// Sends the request over the slot's server and takes its answer.
///
/// Until the request is handed to a connection every fault is `not-run`; from then on it is
/// `unknown`, because the server may have got the request whole.
pub async fn attempt(
    proxy_request: &ProxyRequest,
    spec: &Service,
    slot: Slot,
    buffer_bytes: usize,
    trial: &Arc<AdmittedSend>,
) -> Attempted {
    let Some(request) = build(proxy_request) else {
        return Answer::not_run(Code::BadRequest, 0).into();
    };
    let left = Duration::from_micros(proxy_request.left_us());
    let need = if proxy_request.idempotent { Need::Any } else { Need::Fresh };
    let upstream = Arc::clone(&slot.upstream);
    let conn = match tokio::time::timeout(left, upstream.checkout(need)).await {
        Ok(Some(conn)) => conn,
        Ok(None) => {
            slot.finish(Finish::Failed);
            return Answer::not_run(Code::ConnectFailed, UNREACHABLE_RETRY_MS).into();
        }
        Err(_) => return Answer::not_run(Code::DeadlineInQueue, RETRY_SOON_MS).into(),
    };
    let (unanswered, trial) = (proxy_request.unanswered(&upstream), Arc::clone(trial));
    let watch = PendingSend { send: trial, failed_send: unanswered };
    exchange(proxy_request, spec, slot, conn, request, buffer_bytes, watch).await
}

async fn exchange(
    proxy_request: &ProxyRequest,
    spec: &Service,
    slot: Slot,
    mut conn: Conn,
    request: Request<Full<Bytes>>,
    buffer_bytes: usize,
    watch: PendingSend,
) -> Attempted {
    let left = Duration::from_micros(proxy_request.left_us());
    if left.is_zero() {
        return Answer::not_run(Code::DeadlineInQueue, RETRY_SOON_MS).into();
    }
    let response = match tokio::time::timeout(left, conn.sender.try_send_request(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut err)) => {
            slot.finish(Finish::Failed);
            // hyper gives the message back only if none of it was written.
            let untouched = err.take_message().is_some();
            return if untouched {
                Answer::not_run(Code::ConnectFailed, RETRY_SOON_MS).into()
            } else {
                Answer::unknown(Code::AnswerLost).into()
            };
        }
        Err(_) => return Answer::unknown(Code::DeadlineAfterDispatch).into(),
    };
    let told = Told::read(response.headers());
    told.note(&slot);
    let leaving = told.leaving;
    if spec.refusal_statuses.contains(&response.status().as_u16()) {
        let answer = refused(response, slot, conn).await;
        return Attempted { answer, leaving };
    }
    if !end_is_marked(&response, &proxy_request.method) {
        slot.finish(Finish::Failed);
        return Attempted { answer: Answer::unknown(Code::AnswerTruncated), leaving };
    }
    let answer = take(proxy_request, response, slot, conn, buffer_bytes, watch).await;
    Attempted { answer, leaving }
}

/// What an answer told of its server, at no cost.
struct Told {
    leaving: bool,
    in_flight: Option<u32>,
}

impl Told {
    fn read(headers: &HeaderMap) -> Self {
        let leaving = fields::text(headers, fields::BACKEND_STATE) == Some(fields::DRAINING);
        let load = fields::text(headers, fields::BACKEND_LOAD);
        Self { leaving, in_flight: load.and_then(|text| text.parse().ok()) }
    }

    fn note(&self, slot: &Slot) {
        if let Some(in_flight) = self.in_flight {
            slot.report(in_flight);
        }
    }
}

/// The server declared by its status that it did not run the request.
async fn refused(response: Response<Incoming>, slot: Slot, conn: Conn) -> Answer {
    let asked = rest(response.headers(), &slot.upstream.id);
    // The rest of a refusal is of no use, but the connection is only once it is read.
    let rest = http_body_util::Limited::new(response.into_body(), REFUSAL_MAX_BYTES);
    if rest.collect().await.is_ok() {
        conn.give_back();
    }
    let finish = asked.map_or(Finish::Refused, |rest| Finish::Resting { rest_us: micros(rest) });
    slot.finish(finish);
    Answer::not_run(Code::Refused, asked.map_or(RETRY_SOON_MS, |rest| micros(rest) / 1000))
}

/// The time in seconds that a refusal asks to be left alone, if it names one.
fn rest(headers: &HeaderMap, server: &str) -> Option<Duration> {
    let text = fields::text(headers, "retry-after")?;
    let seconds = text.trim().parse().ok();
    let Some(rest) = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()) else {
        warn!(
            event = "server-rest-unreadable", server = server, text = text,
            code = Code::ServerRestUnreadable.number();
            "{}", Code::ServerRestUnreadable
        );
        return None;
    };
    info!(
        event = "server-rests", server = server, rest_ms = rest.as_millis();
        "it turned a request away and asks for rest"
    );
    Some(rest)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

async fn take(
    proxy_request: &ProxyRequest,
    response: Response<Incoming>,
    slot: Slot,
    conn: Conn,
    buffer_bytes: usize,
    watch: PendingSend,
) -> Answer {
    let (parts, incoming) = response.into_parts();
    let headers = fields::header_map(&fields::travelling(&parts.headers));
    let size = incoming.size_hint().exact();
    let left = Duration::from_micros(proxy_request.left_us());
    if size.is_none_or(|size| size > buffer_bytes as u64) {
        let body = UpstreamBody::new(incoming, slot, conn, left, watch);
        return Answer::ran(parts.status, headers, AnswerBody::Upstream(Box::new(body)));
    }
    let Ok(collected) = tokio::time::timeout(left, incoming.collect()).await else {
        return Answer::unknown(Code::DeadlineAfterDispatch);
    };
    let Ok(collected) = collected else {
        slot.finish(Finish::Failed);
        return Answer::unknown(Code::AnswerTruncated);
    };
    conn.give_back();
    let latency_us = slot.age_us();
    let failed = failure(parts.status);
    if !failed {
        watch.record_response();
    }
    slot.finish(if failed { Finish::Failed } else { Finish::Answered { latency_us } });
    Answer::ran(parts.status, headers, AnswerBody::Whole(collected.to_bytes()))
}
