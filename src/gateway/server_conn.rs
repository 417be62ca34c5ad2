//! A connection to a backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::framing::BodyDecoder;
use super::framing::Framing;
use crate::clock::now_us;
use crate::reach::ReachEvidence;

/// Free space in the input buffer before each read.
const READ_BYTES: usize = 16 << 10;
/// Maximum size of a response head.
const RESPONSE_HEAD_MAX_BYTES: usize = 64 << 10;
/// Maximum number of headers of a response.
const RESPONSE_HEADERS_MAX: usize = 64;
/// Responses to other requests that are skipped before the connection is closed.
const STALE_RESPONSES_MAX: u32 = 3;
/// Maximum size of the body of a response to another request, which is skipped.
const STALE_BODY_MAX_BYTES: u64 = 256 << 10;
/// Idle timeout for servers that send none: they keep idle connections open for some seconds at
/// least.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(4);
/// Longest idle timeout that is believed; a server may state any number.
const KEEP_ALIVE_MAX: Duration = Duration::from_hours(1);
/// Percentage of the server's idle timeout during which a connection is reused: the server counts
/// from the last byte that it sent, and a request must not be sent while it closes the connection.
const KEEP_ALIVE_USE_PERCENT: u32 = 75;

/// Why there is no complete response. The request may have run in each case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection failed or was closed before a response began.
    Closed,
    /// The response ended before its framing says.
    Truncated,
    /// The bytes are no valid response, or only responses to other requests.
    Garbled,
}

impl ExchangeError {
    /// The name used in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Closed => "connection-closed",
            Self::Truncated => "answer-truncated",
            Self::Garbled => "answer-garbled",
        }
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub status: StatusCode,
    pub headers: HeaderMap,
    framing: Framing,
    /// Whether the connection can carry another request: the server keeps it open, the request was
    /// sent whole, and no duplicate of this response can pass for the next one.
    keeps_open: bool,
}

/// Distinguishes the response to a request from responses to others.
#[derive(Clone, Copy, Debug)]
pub struct ResponseMatcher<'a> {
    /// Header that servers copy from the request to the response.
    pub id_header: &'a HeaderName,
    pub id: Option<&'a HeaderValue>,
    /// Header of a response that refuses the request; such a response may lack the id.
    pub not_run_header: &'a HeaderName,
}

impl ResponseMatcher<'_> {
    fn matches(&self, head: &ResponseHead) -> bool {
        match (self.id, head.headers.get(self.id_header)) {
            (Some(id), Some(echoed)) => id == echoed,
            (Some(_), None) => self.is_unidentified_refusal(head),
            // No id was sent: a response with one is a late response to an earlier request, and
            // reports outdated load and health.
            (None, echoed) => echoed.is_none(),
        }
    }

    /// Whether a response refuses a request and does not tell which. A duplicate of it would match
    /// the next request on the connection, which may have run.
    fn is_unidentified_refusal(&self, head: &ResponseHead) -> bool {
        let refuses = head.headers.contains_key(self.not_run_header)
            || head.status == StatusCode::MISDIRECTED_REQUEST;
        refuses && !head.headers.contains_key(self.id_header)
    }
}

/// A connection that carries one exchange at a time.
#[derive(Debug)]
pub struct ServerConn {
    stream: TcpStream,
    /// Bytes received and not consumed yet.
    input: BytesMut,
    idle_since_us: u64,
    /// Whether the connection has carried no exchange yet.
    is_new: bool,
    /// Idle timeout of the server.
    keep_alive: Duration,
    /// Whether the request could not be written whole. The system reports a reset once: after a write
    /// has met it, the reads end as if the server had closed the connection in order.
    write_failed: bool,
    _open_guard: OpenConnGuard,
}

/// Counts an open connection to a backend server until dropped.
#[derive(Debug)]
pub struct OpenConnGuard(Arc<AtomicU32>);

impl OpenConnGuard {
    /// Counts one more connection; `None` if there are `open_max` already.
    #[must_use]
    pub fn try_new(open: &Arc<AtomicU32>, open_max: u32) -> Option<Self> {
        let add = |now: u32| (now < open_max).then_some(now + 1);
        open.try_update(Ordering::AcqRel, Ordering::Acquire, add).ok()?;
        Some(Self(Arc::clone(open)))
    }
}

