//! HTTP/1.1 client of the platform's store with pooled connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

use super::StoreError;

/// Maximum size of a response body.
const RESPONSE_MAX_BYTES: usize = 64 << 20;
/// Maximum number of pooled idle connections.
const IDLE_CONNS_MAX: usize = 4;
/// TCP keepalive, which detects a dead connection while a watch waits on it: the idle time before
/// the first probe, the interval between probes, and the number of lost probes before the
/// connection is closed.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

type Sender = http1::SendRequest<Full<Bytes>>;

/// A client of one address; clones share connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    address: SocketAddr,
    call_timeout: Duration,
    idle: Arc<Mutex<Vec<Sender>>>,
}

/// A complete response.
#[derive(Debug)]
pub struct HttpReply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

fn response_lost(why: impl std::fmt::Display) -> StoreError {
    StoreError::ResponseLost(why.to_string())
}

fn unreachable(why: impl std::fmt::Display) -> StoreError {
    StoreError::Unreachable(why.to_string())
}

impl HttpClient {
    /// Creates a client that connects on the first call; each call times out after `call_timeout`.
    #[must_use]
    pub fn open(address: SocketAddr, call_timeout: Duration) -> Self {
        Self { address, call_timeout, idle: Arc::default() }
    }

    /// Opens a connection with keepalive.
    async fn connect(&self) -> Result<Sender, StoreError> {
        let stream = TcpStream::connect(self.address).await.map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_AFTER)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES);
        SockRef::from(&stream).set_tcp_keepalive(&keepalive).map_err(unreachable)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(unreachable)?;
        // A connection error shows as a lost response of the call that uses it.
        tokio::spawn(connection);
        Ok(sender)
    }

    /// A pooled connection that is ready, or a new one.
    async fn sender(&self) -> Result<Sender, StoreError> {
        loop {
            let idle = self.idle.lock().pop();
            let Some(mut sender) = idle else {
                break;
            };
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        tokio::time::timeout(self.call_timeout, self.connect())
            .await
            .unwrap_or_else(|_| Err(unreachable("connect timed out")))
    }

    /// Makes one call. `extra_wait` is the time that the store may hold it, added to the timeout.
    ///
    /// # Errors
    /// The error tells whether the call may have taken effect.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        extra_wait: Duration,
    ) -> Result<HttpReply, StoreError> {
        let mut sender = self.sender().await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::copy_from_slice(body)))
            .map_err(|err| StoreError::Refused(err.to_string()))?;
        let exchange = async {
            let response = match sender.try_send_request(request).await {
                Ok(response) => response,
                // hyper returns the request only if nothing of it was written.
                Err(mut err) => {
                    let unsent = err.take_message().is_some();
                    let why = err.into_error().to_string();
                    return Err(if unsent { unreachable(why) } else { response_lost(why) });
                }
            };
            let status = response.status();
            let headers = response.headers().clone();
            let limited = Limited::new(response.into_body(), RESPONSE_MAX_BYTES);
            let body = limited.collect().await.map_err(response_lost)?.to_bytes();
            Ok(HttpReply { status, headers, body })
        };
        // On a timeout or error the sender is dropped, which closes the connection instead of
        // reusing it.
        let reply = tokio::time::timeout(self.call_timeout + extra_wait, exchange)
            .await
            .unwrap_or_else(|_| Err(response_lost("timed out")))?;
        let mut idle = self.idle.lock();
        if idle.len() < IDLE_CONNS_MAX {
            idle.push(sender);
        }
        Ok(reply)
    }
}
