//! The body of an answer that is streamed from a backend server.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use parking_lot::Mutex;
use tokio::time::Sleep;

use super::PooledConn;
use super::Slot;
use super::answer::BodyError;
use crate::decide::AttemptOutcome;
use crate::limit::ByteLimit;
use crate::limit::RESPONSE_MAX_BYTES;
use crate::quarantine::PendingSend;
use crate::task::TaskGuard;

/// A body that is streamed from a backend server. Its slot stays taken until the last byte, and
/// its connection returns to the pool only after a complete answer.
#[derive(Debug)]
pub struct UpstreamBody {
    incoming: Incoming,
    /// Counts the bytes received: a body may have no length, and never end.
    limit: ByteLimit,
    /// Released by the request's deadline, which covers the whole answer, whether or not the body is
    /// polled then: neither a server nor a caller that stalls holds the slot forever.
    held: Arc<Mutex<Option<HeldResources>>>,
    /// Ends the body at the deadline.
    deadline: Pin<Box<Sleep>>,
    _release_task: TaskGuard,
}

/// What a body holds until it ends.
#[derive(Debug)]
struct HeldResources {
    slot: Slot,
    conn: PooledConn,
    pending_send: PendingSend,
    /// Whether the body was waiting for the server when it was last polled; otherwise the caller is
    /// behind.
    awaits_server: bool,
}

impl HeldResources {
    fn release_complete(self) {
        self.conn.return_to_pool();
        self.pending_send.record_response();
        let latency_us = self.slot.elapsed_us();
        self.slot.release(AttemptOutcome::Answered { latency_us });
    }

    fn release_broken(self) {
        self.slot.release(AttemptOutcome::Failed);
        drop(self.pending_send.record_truncated());
    }

    /// If the caller is slow, the slot is dropped and counts as cancelled: that says nothing about the
    /// server.
    fn release_at_deadline(self) {
        if self.awaits_server {
            self.release_broken();
        }
    }
}

impl UpstreamBody {
    pub(super) fn new(
        incoming: Incoming,
        slot: Slot,
        conn: PooledConn,
        remaining: Duration,
        pending_send: PendingSend,
    ) -> Self {
        let held = HeldResources { slot, conn, pending_send, awaits_server: true };
        let held = Arc::new(Mutex::new(Some(held)));
        let at_deadline = Arc::clone(&held);
        let release_task = TaskGuard::spawn(async move {
            tokio::time::sleep(remaining).await;
            release(&at_deadline, HeldResources::release_at_deadline);
        });
        let deadline = Box::pin(tokio::time::sleep(remaining));
        let limit = ByteLimit::new(RESPONSE_MAX_BYTES);
        Self { incoming, limit, held, deadline, _release_task: release_task }
    }
}

/// Releases what is still held.
fn release(held: &Mutex<Option<HeldResources>>, how: impl FnOnce(HeldResources)) {
    let taken = held.lock().take();
    if let Some(taken) = taken {
        how(taken);
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            release(&self.held, HeldResources::release_at_deadline);
            return Poll::Ready(Some(Err(BodyError::Deadline)));
        }
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && self.limit.count(frame.data_ref().map_or(0, Bytes::len)).is_err()
        {
            release(&self.held, HeldResources::release_broken);
            return Poll::Ready(Some(Err(BodyError::TooLarge)));
        }
        match &polled {
            Poll::Ready(None) => release(&self.held, HeldResources::release_complete),
            Poll::Ready(Some(Err(_))) => release(&self.held, HeldResources::release_broken),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {
                if let Some(held) = &mut *self.held.lock() {
                    held.awaits_server = polled.is_pending();
                }
            }
        }
        polled.map_err(BodyError::Upstream)
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
