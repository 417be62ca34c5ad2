//! The body of a response that another instance sends.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use h2::RecvStream;
use tokio::time::Instant;
use tokio::time::Sleep;

/// A body that is read from a stream between instances; a truncated one ends with an error.
#[derive(Debug)]
pub struct PeerBody {
    /// Bytes received together with the head.
    first: Bytes,
    rest: RecvStream,
    /// Fires at the request's deadline: no wait for more bytes outlasts it. The other instance ends
    /// the body by then, unless it is frozen or cut off.
    deadline: Pin<Box<Sleep>>,
}

/// Why a body is not complete.
#[derive(Debug)]
pub enum PeerBodyError {
    /// The stream broke.
    Stream(h2::Error),
    /// The deadline passed.
    Deadline,
}

impl std::fmt::Display for PeerBodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Stream(err) => write!(f, "stream from the peer: {err}"),
            Self::Deadline => f.write_str("not complete at the request's deadline"),
        }
    }
}

impl PeerBody {
    /// The body that begins with `first`, continues on `rest` and ends by `deadline`.
    #[must_use]
    pub fn new(first: Bytes, rest: RecvStream, deadline: Instant) -> Self {
        Self { first, rest, deadline: Box::pin(tokio::time::sleep_until(deadline)) }
    }

    /// Polls for the next bytes and returns their flow-control capacity.
    pub fn poll_bytes(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, PeerBodyError>>> {
        if !self.first.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.first))));
        }
        let polled = self.rest.poll_data(cx);
        if polled.is_pending() && self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(PeerBodyError::Deadline)));
        }
        if let Poll::Ready(Some(Ok(bytes))) = &polled {
            let _ = self.rest.flow_control().release_capacity(bytes.len());
        }
        polled.map_err(PeerBodyError::Stream)
    }

    /// The next bytes; `None` at the end.
    pub async fn next_bytes(&mut self) -> Option<Result<Bytes, PeerBodyError>> {
        std::future::poll_fn(|cx| self.poll_bytes(cx)).await
    }

    /// Whether everything has been received and returned.
    #[must_use]
    pub fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.rest.is_end_stream()
    }
}
