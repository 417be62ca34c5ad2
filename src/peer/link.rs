//! A connection to one peer, opened on first use.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use h2::client::SendRequest;
use http::Request;
use http::StatusCode;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::Instant;

use super::ForwardReply;
use super::ForwardReplyHead;
use super::Message;
use super::PeerBody;
use super::PeerReply;
use super::auth;
use super::decode;
use super::encode;
use super::frame::FRAME_MAX_BYTES;
use crate::clock::now_us;
use crate::errors::Code;
use crate::limit::RESPONSE_MAX_BYTES;

/// Size of the length prefix of a message that is followed by a body.
const LENGTH_PREFIX_BYTES: usize = 4;
/// HTTP/2 flow-control window of one stream; that of a connection is four times as large.
const WINDOW_BYTES: u32 = 1 << 20;

/// Why a call to a peer brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// Nothing of the message was sent.
    NotSent,
    /// The message was sent, but no response came; it may have taken effect.
    ResponseLost,
    /// The peer answered that it does not serve this message, with a result code.
    Refused(u16),
}

impl PeerError {
    /// Whether the call failed because the connection could not be opened or broke. A call whose
    /// `elapsed` time reached its `timeout` may only have been slow.
    #[must_use]
    pub fn is_connection_lost(self, elapsed: Duration, timeout: Duration) -> bool {
        !matches!(self, Self::Refused(_)) && elapsed < timeout
    }
}

/// The connection is dropped after this many timed-out calls in a row: a connection can go silent
/// without being closed, while a new one to the same peer works.
const TIMEOUTS_MAX: u32 = 2;

/// How long the first attempt to open a connection may take; each further one may take twice as
/// long. A machine that is starting does not answer the first packet of an attempt, and the kernel
/// sends it again only after a second.
const FIRST_OPEN_TIMEOUT: Duration = Duration::from_millis(100);

/// A connection to one peer address, shared by all calls to it.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    /// The HTTP/2 connection, if one is open.
    sender: Mutex<Option<SendRequest<Bytes>>>,
    /// Timed-out calls in a row.
    consecutive_timeouts: AtomicU32,
    /// Start of the last call.
    last_used_us: AtomicU64,
}

/// Opens a connection; `None` if the attempt fails, as when the machine refuses it. Attempts that
/// are not answered are repeated until the future is dropped.
async fn open(address: SocketAddr) -> Option<TcpStream> {
    let mut timeout = FIRST_OPEN_TIMEOUT;
    loop {
        if let Ok(opened) = tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            return opened.ok();
        }
        timeout *= 2;
    }
}

/// Connects and authenticates; `None` on failure.
async fn connect(address: SocketAddr, secret: &str) -> Option<SendRequest<Bytes>> {
    let mut stream = open(address).await?;
    let _ = stream.set_nodelay(true);
    auth::connect(&mut stream, secret).await.ok()?;
    let mut builder = h2::client::Builder::new();
    builder.initial_window_size(WINDOW_BYTES).initial_connection_window_size(4 * WINDOW_BYTES);
    let (sender, connection) = builder.handshake(stream).await.ok()?;
    tokio::spawn(async move {
        // A connection error shows as a lost response on each stream.
        let _ = connection.await;
    });
    Some(sender)
}

