//! Bytes on an HTTP/2 stream that tell when they have left its send queue.

use bytes::Buf;
use bytes::Bytes;
use tokio::sync::mpsc;

/// Bytes to send on a stream. They are dropped once they have been written to the connection, or
/// when the stream is reset, which discards what is still queued.
#[derive(Debug)]
pub(super) struct QueuedBytes {
    bytes: Bytes,
    /// Held while the bytes are queued; see [`SendQueue`].
    _queued: Option<mpsc::Sender<()>>,
}

impl Buf for QueuedBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}

impl From<Bytes> for QueuedBytes {
    fn from(bytes: Bytes) -> Self {
        Self { bytes, _queued: None }
    }
}

/// Keeps track of the bytes that are queued on one stream.
#[derive(Debug)]
pub(super) struct SendQueue {
    /// Cloned for each piece that is queued.
    queued: mpsc::Sender<()>,
    /// Closed once all clones are dropped.
    emptied: mpsc::Receiver<()>,
}

impl SendQueue {
    pub(super) fn new() -> Self {
        let (queued, emptied) = mpsc::channel(1);
        Self { queued, emptied }
    }

    /// `bytes` as a piece of this queue.
    pub(super) fn track(&self, bytes: Bytes) -> QueuedBytes {
        QueuedBytes { bytes, _queued: Some(self.queued.clone()) }
    }

    /// Returns once all pieces have left the queue.
    pub(super) async fn wait_until_empty(self) {
        let Self { queued, mut emptied } = self;
        drop(queued);
        // No message is ever sent; the channel ends when the last piece is dropped.
        let _ = emptied.recv().await;
    }
}
