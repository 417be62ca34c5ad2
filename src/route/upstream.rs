//! The connection pool of one backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;

use crate::clock::now_ms;
use crate::reach::ReachEvidence;

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is not used for requests that are not idempotent: the idle
/// timeout of the server may close it while the request is written, which leaves the outcome
/// unknown.
const RECENT_IDLE_MAX_MS: u64 = 4_000;
/// Idle time after which a connection is closed.
const IDLE_MAX_MS: u64 = 60_000;
/// A server that was used within this time keeps a spare connection.
const SPARE_CONN_PERIOD_MS: u64 = 10_000;

/// How recently a pooled connection must have been used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Recently, so that the server is unlikely to close it while the request is written.
    Recent,
    /// At any time: a request that finds its connection closed is retried.
    Any,
}

impl Freshness {
    const fn idle_max_ms(self) -> u64 {
        match self {
            Self::Recent => RECENT_IDLE_MAX_MS,
            Self::Any => IDLE_MAX_MS,
        }
    }
}

/// A backend server and its connections.
#[derive(Debug)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    /// Hash of `id` that identifies the server in messages between instances.
    pub id_hash: u32,
    /// The most recently used one is last.
    idle: Mutex<Vec<IdleConn>>,
    /// Connections open now.
    open_count: Arc<AtomicU32>,
    /// Connections opened since the start.
    opened_total: AtomicU32,
    /// Connections that this instance may have open; at least 1.
    open_max: AtomicU32,
    /// When a connection was last requested.
    last_used_ms: AtomicU64,
}

/// A connection in the pool.
#[derive(Debug)]
struct IdleConn {
    sender: SendRequest<Full<Bytes>>,
    idle_since_ms: u64,
}

/// A connection held by one attempt. Dropping it closes it, which tells the backend server that
/// the answer is no longer wanted.
#[derive(Debug)]
pub struct PooledConn {
    pub sender: SendRequest<Full<Bytes>>,
    upstream: Arc<Upstream>,
    /// Whether it was opened for this attempt.
    is_new: bool,
}

/// Why there is no connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckoutError {
    /// This instance has as many open as it may have.
    TooManyOpen,
    /// None could be opened in time.
    Unreachable,
}

impl PooledConn {
    /// What a response on this connection shows about the path to the server.
    #[must_use]
    pub const fn response_evidence(&self) -> ReachEvidence {
        if self.is_new { ReachEvidence::RespondedOnNewConnection } else { ReachEvidence::Responded }
    }

    /// Returns the connection to the pool for the next request.
    pub fn return_to_pool(self) {
        let idle = IdleConn { sender: self.sender, idle_since_ms: now_ms() };
        self.upstream.idle.lock().push(idle);
    }
}

/// Counts an open connection until it is dropped.
struct OpenConnPermit(Arc<AtomicU32>);

impl Drop for OpenConnPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The low half of the hash of a server's id.
#[expect(clippy::cast_possible_truncation, reason = "only the low half of the hash is used")]
fn hash_of_id(id: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32
}

impl Upstream {
    /// A pool without connections; the first one is opened for the first request.
    #[must_use]
    pub fn new(id: &str, address: SocketAddr, open_max: u32) -> Self {
        Self {
            id: id.to_owned(),
            address,
            id_hash: hash_of_id(id),
            idle: Mutex::default(),
            open_count: Arc::default(),
            opened_total: AtomicU32::new(0),
            open_max: AtomicU32::new(open_max.max(1)),
            last_used_ms: AtomicU64::new(0),
        }
    }

    /// Connections opened since the start.
    #[must_use]
    pub fn opened_total(&self) -> u32 {
        self.opened_total.load(Ordering::Relaxed)
    }

    /// Sets how many connections this instance may have open.
    pub fn set_open_max(&self, open_max: u32) {
        self.open_max.store(open_max.max(1), Ordering::Release);
    }

