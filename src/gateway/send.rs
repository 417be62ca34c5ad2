//! One send of a request to one backend server.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use tokio::sync::mpsc;

use super::Dialect;
use super::dispatcher::Dispatcher;
use super::forward_request::ForwardRequest;
use super::framing::BodyDecoder;
use super::grant::Grant;
use super::health_check::check;
use super::reply::PROMISES;
use super::reply::ReplyBody;
use super::server_conn::AnswerHead;
use super::server_conn::Echo;
use super::server_conn::ExchangeError;
use super::server_conn::ServerConn;
use crate::balance::SendEnd;
use crate::route::hop_by_hop;
use crate::task::TaskGuard;

/// A server in the same region that takes longer to accept is not reachable; the caller has no
/// more time to spare for it, as the next server is as good.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// What was last heard of a server's pace is believed for this long: of shifts every 150 ms, three
/// in a hundred fall into it.
const FRESH_US: u64 = 5_000;
/// A server in the same region answers a health check within some milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(25);
/// Answers up to this size are held whole, so that one cut short is known in time to ask again.
const HOLD_MAX_BYTES: usize = 256 << 10;
/// Chunks of a large answer that are read ahead of the caller.
const LIVE_CHUNKS: usize = 4;

/// A backend server's answer.
#[derive(Debug)]
pub struct ServerAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: ReplyBody,
}

/// How a send ended.
#[derive(Debug)]
pub enum SendResult {
    /// The server's answer to this request.
    Answered(ServerAnswer),
    /// The server said that it did not run the request.
    Refused { status: StatusCode },
    /// No connection: nothing was sent.
    NotSent,
    /// Asked before, the server turned out slow, or silent, or gone: nothing was sent.
    Unfit { silent: bool },
    /// The request may have run, and there is no answer to pass on.
    Lost(ExchangeError),
    /// As `Lost`: the deadline passed.
    TimedOut,
    /// As `Lost`: a status that promises that the request did not run, without the proof of it.
    Unproved { status: StatusCode },
}

impl SendResult {
    /// The name written in logs.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused { .. } => "refused",
            Self::NotSent => "not-sent",
            Self::Unfit { silent: true } => "unfit-silent",
            Self::Unfit { silent: false } => "unfit",
            Self::Lost(error) => error.name(),
            Self::TimedOut => "timed-out",
            Self::Unproved { .. } => "unproved-refusal",
        }
    }

    const fn end(&self) -> SendEnd {
        match self {
            Self::Answered(answer) => {
                let failed = answer.status.as_u16() >= 500;
                if failed { SendEnd::Failed } else { SendEnd::Answered }
            }
            Self::Unfit { .. } => SendEnd::Cancelled,
            Self::Refused { .. } => SendEnd::Refused,
            Self::Unproved { .. } => SendEnd::Failed,
            Self::NotSent => SendEnd::Unreachable,
            Self::Lost(_) => SendEnd::Broken,
            Self::TimedOut => SendEnd::TimedOut,
        }
    }
}

/// Sends a request by a slot of a server. Dropped, it closes the connection, which ends the work
/// at the server.
///
/// With a health path, a server whose pace was last heard of some time ago is asked first, on the
/// connection that the request will use: the pace when work begins holds for all of it, and a
/// request that must not run twice is not handed to a server or connection that is gone.
pub async fn send<D: Dialect>(
    dialect: &D,
    dispatcher: &Dispatcher,
    request: &ForwardRequest,
    grant: Grant,
    health_path: Option<&str>,
) -> SendResult {
    let left = Duration::from_millis(request.left_ms());
    let connect_within = CONNECT_TIMEOUT.min(left);
    let mut conn = match grant.server.conns.take(connect_within).await {
        Ok(conn) => conn,
        // Its connections are all in use, which says nothing against the server.
        Err(err) if err.kind() == ErrorKind::QuotaExceeded => {
            return SendResult::Unfit { silent: false };
        }
        Err(_) => {
            grant.end(SendEnd::Unreachable);
            return SendResult::NotSent;
        }
    };
    let stale = match grant.choice.pace_age_us {
        Some(age_us) => age_us > FRESH_US,
        None => dispatcher.service_tells_load(&grant.server.service),
    };
    if let Some(path) = health_path.filter(|_| stale) {
        let checked = check(dialect, dispatcher, &grant.server, &mut conn, path);
        let checked = tokio::time::timeout(CHECK_TIMEOUT.min(left), checked).await;
        let keeps_open = match checked {
            Ok(Ok(keeps_open)) => keeps_open,
            Ok(Err(_)) => return SendResult::Unfit { silent: false },
            Err(_) => {
                dispatcher.unheard(&grant.server);
                return SendResult::Unfit { silent: true };
            }
        };
        if !keeps_open {
            return SendResult::Unfit { silent: false };
        }
        if grant.slowed() {
            grant.server.conns.put_back(conn);
            return SendResult::Unfit { silent: false };
        }
    }
    let left = Duration::from_millis(request.left_ms());
    let exchange = exchange(dialect, request, &grant, &mut conn);
    let exchanged = tokio::time::timeout(left, exchange).await;
    let (head, first, decoder) = match exchanged {
        Err(_) => return ended(grant, SendResult::TimedOut),
        Ok(Err(error)) => return ended(grant, SendResult::Lost(error)),
        Ok(Ok(answer)) => answer,
    };
    if let Some(result) = refusal(dialect, &head) {
        keep(&grant, conn, &head, &decoder);
        return ended(grant, result);
    }
    let (status, headers) = (head.status, passed_on(&head.headers));
    if decoder.done() {
        keep(&grant, conn, &head, &decoder);
        let body = ReplyBody::Whole(Some(first).filter(|bytes| !bytes.is_empty()));
        return ended(grant, SendResult::Answered(ServerAnswer { status, headers, body }));
    }
    let body = live_body(grant, conn, head, first, decoder);
    SendResult::Answered(ServerAnswer { status, headers, body })
}