impl Drop for OpenConnGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl ServerConn {
    /// Opens a connection.
    ///
    /// # Errors
    /// If it cannot be opened within `timeout`; nothing has been sent then.
    pub async fn open(
        address: SocketAddr,
        timeout: Duration,
        open: OpenConnGuard,
    ) -> std::io::Result<Self> {
        let timed_out = |_| std::io::ErrorKind::TimedOut.into();
        let connected = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = connected.unwrap_or_else(|elapsed| Err(timed_out(elapsed)))?;
        stream.set_nodelay(true)?;
        let input = BytesMut::new();
        Ok(Self {
            stream,
            input,
            idle_since_us: now_us(),
            is_new: true,
            keep_alive: KEEP_ALIVE_DEFAULT,
            write_failed: false,
            _open_guard: open,
        })
    }

    /// Whether an idle connection can carry another request.
    ///
    /// Unexpected bytes belong to no request. On a connection that has received any, or was closed,
    /// the next response could be matched to the wrong request, or the request could be lost.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        let idle_us = now_us().saturating_sub(self.idle_since_us);
        let reuse_time = self.keep_alive * KEEP_ALIVE_USE_PERCENT / 100;
        let fresh = u128::from(idle_us) < reuse_time.as_micros();
        let mut probe = [0_u8; 1];
        let quiet = matches!(
            self.stream.try_read(&mut probe),
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock
        );
        fresh && quiet && self.input.is_empty()
    }

    /// What a response on this connection shows about the path to the server.
    #[must_use]
    pub const fn response_evidence(&self) -> ReachEvidence {
        if self.is_new { ReachEvidence::RespondedOnNewConnection } else { ReachEvidence::Responded }
    }

    /// Sends a request and reads the response head. The body is sent concurrently, since a server
    /// may respond before it has read all of it.
    ///
    /// # Errors
    /// Why there is no response; the request may have run.
    pub async fn exchange(
        &mut self,
        head: &[u8],
        body: &[u8],
        matcher: ResponseMatcher<'_>,
    ) -> Result<ResponseHead, ExchangeError> {
        let (mut reader, mut writer) = self.stream.split();
        let input = &mut self.input;
        let write = async {
            writer.write_all(head).await?;
            writer.write_all(body).await
        };
        let read = read_matching_head(&mut reader, input, matcher);
        tokio::pin!(write, read);
        let mut response = tokio::select! {
            biased;
            // A server that refuses early may close its receiving side; its response still counts.
            written = &mut write => {
                let mut response = read.await?;
                self.write_failed = written.is_err();
                response.keeps_open &= !self.write_failed;
                return Ok(response);
            }
            response = &mut read => response?,
        };
        // The body was not sent completely, so the connection cannot carry another request.
        response.keeps_open = false;
        Ok(response)
    }

    /// Reads more of the body; `None` when it is complete.
    ///
    /// # Errors
    /// If the body ends early.
    pub async fn read_body(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match decoder.decode(&mut self.input) {
                Ok(Some(bytes)) => return Ok(Some(bytes)),
                Ok(None) if decoder.is_complete() => return Ok(None),
                Ok(None) => {}
                Err(_) => return Err(ExchangeError::Garbled),
            }
            self.input.reserve(READ_BYTES);
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) if !self.write_failed && decoder.finish_at_close() => return Ok(None),
                Ok(0) | Err(_) => return Err(ExchangeError::Truncated),
                Ok(_) => {}
            }
        }
    }

    /// Ends the exchange and returns whether the connection can be kept.
    pub fn finish(&mut self, head: &ResponseHead) -> bool {
        self.idle_since_us = now_us();
        self.is_new = false;
        self.keep_alive = keep_alive(&head.headers).unwrap_or(KEEP_ALIVE_DEFAULT);
        head.keeps_open && self.is_reusable()
    }
}

