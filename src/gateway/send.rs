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
use super::health_check::check;
use super::memory_room::MemoryRoom;
use super::memory_room::RoomPart;
use super::reply::PROMISES;
use super::reply::ReplyBody;
use super::server_conn::AnswerHead;
use super::server_conn::Echo;
use super::server_conn::ExchangeError;
use super::server_conn::ServerConn;
use super::server_notice::ServerNotice;
use crate::balance::SendEnd;
use crate::quarantine::AdmittedSend;
use crate::quarantine::Denial;
use crate::quarantine::PendingSend;
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
/// Chunks of a larger answer that are read ahead of the caller: one is written while the next one
/// comes. A caller that reads slowly holds no more than these, however large its answer is.
const LIVE_CHUNKS: usize = 1;

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
    /// It may crash servers: nothing was sent.
    Denied(Denial),
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
            Self::Denied(_) => "denied",
            Self::Unproved { .. } => "unproved-refusal",
        }
    }

    /// Whether the server began on the request, as far as can be told, and gave no answer.
    #[must_use]
    pub const fn without_answer(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::TimedOut)
    }

    const fn end(&self) -> SendEnd {
        match self {
            Self::Answered(answer) => {
                let failed = answer.status.as_u16() >= 500;
                if failed { SendEnd::Failed } else { SendEnd::Answered }
            }
            Self::Unfit { .. } | Self::Denied(_) => SendEnd::Unsent,
            Self::Refused { .. } => SendEnd::Refused,
            Self::Unproved { .. } => SendEnd::Failed,
            Self::NotSent => SendEnd::Unreachable,
            Self::Lost(_) => SendEnd::Broken,
            Self::TimedOut => SendEnd::TimedOut,
        }
    }
}

/// What each send needs of its instance.
#[derive(Debug)]
pub struct Sender<'a, D> {
    pub dialect: &'a D,
    pub dispatcher: &'a Dispatcher,
    /// For answers that are held whole.
    pub answer_room: &'a Arc<MemoryRoom>,
    /// What the send shows of the request.
    pub trial: &'a Arc<AdmittedSend>,
}

/// The beginning of an answer: its head, and its body as far as it was held.
struct Begun {
    head: AnswerHead,
    held: Bytes,
    part: RoomPart,
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
        let left = Duration::from_millis(request.left_ms());
        let mut conn = match grant.server.conns.take(CONNECT_TIMEOUT.min(left)).await {
            Ok(conn) => conn,
            // Its connections are all in use, which says nothing against the server.
            Err(err) if err.kind() == ErrorKind::QuotaExceeded => {
                return ended(grant, SendResult::Unfit { silent: false });
            }
            Err(_) => {
                grant.end(SendEnd::Unreachable);
                return SendResult::NotSent;
            }
        };
        if let Some(path) = health_path.filter(|_| self.pace_is_stale(&grant)) {
            match self.fit(&grant, &mut conn, path, left).await {
                Fitness::Fit => {}
                Fitness::Worse => {
                    grant.server.conns.put_back(conn);
                    return ended(grant, SendResult::Unfit { silent: false });
                }
                Fitness::Gone => return ended(grant, SendResult::Unfit { silent: false }),
                Fitness::Silent => return ended(grant, SendResult::Unfit { silent: true }),
            }
        }
        let left = Duration::from_millis(request.left_ms());
        let exchanged = tokio::time::timeout(left, self.exchange(request, &grant, &mut conn)).await;
        match exchanged {
            Err(_) => ended(grant, SendResult::TimedOut),
            Ok(Err(error)) => ended(grant, SendResult::Lost(error)),
            Ok(Ok(begun)) => self.answered(request, grant, conn, begun),
        }
    }

    fn pace_is_stale(&self, grant: &Grant) -> bool {
        match grant.choice.pace_age_us {
            Some(age_us) => age_us > FRESH_US,
            None => self.dispatcher.service_tells_load(&grant.server.row.service),
        }
    }

    /// Asks a server how it is, just before a request is handed over.
    async fn fit(
        &self,
        grant: &Grant,
        conn: &mut ServerConn,
        path: &str,
        left: Duration,
    ) -> Fitness {
        let checked = check(self.dialect, self.dispatcher, &grant.server, conn, path);
        match tokio::time::timeout(CHECK_TIMEOUT.min(left), checked).await {
            Ok(Ok(true)) if grant.worse() => Fitness::Worse,
            Ok(Ok(true)) => Fitness::Fit,
            Ok(_) => Fitness::Gone,
            Err(_) => {
                self.dispatcher.unheard(&grant.server);
                Fitness::Silent
            }
        }
    }

    /// Sends, and reads the answer up to what is held whole.
    async fn exchange(
        &self,
        request: &ForwardRequest,
        grant: &Grant,
        conn: &mut ServerConn,
    ) -> Result<Begun, ExchangeError> {
        let fields = self.dialect.fields();
        let echo =
            Echo { field: &fields.request_id, id: request.id.as_ref(), refusal: &fields.not_run };
        let sent = request.head(fields, &grant.server.row.id);
        let head = conn.exchange(&sent, &request.body, echo).await?;
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            grant.hear(ServerNotice::read(self.dialect, head.status, &head.headers));
        }
        let mut decoder = head.decoder();
        let mut part = self.answer_room.part();
        let mut whole = BytesMut::new();
        while whole.len() < HOLD_MAX_BYTES {
            let Some(bytes) = conn.read_body(&mut decoder).await? else {
                break;
            };
            whole.extend_from_slice(&bytes);
            // Without room the answer is passed on as it comes; cut short, it cannot be asked for
            // again then.
            if !part.grow(bytes.len()) {
                break;
            }
        }
        Ok(Begun { head, held: whole.freeze(), part, decoder })
    }

    /// What an answer comes to whose beginning is there.
    fn answered(
        &self,
        request: &ForwardRequest,
        grant: Grant,
        conn: ServerConn,
        begun: Begun,
    ) -> SendResult {
        let Begun { head, held, part, decoder } = begun;
        if let Some(result) = refusal(self.dialect, &head) {
            keep(&grant, conn, &head, &decoder);
            return ended(grant, result);
        }
        let (status, headers) = (head.status, passed_on(&head.headers));
        if decoder.done() {
            keep(&grant, conn, &head, &decoder);
            if !status.is_server_error() {
                self.trial.record_response();
            }
            let bytes = Some(held).filter(|bytes| !bytes.is_empty());
            let body = ReplyBody::Whole { bytes, _held: part };
            return ended(grant, SendResult::Answered(ServerAnswer { status, headers, body }));
        }
        let watch = PendingSend {
            failed_send: request.unanswered(&grant.server),
            send: Arc::clone(self.trial),
        };
        let body = live_body(grant, conn, head, held, decoder, watch);
        SendResult::Answered(ServerAnswer { status, headers, body })
    }
}

/// What a server is found to be just before a request is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fitness {
    Fit,
    /// It works much slower than when it was chosen, or others fill its slots: sent there, the
    /// request would wait, and slow down what runs.
    Worse,
    /// Its connection cannot carry the request.
    Gone,
    Silent,
}

fn ended(grant: Grant, result: SendResult) -> SendResult {
    grant.end(result.end());
    result
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
    watch: PendingSend,
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
                    drop(watch.record_truncated());
                    // Without a caller nobody needs to hear of it.
                    let _ = sender.send(Err(error)).await;
                    return;
                }
            };
        }
        keep(&grant, conn, &head, &decoder);
        if !head.status.is_server_error() {
            watch.record_response();
        }
        grant.end(SendEnd::Answered);
    });
    ReplyBody::Live { chunks, bytes, reader }
}
