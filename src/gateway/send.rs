//! One attempt to send a request to a backend server.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use tokio::time::Instant;

use super::Dialect;
use super::dispatcher::Dispatcher;
use super::forward_request::ForwardRequest;
use super::framing::BodyDecoder;
use super::grant::Grant;
use super::health_check::check_health;
use super::memory_budget::MemoryBudget;
use super::memory_budget::MemoryReservation;
use super::reply::NOT_RUN_STATUSES;
use super::reply::ReplyBody;
use super::response_stream::ResponseStream;
use super::server_conn::ExchangeError;
use super::server_conn::ResponseHead;
use super::server_conn::ResponseMatcher;
use super::server_conn::ServerConn;
use super::server_notice::ServerNotice;
use crate::balance::SendOutcome;
use crate::limit::RESPONSE_MAX_BYTES;
use crate::quarantine::AdmittedSend;
use crate::quarantine::Denial;
use crate::quarantine::PendingSend;
use crate::route::is_hop_by_hop;

/// Timeout of opening a connection. A server in the same region that takes longer to accept one
/// counts as unreachable; the remaining time is better spent on another server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Age, in microseconds, up to which a reported slowdown is used without a preflight check. If the
/// slowdown changes every 150 ms, three changes in a hundred fall within this age.
const LOAD_FRESH_US: u64 = 5_000;
/// Timeout of a preflight health check, which a server in the same region answers within
/// milliseconds.
const PREFLIGHT_TIMEOUT: Duration = Duration::from_millis(25);
/// Responses up to this size are buffered completely, so that a truncated one can still be retried.
pub(super) const BUFFER_MAX_BYTES: usize = 256 << 10;

/// The response of a backend server.
#[derive(Debug)]
pub struct ServerResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: ReplyBody,
}

/// The result of an attempt.
#[derive(Debug)]
pub enum SendResult {
    /// The server's response to this request.
    Answered(ServerResponse),
    /// The server stated that it did not run the request.
    Refused { status: StatusCode },
    /// No connection could be opened; nothing was sent.
    NotSent,
    /// The preflight check found the server slow, silent or gone, or all connections to it are in
    /// use; nothing was sent.
    Unfit { silent: bool },
    /// The request may have run, but there is no complete response.
    Lost(ExchangeError),
    /// The deadline passed; the request may have run.
    TimedOut,
    /// The request may crash servers; nothing was sent.
    Denied(Denial),
    /// A status that normally guarantees that the request did not run, without the header that
    /// proves it; the request may have run.
    UnprovedRefusal { status: StatusCode },
}

impl SendResult {
    /// The name used in logs.
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