fn ended(grant: Grant, result: SendResult) -> SendResult {
    grant.end(result.end());
    result
}

/// Sends, and reads the answer up to what is held whole.
async fn exchange<D: Dialect>(
    dialect: &D,
    request: &ForwardRequest,
    grant: &Grant,
    conn: &mut ServerConn,
) -> Result<(AnswerHead, Bytes, BodyDecoder), ExchangeError> {
    let fields = dialect.fields();
    let echo =
        Echo { field: &fields.request_id, id: request.id.as_ref(), refusal: &fields.not_run };
    let head = request.head(fields, &grant.server.id);
    let answer = conn.exchange(&head, &request.body, echo).await?;
    let load = answer.headers.get(&fields.load).and_then(|value| value.to_str().ok());
    if let Some(load) = load.and_then(|text| dialect.parse_load(text)) {
        grant.report(load);
    }
    let mut decoder = answer.decoder();
    let mut whole = BytesMut::new();
    while whole.len() < HOLD_MAX_BYTES {
        match conn.read_body(&mut decoder).await? {
            Some(bytes) => whole.extend_from_slice(&bytes),
            None => break,
        }
    }
    Ok((answer, whole.freeze(), decoder))
}

/// Whether the answer says that the request did not run, or seems to.
fn refusal<D: Dialect>(dialect: &D, head: &AnswerHead) -> Option<SendResult> {
    let status = head.status;
    let proved = head.headers.contains_key(&dialect.fields().not_run)
        || status == StatusCode::MISDIRECTED_REQUEST;
    if proved {
        return Some(SendResult::Refused { status });
    }
    // Passed on, this status would promise the caller what nobody proved.
    PROMISES.contains(&status).then_some(SendResult::Unproved { status })
}

/// Keeps the connection if its answer is whole and the server keeps it open.
fn keep(grant: &Grant, mut conn: ServerConn, head: &AnswerHead, decoder: &BodyDecoder) {
    if decoder.done() && conn.finish(head) {
        grant.server.conns.put_back(conn);
    }
}

/// The header fields of an answer that are meant for the caller. A length is told anew by the
/// body that is passed on.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !hop_by_hop(name) && *name != http::header::CONTENT_LENGTH {
            passed.append(name, value.clone());
        }
    }
    passed
}

/// Passes a large answer on while it is read.
fn live_body(
    grant: Grant,
    mut conn: ServerConn,
    head: AnswerHead,
    first: Bytes,
    mut decoder: BodyDecoder,
) -> ReplyBody {
    let (sender, chunks) = mpsc::channel(LIVE_CHUNKS);
    let bytes = head.body_bytes();
    let reader = TaskGuard::spawn(async move {
        let mut chunk = Some(first);
        while let Some(bytes) = chunk {
            if sender.send(Ok(bytes)).await.is_err() {
                return;
            }
            chunk = match conn.read_body(&mut decoder).await {
                Ok(chunk) => chunk,
                Err(error) => {
                    grant.end(SendEnd::Broken);
                    // Without a caller nobody needs to hear of it.
                    let _ = sender.send(Err(error)).await;
                    return;
                }
            };
        }
        keep(&grant, conn, &head, &decoder);
        grant.end(SendEnd::Answered);
    });
    ReplyBody::Live { chunks, bytes, reader }
}
