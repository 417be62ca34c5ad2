//! The body of a response that another instance sends.

use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use h2::RecvStream;

/// A body that is read from a stream between instances; a truncated one ends with an error.
#[derive(Debug)]
pub struct PeerBody {
    /// Bytes received together with the head.
    first: Bytes,
    rest: RecvStream,
}

impl PeerBody {
    /// The body that begins with `first` and continues on `rest`.
    #[must_use]
    pub const fn new(first: Bytes, rest: RecvStream) -> Self {
        Self { first, rest }
    }

    /// Polls for the next bytes and returns their flow-control capacity.
    pub fn poll_bytes(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, h2::Error>>> {
        if !self.first.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.first))));
        }
        let polled = self.rest.poll_data(cx);
        if let Poll::Ready(Some(Ok(bytes))) = &polled {
            let _ = self.rest.flow_control().release_capacity(bytes.len());
        }
        polled
    }

    /// The next bytes; `None` at the end.
    pub async fn next_bytes(&mut self) -> Option<Result<Bytes, h2::Error>> {
        std::future::poll_fn(|cx| self.poll_bytes(cx)).await
    }

    /// Whether everything has been received and returned.
    #[must_use]
    pub fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.rest.is_end_stream()
    }
}
