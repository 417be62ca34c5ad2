//! Replies to callers.

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

use super::memory_budget::MemoryReservation;
use super::server_conn::ExchangeError;
use crate::errors::Code;
use crate::peer::PeerBody;
use crate::task::TaskGuard;

/// The body of a reply.
#[derive(Debug)]
pub enum ReplyBody {
    /// A reply of this instance, without a body.
    Empty,
    /// A complete body, whose memory stays reserved until the caller has received it.
    Buffered { bytes: Option<Bytes>, _reservation: MemoryReservation },
    /// A body that another instance sends, passed on as it arrives.
    Peer { body: PeerBody, bytes: Option<u64> },
    /// A body too large for the buffer, passed on as it arrives. An error closes the caller's
    /// connection, so that a truncated body never looks complete.
    Streamed {
        chunks: mpsc::Receiver<Result<Bytes, ExchangeError>>,
        bytes: Option<u64>,
        /// Reads from the backend server. Dropped with the body, which cancels the request there.
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
            Self::Peer { body, .. } => {
                body.poll_bytes(cx).map_ok(Frame::data).map_err(|_| ExchangeError::Truncated)
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
            Self::Streamed { bytes, .. } | Self::Peer { bytes, .. } => {
                bytes.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

/// The final reply to a request.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: ReplyBody,
    /// `Ok` for a backend server's response, otherwise the reason for this instance's own reply.
    pub code: Code,
    /// Retry delay in milliseconds, of a reply to a request that did not run.
    pub retry_after_ms: Option<u64>,
}

/// Statuses that guarantee to callers that the request did not run and will not.
pub const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Retry delay, in milliseconds, of a request that a stopping instance refuses: other instances can
/// serve it at once.
const STOPPING_RETRY_MS: u64 = 20;

/// A reply produced by this instance instead of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalReply {
    pub status: StatusCode,
    pub code: Code,
    /// Retry delay in milliseconds, for a request that did not run.
    pub retry_after_ms: Option<u64>,
}

impl LocalReply {
    /// The request did not run and will not; the caller may retry after the delay.
    #[must_use]
    pub const fn not_run(code: Code, retry_after_ms: u64) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, code, retry_after_ms: Some(retry_after_ms) }
    }

    /// The request did not run, since this instance stops.
    #[must_use]
    pub const fn stopping() -> Self {
        Self::not_run(Code::Stopping, STOPPING_RETRY_MS)
    }

    /// The request may have run, but its response is missing.
    #[must_use]
    pub fn unknown(code: Code) -> Self {
        let timed_out = code == Code::DeadlineAfterDispatch;
        let status = if timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        Self::rejected(status, code)
    }

    /// The workspace exceeded its quota; the next request may pass after the delay.
    #[must_use]
    pub const fn over_quota(retry_after_ms: u64) -> Self {
        let status = StatusCode::TOO_MANY_REQUESTS;
        Self { status, code: Code::QuotaSpent, retry_after_ms: Some(retry_after_ms) }
    }

    /// The request lacks a valid key of a workspace.
    #[must_use]
    pub const fn key_rejected() -> Self {
        Self::rejected(StatusCode::UNAUTHORIZED, Code::KeyRejected)
    }

    /// The request can never be served.
    #[must_use]
    pub const fn rejected(status: StatusCode, code: Code) -> Self {
        Self { status, code, retry_after_ms: None }
    }
}

impl From<LocalReply> for Reply {
    fn from(local: LocalReply) -> Self {
        let mut headers = HeaderMap::new();
        let seconds = local.retry_after_ms.map(|ms| Duration::from_millis(ms).as_secs_f64());
        if let Some(value) = seconds.and_then(|seconds| format!("{seconds:.3}").parse().ok()) {
            headers.insert(http::header::RETRY_AFTER, value);
        }
        Self {
            status: local.status,
            headers,
            body: ReplyBody::Empty,
            code: local.code,
            retry_after_ms: local.retry_after_ms,
        }
    }
}

impl Reply {
    /// Whether this instance guarantees that the request did not run and will not.
    #[must_use]
    pub fn not_run(&self) -> bool {
        self.code != Code::Ok && NOT_RUN_STATUSES.contains(&self.status)
    }

    /// Converts the reply to an HTTP response.
    #[must_use]
    pub fn into_response(self) -> Response<ReplyBody> {
        let mut response = Response::new(self.body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
