//! One connection to a peer, opened when first needed.

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

use super::ForwardHead;
use super::ForwardReply;
use super::ForwardReplyHead;
use super::PeerReply;
use super::auth;
use super::decode;
use super::encode;
use super::frame::FRAME_MAX_BYTES;
use crate::clock::now_us;
use crate::errors::Code;

/// Length prefix of a message that is followed by a body.
const LENGTH_PREFIX_BYTES: usize = 4;
const WINDOW_BYTES: u32 = 1 << 20;

/// Why a peer's answer is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// No byte of the message left this instance.
    NotSent,
    /// The message was handed over, its answer did not come.
    ResponseLost,
    /// The peer answered that it does not serve this message.
    Refused(u16),
}

/// Calls without an answer in a row after which the connection is given up: connections go silent
/// without being closed, and a new one to the same peer works.
const TIMEOUTS_MAX: u32 = 2;

/// A link to one peer address.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    sender: Mutex<Option<SendRequest<Bytes>>>,
    /// Calls without an answer in a row.
    consecutive_timeouts: AtomicU32,
    /// When the last call began.
    last_used_us: AtomicU64,
}

async fn connect(address: SocketAddr, secret: &str) -> Option<SendRequest<Bytes>> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    auth::connect(&mut stream, secret).await.ok()?;
    let mut builder = h2::client::Builder::new();
    builder.initial_window_size(WINDOW_BYTES).initial_connection_window_size(4 * WINDOW_BYTES);
    let (sender, connection) = builder.handshake(stream).await.ok()?;
    tokio::spawn(async move {
        // An error here shows as a lost answer on each stream.
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

    /// Time since the last call began.
    pub(super) fn idle_time(&self) -> Duration {
        Duration::from_micros(now_us().saturating_sub(self.last_used_us.load(Ordering::Relaxed)))
    }

    /// Takes note of a call that was not answered in time.
    fn record_timeout(&self) {
        if self.consecutive_timeouts.fetch_add(1, Ordering::AcqRel) + 1 < TIMEOUTS_MAX {
            return;
        }
        self.consecutive_timeouts.store(0, Ordering::Release);
        // Whoever holds it opens a new connection already.
        if let Ok(mut sender) = self.sender.try_lock() {
            sender.take();
        }
    }

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

    /// Sends bytes on a new stream and returns the answer's body once its head is there.
    async fn send_request(
        &self,
        secret: &str,
        path: &str,
        body: Bytes,
        connect_timeout: Duration,
    ) -> Result<RecvStream, PeerError> {
        let opened = tokio::time::timeout(connect_timeout, self.sender(secret)).await;
        let mut sender = opened.map_err(|_| PeerError::NotSent)??;
        let request = Request::post(format!("http://peer{path}")).body(());
        let request = request.map_err(|_| PeerError::NotSent)?;
        let sent = sender.send_request(request, false);
        let (response, mut stream) = sent.map_err(|_| PeerError::NotSent)?;
        stream.send_data(body, true).map_err(|_| PeerError::ResponseLost)?;
        let response = response.await.map_err(|_| PeerError::ResponseLost)?;
        if response.status() != StatusCode::OK {
            return Err(PeerError::Refused(Code::PeerFrame.number()));
        }
        Ok(response.into_body())
    }

    /// Sends an encoded control message and waits for its answer.
    pub(super) async fn call(
        &self,
        secret: &str,
        request: Bytes,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let exchange = async {
            let mut answer = self.send_request(secret, "/control", request, timeout).await?;
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

    pub(super) async fn forward(
        &self,
        secret: &str,
        head: &ForwardHead,
        body: &Bytes,
        connect_timeout: Duration,
    ) -> Result<ForwardReply, PeerError> {
        self.last_used_us.store(now_us(), Ordering::Relaxed);
        let encoded = encode(head);
        let mut frame = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + encoded.len() + body.len());
        frame.extend_from_slice(&length_prefix(encoded.len()));
        frame.extend_from_slice(&encoded);
        frame.extend_from_slice(body);
        let mut rest = self.send_request(secret, "/pass", frame.freeze(), connect_timeout).await?;
        let (head, first) =
            read_prefixed::<ForwardReplyHead>(&mut rest).await.ok_or(PeerError::ResponseLost)?;
        Ok(ForwardReply { head, first, rest })
    }
}

/// The length prefix of a message of `len` bytes.
#[expect(clippy::cast_possible_truncation, reason = "messages are at most 4 MiB")]
pub(super) const fn length_prefix(len: usize) -> [u8; LENGTH_PREFIX_BYTES] {
    (len as u32).to_be_bytes()
}

/// The next chunk of a stream, its flow-control capacity given back.
pub(crate) async fn read_chunk(stream: &mut RecvStream) -> Option<Result<Bytes, h2::Error>> {
    let chunk = stream.data().await?;
    if let Ok(bytes) = &chunk {
        let _ = stream.flow_control().release_capacity(bytes.len());
    }
    Some(chunk)
}

/// A whole control message; `None` when it is cut short or too large.
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

/// A length-prefixed message and the bytes that came behind it.
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
