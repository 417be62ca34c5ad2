//! The stream of a connection, with limits on the time for a request head and between requests.

use std::io;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

/// The requests of one connection, as counted where they are handled.
#[derive(Debug, Default)]
pub(super) struct ConnRequests {
    begun: AtomicU64,
    ended: AtomicU64,
    /// Wakes the reader, whose idle time begins with the end of a request.
    reader: Mutex<Option<Waker>>,
}

/// A request that counts as handled until this is dropped, with the body of its response.
#[derive(Debug)]
pub(super) struct HandledRequest(Arc<ConnRequests>);

impl ConnRequests {
    /// Records that the head of a request has been received.
    pub(super) fn begin(self: &Arc<Self>) -> HandledRequest {
        self.begun.fetch_add(1, Ordering::AcqRel);
        HandledRequest(Arc::clone(self))
    }

    fn ended(&self) -> u64 {
        self.ended.load(Ordering::Acquire)
    }

    fn any_handled(&self) -> bool {
        self.begun.load(Ordering::Acquire) != self.ended()
    }
}

impl Drop for HandledRequest {
    fn drop(&mut self) {
        self.0.ended.fetch_add(1, Ordering::AcqRel);
        if let Some(reader) = self.0.reader.lock().take() {
            reader.wake();
        }
    }
}

/// A stream whose reads fail once it was idle for too long, or once a request head that has begun
/// takes too long. While a request is handled, reads have no limit here.
#[derive(Debug)]
pub(super) struct TimedStream {
    stream: TcpStream,
    requests: Arc<ConnRequests>,
    header_timeout: Duration,
    idle_timeout: Duration,
    /// End of the idle time or, once a head has begun, of the time for it.
    deadline: Pin<Box<Sleep>>,
    /// Whether a part of the next head has arrived.
    head_begun: bool,
    /// Requests that had ended when the idle time began.
    ended_before: u64,
}

impl TimedStream {
    pub(super) fn new(
        stream: TcpStream,
        requests: Arc<ConnRequests>,
        header_timeout: Duration,
        idle_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            requests,
            header_timeout,
            idle_timeout,
            deadline: Box::pin(tokio::time::sleep(idle_timeout)),
            head_begun: false,
            ended_before: 0,
        }
    }

    /// Starts the idle time anew if a request has ended since it began.
    fn note_ended_requests(&mut self) {
        let ended = self.requests.ended();
        if ended != self.ended_before {
            self.ended_before = ended;
            self.head_begun = false;
            self.deadline.as_mut().reset(Instant::now() + self.idle_timeout);
        }
    }

    /// Starts the time for a head with its first bytes.
    fn note_head_bytes(&mut self) {
        if !std::mem::replace(&mut self.head_begun, true) {
            self.deadline.as_mut().reset(Instant::now() + self.header_timeout);
        }
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.requests.any_handled() {
            *self.requests.reader.lock() = Some(cx.waker().clone());
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        self.note_ended_requests();
        let filled_before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > filled_before {
            self.note_head_bytes();
        }
        if read.is_pending() && self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(ErrorKind::TimedOut.into()));
        }
        read
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