impl ResponseHead {
    /// Creates a decoder for the body, which may have `max_bytes`.
    #[must_use]
    pub const fn decoder(&self, max_bytes: u64) -> BodyDecoder {
        BodyDecoder::new(self.framing, max_bytes)
    }

    /// The length of the body, if the head states it.
    #[must_use]
    pub const fn body_bytes(&self) -> Option<u64> {
        match self.framing {
            Framing::Length(bytes) => Some(bytes),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }
}

/// The `timeout` parameter of a `Keep-Alive` header.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut values = text.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
    let seconds = values.find_map(|value| value.parse().ok())?;
    Some(Duration::from_secs(seconds).min(KEEP_ALIVE_MAX))
}

/// Reads response heads until one matches the request, and skips the bodies of the others.
///
/// A faulty server may send a response twice; the duplicate then arrives where the next response is
/// expected. The echoed id distinguishes it from the right one, which follows.
async fn read_matching_head(
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    input: &mut BytesMut,
    matcher: ResponseMatcher<'_>,
) -> Result<ResponseHead, ExchangeError> {
    for _ in 0..=STALE_RESPONSES_MAX {
        let mut head = read_head(reader, input).await?;
        if head.status.is_informational() {
            continue;
        }
        if matcher.matches(&head) {
            head.keeps_open &= !matcher.is_unidentified_refusal(&head);
            return Ok(head);
        }
        skip_body(reader, input, &head).await?;
    }
    Err(ExchangeError::Garbled)
}

async fn skip_body(
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    input: &mut BytesMut,
    head: &ResponseHead,
) -> Result<(), ExchangeError> {
    if !head.keeps_open || head.framing == Framing::UntilClose {
        return Err(ExchangeError::Garbled);
    }
    let mut decoder = head.decoder(STALE_BODY_MAX_BYTES);
    loop {
        let content = decoder.decode(input).map_err(|_| ExchangeError::Garbled)?;
        if decoder.is_complete() {
            return Ok(());
        }
        if content.is_none() {
            read_more(reader, input).await?;
        }
    }
}

async fn read_more(
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    input: &mut BytesMut,
) -> Result<(), ExchangeError> {
    input.reserve(READ_BYTES);
    match reader.read_buf(input).await {
        Ok(0) | Err(_) => Err(ExchangeError::Closed),
        Ok(_) => Ok(()),
    }
}

async fn read_head(
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    input: &mut BytesMut,
) -> Result<ResponseHead, ExchangeError> {
    loop {
        if let Some(head) = parse_head(input)? {
            return Ok(head);
        }
        if input.len() > RESPONSE_HEAD_MAX_BYTES {
            return Err(ExchangeError::Garbled);
        }
        let empty = input.is_empty();
        read_more(reader, input)
            .await
            .map_err(|err| if empty { err } else { ExchangeError::Truncated })?;
    }
}

/// Consumes a complete response head from `input`; `None` if more bytes are needed.
fn parse_head(input: &mut BytesMut) -> Result<Option<ResponseHead>, ExchangeError> {
    let mut fields = [httparse::EMPTY_HEADER; RESPONSE_HEADERS_MAX];
    let mut parsed = httparse::Response::new(&mut fields);
    let used = match parsed.parse(input) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(ExchangeError::Garbled),
    };
    let garbled = || ExchangeError::Garbled;
    let status = StatusCode::from_u16(parsed.code.unwrap_or(0)).map_err(|_| garbled())?;
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| garbled())?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| garbled())?;
        headers.append(name, value);
    }
    let http_1_1 = parsed.version == Some(1);
    let framing = if status.is_informational() {
        Framing::Length(0)
    } else {
        Framing::of(status, &headers).map_err(|_| garbled())?
    };
    let closes = headers.get_all("connection").iter().any(|value| {
        let mut words = value.as_bytes().split(|byte| *byte == b',');
        words.any(|word| word.trim_ascii().eq_ignore_ascii_case(b"close"))
    });
    let keeps_open = http_1_1 && !closes && framing != Framing::UntilClose;
    bytes::Buf::advance(input, used);
    Ok(Some(ResponseHead { status, headers, framing, keeps_open }))
}
