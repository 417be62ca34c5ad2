//! Passes on a large response while it is read from its backend server.

use bytes::Bytes;
use log::info;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::framing::BodyDecoder;
use super::grant::Grant;
use super::reply::ReplyBody;
use super::send::return_connection;
use super::server_conn::ExchangeError;
use super::server_conn::ResponseHead;
use super::server_conn::ServerConn;
use crate::balance::SendOutcome;
use crate::quarantine::PendingSend;
use crate::task::TaskGuard;

/// Chunks that are read ahead of the caller: one is written while the next arrives. A slow caller
/// holds no more memory than these, however large the response is.
const CHUNKS_AHEAD: usize = 1;

/// A response whose first part is buffered and whose rest is still to be read.
#[derive(Debug)]
pub(super) struct ResponseStream {
    pub grant: Grant,
    pub conn: ServerConn,
    pub head: ResponseHead,
    pub decoder: BodyDecoder,
    pub pending_send: PendingSend,
    /// The request's deadline, which covers the whole response: no wait, for the server or for the
    /// caller, outlasts it. Otherwise one that falls silent would hold the slot and the connection
    /// forever, and the other would wait forever.
    pub deadline: Instant,
}

/// How a streamed response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    Broken(ExchangeError),
    /// The caller disconnected.
    CallerLeft,
    /// The deadline passed while the server had sent no more.
    ServerSilent,
    /// The deadline passed before the caller had taken what the server sent.
    CallerSlow,
}

impl StreamEnd {
    /// The name used in logs.
    const fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Broken(error) => error.name(),
            Self::CallerLeft => "caller-left",
            Self::ServerSilent => "server-silent",
            Self::CallerSlow => "caller-slow",
        }
    }

    /// What it shows about the server.
    const fn outcome(self) -> SendOutcome {
        match self {
            Self::Complete => SendOutcome::Answered,
            Self::Broken(_) => SendOutcome::Broken,
            Self::ServerSilent => SendOutcome::TimedOut,
            Self::CallerLeft | Self::CallerSlow => SendOutcome::Cancelled,
        }
    }

    /// The error that closes the caller's connection; `None` if the response is complete.
    const fn error(self) -> Option<ExchangeError> {
        match self {
            Self::Complete => None,
            Self::Broken(error) => Some(error),
            Self::CallerLeft | Self::ServerSilent | Self::CallerSlow => {
                Some(ExchangeError::Truncated)
            }
        }
    }
}

impl ResponseStream {
    /// Starts to read the rest. The body begins with `first`.
    pub(super) fn spawn(self, first: Bytes) -> ReplyBody {
        let (sender, chunks) = mpsc::channel(CHUNKS_AHEAD);
        let bytes = self.head.body_bytes();
        let reader = TaskGuard::spawn(self.run(first, sender));
        ReplyBody::Streamed { chunks, bytes, reader }
    }

    async fn run(mut self, first: Bytes, sender: mpsc::Sender<Result<Bytes, ExchangeError>>) {
        let passed_on = tokio::time::timeout_at(self.deadline, self.pass_on(first, &sender)).await;
        let end = passed_on.unwrap_or_else(|_| {
            let caller_is_behind = sender.capacity() < CHUNKS_AHEAD;
            if caller_is_behind { StreamEnd::CallerSlow } else { StreamEnd::ServerSilent }
        });
        self.finish(end);
        if let Some(error) = end.error() {
            // The receiver is gone if the caller left.
            let _ = sender.send(Err(error)).await;
        }
    }

    /// Passes on the rest, without a time limit.
    async fn pass_on(
        &mut self,
        first: Bytes,
        sender: &mpsc::Sender<Result<Bytes, ExchangeError>>,
    ) -> StreamEnd {
        let mut chunk = first;
        loop {
            if sender.send(Ok(chunk)).await.is_err() {
                return StreamEnd::CallerLeft;
            }
            chunk = match self.conn.read_body(&mut self.decoder).await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => return StreamEnd::Complete,
                Err(error) => return StreamEnd::Broken(error),
            };
        }
    }

    /// Releases the slot and the connection.
    fn finish(self, end: StreamEnd) {
        let Self { grant, conn, head, decoder, pending_send, .. } = self;
        let sent = &pending_send.failed_send;
        info!(
            event = "stream-ended", id = sent.id.as_str(), service = sent.service.as_str(),
            server = sent.server.as_str(), outcome = end.name();
            "large response ended"
        );
        match end {
            StreamEnd::Complete => {
                return_connection(&grant, conn, &head, &decoder);
                if !head.status.is_server_error() {
                    pending_send.record_response();
                }
            }
            StreamEnd::Broken(_) | StreamEnd::ServerSilent => {
                drop(pending_send.record_truncated());
            }
            StreamEnd::CallerLeft | StreamEnd::CallerSlow => {}
        }
        grant.finish(end.outcome());
    }
}