    /// Whether the server probably began the request and did not complete its response.
    #[must_use]
    pub const fn without_response(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::TimedOut)
    }

    /// Whether the server is proved to have refused the request for a reason other than the request
    /// itself; `None` if its response does not tell, or there is none.
    #[must_use]
    pub fn refusal(&self) -> Option<bool> {
        match self {
            Self::Refused { status } if *status == StatusCode::BAD_REQUEST => None,
            Self::Refused { .. } => Some(true),
            Self::Answered(_) | Self::UnprovedRefusal { .. } => Some(false),
            _ => None,
        }
    }

    const fn outcome(&self) -> SendOutcome {
        match self {
            Self::Answered(response) => {
                let failed = response.status.as_u16() >= 500;
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

/// The parts of the instance that each attempt uses.
#[derive(Debug)]
pub struct Sender<'a, D> {
    pub dialect: &'a D,
    pub dispatcher: &'a Dispatcher,
    /// Memory for buffered responses.
    pub response_memory: &'a Arc<MemoryBudget>,
    /// Records whether the request crashes servers.
    pub admitted_send: &'a Arc<AdmittedSend>,
}

/// A response that is read up to the size of the buffer.
struct PartialResponse {
    head: ResponseHead,
    buffered: Bytes,
    reservation: MemoryReservation,
    decoder: BodyDecoder,
}

impl<D: Dialect> Sender<'_, D> {
    /// Sends a request to the server of a granted slot. Dropping the future closes the connection,
    /// which cancels the request at the server.
    ///
    /// If `health_path` is set and the server's slowdown was not reported recently, a preflight
    /// health check is sent first on the same connection. It matters for two reasons: the server's
    /// slowdown when a request starts lasts for all of its work, and a request that must not run
    /// twice must not be sent to a server or connection that is gone.
    pub async fn send(
        &self,
        request: &ForwardRequest,
        grant: Grant,
        health_path: Option<&str>,
    ) -> SendResult {
        let remaining = Duration::from_millis(request.remaining_ms());
        let mut conn = match grant.server.conns.take(CONNECT_TIMEOUT.min(remaining)).await {
            Ok(conn) => conn,
            // All connections to the server are in use, which is no failure of the server.
            Err(err) if err.kind() == ErrorKind::QuotaExceeded => {
                return finish_send(grant, SendResult::Unfit { silent: false });
            }
            Err(_) => {
                grant.finish(SendOutcome::Unreachable);
                return SendResult::NotSent;
            }
        };
        if let Some(path) = health_path.filter(|_| self.needs_preflight_check(&grant)) {
            match self.preflight_check(&grant, &mut conn, path, remaining).await {
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
        let remaining = Duration::from_millis(request.remaining_ms());
        let exchanged =
            tokio::time::timeout(remaining, self.exchange(request, &grant, &mut conn)).await;
        match exchanged {
            Err(_) => finish_send(grant, SendResult::TimedOut),
            Ok(Err(error)) => finish_send(grant, SendResult::Lost(error)),
            Ok(Ok(partial)) => self.evaluate_response(request, grant, conn, partial),
        }
    }

    fn needs_preflight_check(&self, grant: &Grant) -> bool {
        match grant.choice.slowdown_age_us {
            Some(age_us) => age_us > LOAD_FRESH_US,
            None => self.dispatcher.service_reports_load(&grant.server.row.service),
        }
    }

    /// Checks the health of a server just before a request is sent to it.
    async fn preflight_check(
        &self,
        grant: &Grant,
        conn: &mut ServerConn,
        path: &str,
        remaining: Duration,
    ) -> PreflightResult {
        let checked = check_health(self.dialect, self.dispatcher, &grant.server, conn, path);
        match tokio::time::timeout(PREFLIGHT_TIMEOUT.min(remaining), checked).await {
            Ok(Ok(true)) if grant.server_is_worse() => PreflightResult::Slower,
            Ok(Ok(true)) => PreflightResult::Passed,
            Ok(_) => PreflightResult::Disconnected,
            Err(_) => {
                self.dispatcher.record_check_timeout(&grant.server);
                PreflightResult::TimedOut
            }
        }
    }

    /// Sends the request and reads the response up to the size of the buffer.
    async fn exchange(
        &self,
        request: &ForwardRequest,
        grant: &Grant,
        conn: &mut ServerConn,
    ) -> Result<PartialResponse, ExchangeError> {
        let names = self.dialect.header_names();
        let matcher = ResponseMatcher {
            id_header: &names.request_id,
            id: request.id.as_ref(),
            not_run_header: &names.not_run,
        };
        let sent = request.encode_head(names, &grant.server.row.id);
        let head = conn.exchange(&sent, &request.body, matcher).await?;
        self.dispatcher.record_reach(&grant.server, conn.response_evidence());
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            grant.record_notice(ServerNotice::read(self.dialect, head.status, &head.headers));
        }
        let mut decoder = head.decoder(RESPONSE_MAX_BYTES);
        let mut reservation = self.response_memory.reservation();
        let mut buffered = BytesMut::new();
        while buffered.len() < BUFFER_MAX_BYTES {
            let Some(bytes) = conn.read_body(&mut decoder).await? else {
                break;
            };
            buffered.extend_from_slice(&bytes);
            // Without memory the response is streamed, and can no longer be retried if it is
            // truncated.
            if !reservation.try_grow(bytes.len()) {
                break;
            }
        }
        Ok(PartialResponse { head, buffered: buffered.freeze(), reservation, decoder })
    }

    /// Evaluates a response that has been read up to the size of the buffer.
    fn evaluate_response(
        &self,
        request: &ForwardRequest,
        grant: Grant,
        conn: ServerConn,
        partial: PartialResponse,
    ) -> SendResult {
        let PartialResponse { head, buffered, reservation, decoder } = partial;
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
            let bytes = Some(buffered).filter(|bytes| !bytes.is_empty());
            let body = ReplyBody::Buffered { bytes, _reservation: reservation };
            return finish_send(
                grant,
                SendResult::Answered(ServerResponse { status, headers, body }),
            );
        }
        let pending_send = PendingSend {
            failed_send: request.failed_send(&grant.server),
            send: Arc::clone(self.admitted_send),
        };
        let deadline = Instant::now() + Duration::from_millis(request.remaining_ms());
        let stream = ResponseStream { grant, conn, head, decoder, pending_send, deadline };
        let body = stream.spawn(buffered);
        SendResult::Answered(ServerResponse { status, headers, body })
    }
}

/// Result of the preflight health check, just before a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PreflightResult {
    Passed,
    /// The server is now much slower than when it was chosen, or its slots are taken: the request
    /// would wait there and slow down the others.
    Slower,
    /// The connection cannot carry the request.
    Disconnected,
    TimedOut,
}

fn finish_send(grant: Grant, result: SendResult) -> SendResult {
    grant.finish(result.outcome());
    result
}

/// The result if the response states, with or without proof, that the request did not run.
fn refusal_result<D: Dialect>(dialect: &D, head: &ResponseHead) -> Option<SendResult> {
    let status = head.status;
    let proved = head.headers.contains_key(&dialect.header_names().not_run)
        || status == StatusCode::MISDIRECTED_REQUEST;
    if proved {
        return Some(SendResult::Refused { status });
    }
    // Forwarding this status would guarantee to the caller something that is not proved.
    NOT_RUN_STATUSES.contains(&status).then_some(SendResult::UnprovedRefusal { status })
}

/// Returns the connection to the pool if the response is complete and the server keeps it open.
pub(super) fn return_connection(
    grant: &Grant,
    mut conn: ServerConn,
    head: &ResponseHead,
    decoder: &BodyDecoder,
) {
    if decoder.is_complete() && conn.finish(head) {
        grant.server.conns.put_back(conn);
    }
}

/// The response headers to forward to the caller. The length is set again from the forwarded body.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop_by_hop(name) && *name != http::header::CONTENT_LENGTH {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}