    /// Takes the most recently used idle connection, unless it has been idle for too long.
    fn pop_idle(&self, freshness: Freshness) -> Option<SendRequest<Full<Bytes>>> {
        let oldest_ms = now_ms().saturating_sub(freshness.idle_max_ms());
        let mut idle = self.idle.lock();
        while let Some(last) = idle.pop() {
            if last.sender.is_closed() {
                continue;
            }
            if last.idle_since_ms >= oldest_ms {
                return Some(last.sender);
            }
            idle.push(last);
            break;
        }
        None
    }

    /// Whether [`Self::maintain`] may have something to do.
    #[must_use]
    pub fn needs_maintenance(&self) -> bool {
        self.recently_used() || !self.idle.lock().is_empty()
    }

    fn recently_used(&self) -> bool {
        now_ms().saturating_sub(self.last_used_ms.load(Ordering::Relaxed)) <= SPARE_CONN_PERIOD_MS
    }

    /// Closes connections that were idle for too long. Opens a spare one if the server was used
    /// recently and has none, so that a concurrent request need not wait for a new connection.
    pub async fn maintain(self: &Arc<Self>) {
        let now = now_ms();
        let has_recent = {
            let mut idle = self.idle.lock();
            idle.retain(|conn| now - conn.idle_since_ms <= IDLE_MAX_MS && !conn.sender.is_closed());
            idle.iter().any(|conn| now - conn.idle_since_ms <= RECENT_IDLE_MAX_MS)
        };
        if has_recent || !self.recently_used() {
            return;
        }
        if let Ok(sender) = self.connect(CONNECT_TIMEOUT).await {
            // Below the recently used ones, so that it stays a spare.
            self.idle.lock().insert(0, IdleConn { sender, idle_since_ms: now_ms() });
        }
    }

    /// A connection that is ready for a request: the most recently used idle one, or a new one.
    ///
    /// # Errors
    /// Why none can be opened; no byte of a request has been sent then.
    pub async fn checkout(
        self: &Arc<Self>,
        freshness: Freshness,
    ) -> Result<PooledConn, CheckoutError> {
        self.last_used_ms.store(now_ms(), Ordering::Relaxed);
        while let Some(mut sender) = self.pop_idle(freshness) {
            if sender.ready().await.is_ok() {
                return Ok(PooledConn { sender, upstream: Arc::clone(self), is_new: false });
            }
        }
        self.open_new(CONNECT_TIMEOUT).await
    }

    /// A new connection.
    ///
    /// # Errors
    /// As [`Self::checkout`].
    pub async fn open_new(
        self: &Arc<Self>,
        timeout: Duration,
    ) -> Result<PooledConn, CheckoutError> {
        let sender = self.connect(timeout).await?;
        Ok(PooledConn { sender, upstream: Arc::clone(self), is_new: true })
    }

    /// Opens a connection.
    async fn connect(&self, timeout: Duration) -> Result<SendRequest<Full<Bytes>>, CheckoutError> {
        let permit = self.acquire_permit().ok_or(CheckoutError::TooManyOpen)?;
        let opened = tokio::time::timeout(timeout, async {
            let stream = TcpStream::connect(self.address).await.ok()?;
            let _ = stream.set_nodelay(true);
            http1::handshake(TokioIo::new(stream)).await.ok()
        });
        let opened = opened.await.ok().flatten();
        let (sender, connection) = opened.ok_or(CheckoutError::Unreachable)?;
        self.opened_total.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            // An error also reaches the attempt that uses the connection.
            let _ = connection.await;
            drop(permit);
        });
        Ok(sender)
    }

    /// Counts a new connection, if this instance's share of the server's connections allows one.
    fn acquire_permit(&self) -> Option<OpenConnPermit> {
        let max = self.open_max.load(Ordering::Acquire);
        let next = |open: u32| (open < max).then_some(open + 1);
        let reserved = self.open_count.fetch_update(Ordering::AcqRel, Ordering::Acquire, next);
        reserved.ok().map(|_| OpenConnPermit(Arc::clone(&self.open_count)))
    }
}
