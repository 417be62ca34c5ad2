//! The final answer to a request, and its body while it is streamed.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use serde::Deserialize;
use serde::Serialize;

use super::UpstreamBody;
use super::fields;
use crate::errors::Code;
use crate::outcome::RecordedAnswer;
use crate::outcome::RecordedOutcome;
use crate::peer::ForwardReply;
use crate::peer::ForwardReplyHead;
use crate::peer::PeerBody;
use crate::peer::PeerBodyError;
use crate::peer::PeerError;

/// Whether a request ran; the caller reads it in the `sorrelwick-outcome` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A backend server ran the request.
    Ran,
    /// No backend server ran the request: no byte of it reached a server that may have run it.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// The value of the `sorrelwick-outcome` header.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why an answer body was cut short.
#[derive(Debug)]
pub enum BodyError {
    /// The connection to the backend server failed.
    Upstream(hyper::Error),
    /// The connection to the instance that ran the request failed.
    Peer(PeerBodyError),
    /// The body was not complete at the request's deadline.
    Deadline,
    /// The backend server sent more than any answer may have.
    TooLarge,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Upstream(err) => write!(f, "answer of the backend server cut short: {err}"),
            Self::Peer(err) => write!(f, "answer of the peer cut short: {err}"),
            Self::TooLarge => f.write_str("answer larger than allowed"),
            Self::Deadline => f.write_str("answer not complete at the request's deadline"),
        }
    }
}

impl std::error::Error for BodyError {}

/// The body of an answer. One that is cut short ends with an error, never as if it were complete.
#[derive(Debug)]
pub enum AnswerBody {
    /// Complete, in memory.
    Buffered(Bytes),
    /// Streamed from a backend server.
    Upstream(Box<UpstreamBody>),
    /// Streamed from another instance.
    Peer(PeerBody),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Upstream(body) => Pin::new(body).poll_frame(cx),
            Self::Peer(body) => body.poll_bytes(cx).map_ok(Frame::data).map_err(BodyError::Peer),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            // The slot is released only by the poll that reads the end of the body.
            Self::Upstream(_) => false,
            Self::Peer(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Upstream(body) => body.size_hint(),
            Self::Peer(_) => SizeHint::default(),
        }
    }
}

/// The final answer to a request.
#[derive(Debug)]
pub struct Answer {
    pub outcome: Outcome,
    pub code: Code,
    /// Time until a retry is worthwhile, in milliseconds; 0 if none is known or a retry is useless.
    pub retry_after_ms: u64,
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: AnswerBody,
}

/// The HTTP status of a generated answer.
const fn status_of(code: Code, outcome: Outcome) -> StatusCode {
    match code {
        Code::BadRequest | Code::KeyMalformed | Code::KeyRequired | Code::BodyIncomplete => {
            StatusCode::BAD_REQUEST
        }
        Code::UnknownService => StatusCode::NOT_FOUND,
        Code::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Code::KeyExpired | Code::KeyInProgress | Code::AnswerNotKept => StatusCode::CONFLICT,
        _ => match outcome {
            Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Outcome::Ran | Outcome::Unknown => StatusCode::BAD_GATEWAY,
        },
    }
}

impl Answer {
    /// An answer that this process generates: a JSON body with the outcome and the result code.
    #[must_use]
    pub fn generated(outcome: Outcome, code: Code, retry_after_ms: u64) -> Self {
        let text = format!(
            "{{\"outcome\":\"{}\",\"code\":{},\"name\":\"{}\"}}\n",
            outcome.name(),
            code.number(),
            code.name()
        );
        let mut headers = HeaderMap::new();
        headers.insert("content-type", http::HeaderValue::from_static("application/json"));
        Self {
            outcome,
            code,
            retry_after_ms,
            status: status_of(code, outcome),
            headers,
            body: AnswerBody::Buffered(text.into()),
        }
    }

    /// A generated answer with the outcome `not-run`.
    #[must_use]
    pub fn not_run(code: Code, retry_after_ms: u64) -> Self {
        Self::generated(Outcome::NotRun, code, retry_after_ms)
    }