impl Link {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: Mutex::const_new(None),
            consecutive_timeouts: AtomicU32::new(0),
            last_used_us: AtomicU64::new(now_us()),
        }
    }

    /// Time since the start of the last call.
    pub(super) fn idle_time(&self) -> Duration {
        Duration::from_micros(now_us().saturating_sub(self.last_used_us.load(Ordering::Relaxed)))
    }

    /// Records a timed-out call; drops the connection after [`TIMEOUTS_MAX`] in a row.
    fn record_timeout(&self) {
        if self.consecutive_timeouts.fetch_add(1, Ordering::AcqRel) + 1 < TIMEOUTS_MAX {
            return;
        }
        self.consecutive_timeouts.store(0, Ordering::Release);
        // If the lock is taken, another call is already opening a new connection.
        if let Ok(mut sender) = self.sender.try_lock() {
            sender.take();
        }
    }

    /// The open connection once it accepts a new stream, or a new connection.
    async fn sender(&self, secret: &str) -> Result<SendRequest<Bytes>, PeerError> {
        let mut guard = self.sender.lock().await;
        if let Some(sender) = guard.take()
            && let Ok(ready) = sender.ready().await
        {
            *guard = Some(ready.clone());
            return Ok(ready);
        }
        let sender = connect(self.address, secret).await.ok_or(PeerError::NotSent)?;
        let ready = sender.ready().await.map_err(|_| PeerError::NotSent)?;
        *guard = Some(ready.clone());
        Ok(ready)
    }

    /// Sends a message and the body that follows it on a new stream, and returns the response body
    /// once the response headers have arrived.
    async fn send_request(
        &self,
        secret: &str,
        path: &str,
        message: Bytes,
        body: Bytes,
        connect_timeout: Duration,
    ) -> Result<RecvStream, PeerError> {
        let opened = tokio::time::timeout(connect_timeout, self.sender(secret)).await;
        let mut sender = opened.map_err(|_| PeerError::NotSent)??;
        let request = Request::post(format!("http://peer{path}")).body(());
        let request = request.map_err(|_| PeerError::NotSent)?;
        let sent = sender.send_request(request, false);
        let (response, mut stream) = sent.map_err(|_| PeerError::NotSent)?;
        stream.send_data(message, body.is_empty()).map_err(|_| PeerError::ResponseLost)?;
        if !body.is_empty() {
            stream.send_data(body, true).map_err(|_| PeerError::ResponseLost)?;
        }
        let response = response.await.map_err(|_| PeerError::ResponseLost)?;
        if response.status() != StatusCode::OK {
            return Err(PeerError::Refused(Code::PeerFrame.number()));
        }
        Ok(response.into_body())
    }

    /// Sends an encoded control message and waits for the response.
    pub(super) async fn call(
        &self,
        secret: &str,
        request: Bytes,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let exchange = async {
            let mut answer =
                self.send_request(secret, "/control", request, Bytes::new(), timeout).await?;
            let bytes = read_message(&mut answer).await.ok_or(PeerError::ResponseLost)?;
            decode::<PeerReply>(&bytes).map_err(|_| PeerError::ResponseLost)
        };
        self.last_used_us.store(now_us(), Ordering::Relaxed);
        let Ok(result) = tokio::time::timeout(timeout, exchange).await else {
            self.record_timeout();
            return Err(PeerError::ResponseLost);
        };
        self.consecutive_timeouts.store(0, Ordering::Release);
        match result {
            Ok(PeerReply::Failed(code)) => Err(PeerError::Refused(code)),
            result => result,
        }
    }

    /// Forwards a request and waits for the head of the response, whose body ends by `deadline`.
    pub(super) async fn forward(
        &self,
        secret: &str,
        head: &impl Message,
        body: &Bytes,
        deadline: Instant,
        connect_timeout: Duration,
    ) -> Result<ForwardReply, PeerError> {
        self.last_used_us.store(now_us(), Ordering::Relaxed);
        let encoded = encode(head);
        let mut frame = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + encoded.len());
        frame.extend_from_slice(&length_prefix(encoded.len()));
        frame.extend_from_slice(&encoded);
        let (frame, body) = (frame.freeze(), body.clone());
        let mut rest = self.send_request(secret, "/pass", frame, body, connect_timeout).await?;
        let (head, first) =
            read_prefixed::<ForwardReplyHead>(&mut rest).await.ok_or(PeerError::ResponseLost)?;
        let max_bytes = head.body_bytes.unwrap_or(RESPONSE_MAX_BYTES).min(RESPONSE_MAX_BYTES);
        Ok(ForwardReply { head, body: PeerBody::new(first, rest, deadline, max_bytes) })
    }
}

/// Encodes the length prefix of a message of `len` bytes.
#[expect(clippy::cast_possible_truncation, reason = "messages are at most 4 MiB")]
pub(super) const fn length_prefix(len: usize) -> [u8; LENGTH_PREFIX_BYTES] {
    (len as u32).to_be_bytes()
}

/// Reads the next chunk of a stream and returns its flow-control capacity.
pub(crate) async fn read_chunk(stream: &mut RecvStream) -> Option<Result<Bytes, h2::Error>> {
    let chunk = stream.data().await?;
    if let Ok(bytes) = &chunk {
        let _ = stream.flow_control().release_capacity(bytes.len());
    }
    Some(chunk)
}

/// Reads a whole control message; `None` if it is truncated or too large.
pub(super) async fn read_message(stream: &mut RecvStream) -> Option<Bytes> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = read_chunk(stream).await {
        bytes.extend_from_slice(&chunk.ok()?);
        if bytes.len() > FRAME_MAX_BYTES {
            return None;
        }
    }
    Some(bytes.freeze())
}

/// Reads a length-prefixed message; also returns the bytes received after it.
pub(super) async fn read_prefixed<T: serde::de::DeserializeOwned>(
    stream: &mut RecvStream,
) -> Option<(T, Bytes)> {
    let mut bytes = BytesMut::new();
    loop {
        if let Some(len) = bytes.first_chunk::<LENGTH_PREFIX_BYTES>() {
            let len = u32::from_be_bytes(*len) as usize;
            if len > FRAME_MAX_BYTES {
                return None;
            }
            if bytes.len() >= LENGTH_PREFIX_BYTES + len {
                bytes.advance(LENGTH_PREFIX_BYTES);
                let head = bytes.split_to(len);
                return Some((decode(&head).ok()?, bytes.freeze()));
            }
        }
        bytes.extend_from_slice(&read_chunk(stream).await?.ok()?);
    }
}
