//! The body of a response that another instance sends.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use h2::RecvStream;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::limit::ByteLimit;

/// A body that is read from a stream between instances; a truncated one ends with an error.
#[derive(Debug)]
pub struct PeerBody {
    /// Bytes received together with the head.
    first: Bytes,
    rest: RecvStream,
    /// Counts the bytes returned; another instance that never ends the body must not be read forever.
    limit: ByteLimit,
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
    /// It is larger than its head states, or than any response may be.
    TooLarge,
}

impl std::fmt::Display for PeerBodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Stream(err) => write!(f, "stream from the peer: {err}"),
            Self::TooLarge => f.write_str("larger than allowed"),
            Self::Deadline => f.write_str("not complete at the request's deadline"),
        }
    }
}

impl PeerBody {
    /// The body that begins with `first`, continues on `rest`, ends by `deadline` and has at most
    /// `max_bytes`.
    #[must_use]
    pub fn new(first: Bytes, rest: RecvStream, deadline: Instant, max_bytes: u64) -> Self {
        let limit = ByteLimit::new(max_bytes);
        Self { first, rest, limit, deadline: Box::pin(tokio::time::sleep_until(deadline)) }
    }

    /// Polls for the next bytes and returns their flow-control capacity.
    pub fn poll_bytes(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, PeerBodyError>>> {
        let polled = self.poll_unlimited(cx);
        if let Poll::Ready(Some(Ok(bytes))) = &polled
            && self.limit.count(bytes.len()).is_err()
        {
            return Poll::Ready(Some(Err(PeerBodyError::TooLarge)));
        }
        polled
    }

    fn poll_unlimited(
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
