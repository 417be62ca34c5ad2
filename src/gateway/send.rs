//! One send of a request to one backend server.

use std::io::ErrorKind;
use std::sync::Arc;
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
use super::health_check::check_health;
use super::memory_room::MemoryBudget;
use super::memory_room::MemoryReservation;
use super::reply::NOT_RUN_STATUSES;
use super::reply::ReplyBody;
use super::server_conn::ExchangeError;
use super::server_conn::ResponseHead;
use super::server_conn::ResponseMatcher;
use super::server_conn::ServerConn;
use super::server_notice::ServerNotice;
use crate::balance::SendOutcome;
use crate::quarantine::AdmittedSend;
use crate::quarantine::Denial;
use crate::quarantine::PendingSend;
use crate::route::is_hop_by_hop;
use crate::task::TaskGuard;

/// A server in the same region that takes longer to accept is not reachable; the caller has no
/// more time to spare for it, as the next server is as good.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// What was last heard of a server's pace is believed for this long: of shifts every 150 ms, three
/// in a hundred fall into it.
const LOAD_FRESH_US: u64 = 5_000;
/// A server in the same region answers a health check within some milliseconds.
const PREFLIGHT_TIMEOUT: Duration = Duration::from_millis(25);
/// Answers up to this size are held whole, so that one cut short is known in time to ask again.
const BUFFER_MAX_BYTES: usize = 256 << 10;
/// Chunks of a larger answer that are read ahead of the caller: one is written while the next one
/// comes. A caller that reads slowly holds no more than these, however large its answer is.
const STREAM_CHUNKS_AHEAD: usize = 1;

/// A backend server's answer.
#[derive(Debug)]
pub struct ServerResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: ReplyBody,
}

/// How a send ended.
#[derive(Debug)]
pub enum SendResult {
    /// The server's answer to this request.
    Answered(ServerResponse),
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
    /// It may crash servers: nothing was sent.
    Denied(Denial),
    /// As `Lost`: a status that promises that the request did not run, without the proof of it.
    UnprovedRefusal { status: StatusCode },
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
            Self::Denied(_) => "denied",
            Self::UnprovedRefusal { .. } => "unproved-refusal",
        }
    }

    /// Whether the server began on the request, as far as can be told, and gave no answer.
    #[must_use]
    pub const fn without_response(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::TimedOut)
    }

    const fn send_end(&self) -> SendOutcome {
        match self {
            Self::Answered(answer) => {
                let failed = answer.status.as_u16() >= 500;
                if failed { SendOutcome::Failed } else { SendOutcome::Answered }
            }
            Self::Unfit { .. } | Self::Denied(_) => SendOutcome::Unsent,
            Self::Refused { .. } => SendOutcome::Refused,
            Self::UnprovedRefusal { .. } => SendOutcome::Failed,
            Self::NotSent => SendOutcome::Unreachable,
            Self::Lost(_) => SendOutcome::Broken,
            Self::TimedOut => SendOutcome::TimedOut,
        }
    }
}

/// What each send needs of its instance.
#[derive(Debug)]
pub struct Sender<'a, D> {
    pub dialect: &'a D,
    pub dispatcher: &'a Dispatcher,
    /// For answers that are held whole.
    pub response_memory: &'a Arc<MemoryBudget>,
    /// What the send shows of the request.
    pub admitted_send: &'a Arc<AdmittedSend>,
}

/// The beginning of an answer: its head, and its body as far as it was held.
struct PartialResponse {
    head: ResponseHead,
    buffered: Bytes,
    reservation: MemoryReservation,
    decoder: BodyDecoder,
}

