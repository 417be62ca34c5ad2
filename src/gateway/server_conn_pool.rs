//! The connection pool of one backend server.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;

use super::server_conn::OpenConnGuard;
use super::server_conn::ServerConn;

/// Maximum number of idle connections to one server; more than its slots are of no use.
const IDLE_CONNS_MAX: usize = 8;

/// Connections to one backend server. The most recently used one is reused first.
#[derive(Debug)]
pub struct ServerConnPool {
    address: SocketAddr,
    idle: Mutex<Vec<ServerConn>>,
    /// Number of open connections, including idle ones.
    open: Arc<AtomicU32>,
    /// This instance's share of the connections that the server accepts from all clients.
    open_max: AtomicU32,
}

impl ServerConnPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let idle = Mutex::new(Vec::new());
        Self { address, idle, open: Arc::default(), open_max: AtomicU32::new(u32::MAX) }
    }

    /// Sets this instance's share of the connections that the server accepts.
    pub fn set_open_max(&self, open_max: u32) {
        self.open_max.store(open_max, Ordering::Release);
    }

    /// Number of open connections, including idle ones.
    #[must_use]
    pub fn open_count(&self) -> u32 {
        self.open.load(Ordering::Acquire)
    }

    /// The server's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection that can be reused.
    #[must_use]
    pub fn take_idle(&self) -> Option<ServerConn> {
        let mut idle = self.idle.lock();
        while let Some(conn) = idle.pop() {
            if conn.is_reusable() {
                return Some(conn);
            }
        }
        None
    }

    /// Takes an idle connection or opens a new one.
    ///
    /// # Errors
    /// If none can be opened within `timeout`, or [`ErrorKind::QuotaExceeded`] if this instance has
    /// reached its share of the connections.
    pub async fn take(&self, timeout: Duration) -> std::io::Result<ServerConn> {
        if let Some(conn) = self.take_idle() {
            return Ok(conn);
        }
        self.open_new(timeout).await
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// As [`Self::take`].
    pub async fn open_new(&self, timeout: Duration) -> std::io::Result<ServerConn> {
        let open_max = self.open_max.load(Ordering::Acquire);
        let Some(open) = OpenConnGuard::try_new(&self.open, open_max) else {
            return Err(ErrorKind::QuotaExceeded.into());
        };
        ServerConn::open(self.address, timeout, open).await
    }

    /// Returns a connection to the pool for the next request.
    pub fn put_back(&self, conn: ServerConn) {
        let mut idle = self.idle.lock();
        if idle.len() < IDLE_CONNS_MAX {
            idle.push(conn);
        }
    }

    /// Closes idle connections that can no longer be reused.
    pub fn close_expired(&self) {
        self.idle.lock().retain(ServerConn::is_reusable);
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        self.idle.lock().clear();
    }
}
