//! A response body that keeps a guard until it has been sent or given up.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;

/// A body with a guard, such as one that counts its request as in flight, which is dropped with it.
#[derive(Debug)]
pub struct GuardedBody<B, G> {
    body: B,
    _guard: G,
}

impl<B, G> GuardedBody<B, G> {
    /// `body`, with `guard` kept as long as it.
    pub const fn new(body: B, guard: G) -> Self {
        Self { body, _guard: guard }
    }
}

impl<B: Body + Unpin, G: Unpin> Body for GuardedBody<B, G> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