impl<D: Dialect> Sender<'_, D> {
    /// Sends a request by a slot of a server. Dropped, it closes the connection, which ends the
    /// work at the server.
    ///
    /// With a health path, a server whose pace was last heard of some time ago is asked first, on
    /// the connection that the request will use: the pace when work begins holds for all of it, and
    /// a request that must not run twice is not handed to a server or connection that is gone.
    pub async fn send(
        &self,
        request: &ForwardRequest,
        grant: Grant,
        health_path: Option<&str>,
    ) -> SendResult {
        let left = Duration::from_millis(request.remaining_ms());
        let mut conn = match grant.server.conns.take(CONNECT_TIMEOUT.min(left)).await {
            Ok(conn) => conn,
            // Its connections are all in use, which says nothing against the server.
            Err(err) if err.kind() == ErrorKind::QuotaExceeded => {
                return finish_send(grant, SendResult::Unfit { silent: false });
            }
            Err(_) => {
                grant.end(SendOutcome::Unreachable);
                return SendResult::NotSent;
            }
        };
        if let Some(path) = health_path.filter(|_| self.pace_is_stale(&grant)) {
            match self.preflight_check(&grant, &mut conn, path, left).await {
                PreflightResult::Passed => {}
                PreflightResult::Slower => {
                    grant.server.conns.put_back(conn);
                    return finish_send(grant, SendResult::Unfit { silent: false });
                }
                PreflightResult::Disconnected => {
                    return finish_send(grant, SendResult::Unfit { silent: false });
                }
                PreflightResult::TimedOut => {
                    return finish_send(grant, SendResult::Unfit { silent: true });
                }
            }
        }
        let left = Duration::from_millis(request.remaining_ms());
        let exchanged = tokio::time::timeout(left, self.exchange(request, &grant, &mut conn)).await;
        match exchanged {
            Err(_) => finish_send(grant, SendResult::TimedOut),
            Ok(Err(error)) => finish_send(grant, SendResult::Lost(error)),
            Ok(Ok(begun)) => self.evaluate_response(request, grant, conn, begun),
        }
    }

    fn pace_is_stale(&self, grant: &Grant) -> bool {
        match grant.choice.slowdown_age_us {
            Some(age_us) => age_us > LOAD_FRESH_US,
            None => self.dispatcher.service_reports_load(&grant.server.row.service),
        }
    }

    /// Asks a server how it is, just before a request is handed over.
    async fn preflight_check(
        &self,
        grant: &Grant,
        conn: &mut ServerConn,
        path: &str,
        left: Duration,
    ) -> PreflightResult {
        let checked = check_health(self.dialect, self.dispatcher, &grant.server, conn, path);
        match tokio::time::timeout(PREFLIGHT_TIMEOUT.min(left), checked).await {
            Ok(Ok(true)) if grant.server_is_worse() => PreflightResult::Slower,
            Ok(Ok(true)) => PreflightResult::Passed,
            Ok(_) => PreflightResult::Disconnected,
            Err(_) => {
                self.dispatcher.record_check_timeout(&grant.server);
                PreflightResult::TimedOut
            }
        }
    }

    /// Sends, and reads the answer up to what is held whole.
    async fn exchange(
        &self,
        request: &ForwardRequest,
        grant: &Grant,
        conn: &mut ServerConn,
    ) -> Result<PartialResponse, ExchangeError> {
        let fields = self.dialect.header_names();
        let echo = ResponseMatcher {
            id_header: &fields.request_id,
            id: request.id.as_ref(),
            not_run_header: &fields.not_run,
        };
        let sent = request.encode_head(fields, &grant.server.row.id);
        let head = conn.exchange(&sent, &request.body, echo).await?;
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            grant.record_notice(ServerNotice::read(self.dialect, head.status, &head.headers));
        }
        let mut decoder = head.decoder();
        let mut part = self.response_memory.reservation();
        let mut whole = BytesMut::new();
        while whole.len() < BUFFER_MAX_BYTES {
            let Some(bytes) = conn.read_body(&mut decoder).await? else {
                break;
            };
            whole.extend_from_slice(&bytes);
            // Without room the answer is passed on as it comes; cut short, it cannot be asked for
            // again then.
            if !part.try_grow(bytes.len()) {
                break;
            }
        }
        Ok(PartialResponse { head, buffered: whole.freeze(), reservation: part, decoder })
    }

    /// What an answer comes to whose beginning is there.
    fn evaluate_response(
        &self,
        request: &ForwardRequest,
        grant: Grant,
        conn: ServerConn,
        begun: PartialResponse,
    ) -> SendResult {
        let PartialResponse { head, buffered: held, reservation: part, decoder } = begun;
        if let Some(result) = refusal_result(self.dialect, &head) {
            return_connection(&grant, conn, &head, &decoder);
            return finish_send(grant, result);
        }
        let (status, headers) = (head.status, forwarded_headers(&head.headers));
        if decoder.is_complete() {
            return_connection(&grant, conn, &head, &decoder);
            if !status.is_server_error() {
                self.admitted_send.record_response();
            }
            let bytes = Some(held).filter(|bytes| !bytes.is_empty());
            let body = ReplyBody::Buffered { bytes, _held: part };
            return finish_send(
                grant,
                SendResult::Answered(ServerResponse { status, headers, body }),
            );
        }
        let watch = PendingSend {
            failed_send: request.failed_send(&grant.server),
            send: Arc::clone(self.admitted_send),
        };
        let body = stream_body(grant, conn, head, held, decoder, watch);
        SendResult::Answered(ServerResponse { status, headers, body })
    }
}

/// What a server is found to be just before a request is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PreflightResult {
    Passed,
    /// It works much slower than when it was chosen, or others fill its slots: sent there, the
    /// request would wait, and slow down what runs.
    Slower,
    /// Its connection cannot carry the request.
    Disconnected,
    TimedOut,
}

fn finish_send(grant: Grant, result: SendResult) -> SendResult {
    grant.end(result.send_end());
    result
}

/// Whether the answer says that the request did not run, or seems to.
fn refusal_result<D: Dialect>(dialect: &D, head: &ResponseHead) -> Option<SendResult> {
    let status = head.status;
    let proved = head.headers.contains_key(&dialect.header_names().not_run)
        || status == StatusCode::MISDIRECTED_REQUEST;
    if proved {
        return Some(SendResult::Refused { status });
    }
    // Passed on, this status would promise the caller what nobody proved.
    NOT_RUN_STATUSES.contains(&status).then_some(SendResult::UnprovedRefusal { status })
}

/// Keeps the connection if its answer is whole and the server keeps it open.
fn return_connection(
    grant: &Grant,
    mut conn: ServerConn,
    head: &ResponseHead,
    decoder: &BodyDecoder,
) {
    if decoder.is_complete() && conn.finish(head) {
        grant.server.conns.put_back(conn);
    }
}

/// The header fields of an answer that are meant for the caller. A length is told anew by the
/// body that is passed on.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop_by_hop(name) && *name != http::header::CONTENT_LENGTH {
            passed.append(name, value.clone());
        }
    }
    passed
}

/// Passes a large answer on while it is read.
fn stream_body(
    grant: Grant,
    mut conn: ServerConn,
    head: ResponseHead,
    first: Bytes,
    mut decoder: BodyDecoder,
    watch: PendingSend,
) -> ReplyBody {
    let (sender, chunks) = mpsc::channel(STREAM_CHUNKS_AHEAD);
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
                    grant.end(SendOutcome::Broken);
                    drop(watch.record_truncated());
                    // Without a caller nobody needs to hear of it.
                    let _ = sender.send(Err(error)).await;
                    return;
                }
            };
        }
        return_connection(&grant, conn, &head, &decoder);
        if !head.status.is_server_error() {
            watch.record_response();
        }
        grant.end(SendOutcome::Answered);
    });
    ReplyBody::Streamed { chunks, bytes, reader }
}
