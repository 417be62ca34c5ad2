//! Answers to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio::sync::mpsc;

use super::memory_room::MemoryReservation;
use super::server_conn::ExchangeError;
use crate::errors::Code;
use crate::task::TaskGuard;

/// The body of an answer.
#[derive(Debug)]
pub enum ReplyBody {
    /// An answer of this instance's own, which has no body.
    Empty,
    /// Held whole, and counted as held until the caller has taken it.
    Buffered { bytes: Option<Bytes>, _held: MemoryReservation },
    /// Too large to be held: passed on as it comes. An error ends the caller's connection, so that
    /// a body that was cut short never looks whole.
    Streamed {
        chunks: mpsc::Receiver<Result<Bytes, ExchangeError>>,
        bytes: Option<u64>,
        /// Reads from the backend server; ends with the body, which cancels the work there.
        reader: TaskGuard,
    },
}

impl std::fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}

impl std::error::Error for ExchangeError {}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = ExchangeError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ExchangeError>>> {
        match &mut *self {
            Self::Empty => Poll::Ready(None),
            Self::Buffered { bytes, .. } => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Streamed { chunks, .. } => {
                chunks.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Empty | Self::Buffered { bytes: None, .. })
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Buffered { bytes, .. } => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streamed { bytes: Some(bytes), .. } => SizeHint::with_exact(*bytes),
            Self::Streamed { bytes: None, .. } => SizeHint::default(),
        }
    }
}

/// A final answer.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: ReplyBody,
    /// `Ok` for a backend server's answer, else why this instance answers itself.
    pub code: Code,
}

/// Statuses by which a gateway promises that the request did not run and will not.
pub const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// An answer of this instance's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalReply {
    pub status: StatusCode,
    pub code: Code,
    /// When to come back, for a request that did not run.
    pub retry_after_ms: Option<u64>,
}

impl LocalReply {
    /// The request did not run and will not; when to come back.
    #[must_use]
    pub const fn not_run(code: Code, retry_after_ms: u64) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, code, retry_after_ms: Some(retry_after_ms) }
    }

    /// The request may have run and its answer is missing.
    #[must_use]
    pub fn unknown(code: Code) -> Self {
        let timed_out = code == Code::DeadlineAfterDispatch;
        let status = if timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        Self::rejected(status, code)
    }

    /// The workspace has sent more than its quota; when the next request may pass.
    #[must_use]
    pub const fn over_quota(retry_after_ms: u64) -> Self {
        let status = StatusCode::TOO_MANY_REQUESTS;
        Self { status, code: Code::QuotaSpent, retry_after_ms: Some(retry_after_ms) }
    }

    /// The request does not bear the key of a workspace.
    #[must_use]
    pub const fn key_rejected() -> Self {
        Self::rejected(StatusCode::UNAUTHORIZED, Code::KeyRejected)
    }

    /// The request is not one that can be served at all.
    #[must_use]
    pub const fn rejected(status: StatusCode, code: Code) -> Self {
        Self { status, code, retry_after_ms: None }
    }
}

impl From<LocalReply> for Reply {
    fn from(own: LocalReply) -> Self {
        let mut headers = HeaderMap::new();
        let seconds = own.retry_after_ms.map(|ms| Duration::from_millis(ms).as_secs_f64());
        if let Some(value) = seconds.and_then(|seconds| format!("{seconds:.3}").parse().ok()) {
            headers.insert(http::header::RETRY_AFTER, value);
        }
        Self { status: own.status, headers, body: ReplyBody::Empty, code: own.code }
    }
}

impl Reply {
    /// Whether this instance says that the request did not run and will not.
    #[must_use]
    pub fn not_run(&self) -> bool {
        self.code != Code::Ok && NOT_RUN_STATUSES.contains(&self.status)
    }

    /// As an HTTP response.
    #[must_use]
    pub fn into_response(self) -> Response<ReplyBody> {
        let mut response = Response::new(self.body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