    /// The answer to a request that is rejected here. One with a key may repeat a request that ran
    /// at another instance, so it gets `unknown` instead of `not-run`.
    #[must_use]
    pub fn rejected(code: Code, keyed: bool) -> Self {
        if keyed { Self::unknown(code) } else { Self::not_run(code, 0) }
    }

    /// This answer as the last one of a request: if an earlier attempt may have run, `not-run`
    /// becomes `unknown`.
    #[must_use]
    pub fn after_earlier_attempts(self, may_have_run: bool) -> Self {
        if may_have_run && self.outcome == Outcome::NotRun {
            let retry_after_ms = self.retry_after_ms;
            return Self { retry_after_ms, ..Self::unknown(Code::AnswerLost) };
        }
        self
    }

    /// A generated answer with the outcome `unknown`.
    #[must_use]
    pub fn unknown(code: Code) -> Self {
        Self::generated(Outcome::Unknown, code, 0)
    }

    /// An answer received from a backend server.
    #[must_use]
    pub const fn ran(status: StatusCode, headers: HeaderMap, body: AnswerBody) -> Self {
        Self { outcome: Outcome::Ran, code: Code::Ok, retry_after_ms: 0, status, headers, body }
    }

    /// The outcome to record for repeats; `None` for a request that did not run.
    #[must_use]
    pub fn to_record(&self) -> Option<RecordedOutcome> {
        match (self.outcome, &self.body) {
            (Outcome::NotRun, _) => None,
            (Outcome::Unknown, _) => Some(RecordedOutcome::Unknown(self.code)),
            (Outcome::Ran, AnswerBody::Buffered(body)) => {
                let headers = fields::end_to_end_headers(&self.headers);
                let status = self.status.as_u16();
                let answer = RecordedAnswer { status, headers, body: body.clone() };
                Some(RecordedOutcome::Answer(Arc::new(answer)))
            }
            (Outcome::Ran, _) => Some(RecordedOutcome::AnswerNotKept),
        }
    }

    /// The answer to a repeat, from the recorded outcome.
    #[must_use]
    pub fn replay(recorded: &RecordedOutcome) -> Self {
        match recorded {
            RecordedOutcome::Answer(answer) => {
                let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
                let headers = fields::header_map(&answer.headers);
                Self::ran(status, headers, AnswerBody::Buffered(answer.body.clone()))
            }
            RecordedOutcome::AnswerNotKept => Self::generated(Outcome::Ran, Code::AnswerNotKept, 0),
            RecordedOutcome::Unknown(code) => Self::unknown(*code),
        }
    }

    /// The head of this answer for the instance that forwarded the request; `free` is the number
    /// of slots that this instance has free.
    #[must_use]
    pub fn reply_head(&self, free: u32) -> ForwardReplyHead {
        ForwardReplyHead {
            outcome: self.outcome,
            code: self.code.number(),
            retry_after_ms: self.retry_after_ms,
            status: self.status.as_u16(),
            headers: fields::end_to_end_headers(&self.headers),
            body_bytes: self.body.size_hint().exact(),
            free_slots: free,
        }
    }

    /// Receives the answer of another instance. A body of up to `buffer_bytes` is buffered, so
    /// that it can be recorded for repeats and a truncated one is detected before it is passed on.
    ///
    /// # Errors
    /// `Lost` if the body is cut short while it is buffered.
    pub async fn from_peer(reply: ForwardReply, buffer_bytes: usize) -> Result<Self, PeerError> {
        let head = reply.head;
        let small = head.body_bytes.filter(|bytes| *bytes <= buffer_bytes as u64);
        let streamed = AnswerBody::Peer(reply.body);
        let body = match small {
            Some(expected) => {
                let buffered =
                    streamed.collect().await.map_err(|_| PeerError::ResponseLost)?.to_bytes();
                if buffered.len() as u64 != expected {
                    return Err(PeerError::ResponseLost);
                }
                AnswerBody::Buffered(buffered)
            }
            None => streamed,
        };
        Ok(Self {
            outcome: head.outcome,
            code: Code::from_number(head.code).unwrap_or(Code::PeerFrame),
            retry_after_ms: head.retry_after_ms,
            status: StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY),
            headers: fields::header_map(&head.headers),
            body,
        })
    }
}
