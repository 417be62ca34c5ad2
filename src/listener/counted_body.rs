//! A response body during which its request counts as handled.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;

use super::timed_stream::HandledRequest;

/// A body whose request counts as handled until the body is dropped.
#[derive(Debug)]
pub(super) struct CountedBody<B> {
    pub(super) body: B,
    pub(super) _handled: HandledRequest,
}

impl<B: Body + Unpin> Body for CountedBody<B> {
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
