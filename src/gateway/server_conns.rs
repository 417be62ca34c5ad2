//! The idle connections to one backend server.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;

use super::server_conn::OpenConnGuard;
use super::server_conn::ServerConn;

/// Idle connections kept to one server; more than its slots are of no use.
const IDLE_CONNS_MAX: usize = 8;

/// Connections to one backend server, the last used first.
#[derive(Debug)]
pub struct ServerConnPool {
    address: SocketAddr,
    idle: Mutex<Vec<ServerConn>>,
    /// Connections that are open, idle ones included.
    open: Arc<AtomicU32>,
    /// This instance's part of the connections that the server accepts from everybody.
    open_max: AtomicU32,
}

impl ServerConnPool {
    /// No connection yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let idle = Mutex::new(Vec::new());
        Self { address, idle, open: Arc::default(), open_max: AtomicU32::new(u32::MAX) }
    }

    /// Sets this instance's part of the connections that the server accepts.
    pub fn set_open_max(&self, open_max: u32) {
        self.open_max.store(open_max, Ordering::Release);
    }

    /// Connections that are open now, idle ones included.
    #[must_use]
    pub fn open_count(&self) -> u32 {
        self.open.load(Ordering::Acquire)
    }

    /// Where the server listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// An idle connection that may be used again.
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

    /// A connection: an idle one, or a new one.
    ///
    /// # Errors
    /// When none can be opened within `within`, or [`ErrorKind::QuotaExceeded`] when this instance
    /// has as many as it may.
    pub async fn take(&self, within: Duration) -> std::io::Result<ServerConn> {
        if let Some(conn) = self.take_idle() {
            return Ok(conn);
        }
        let open_max = self.open_max.load(Ordering::Acquire);
        let Some(open) = OpenConnGuard::try_new(&self.open, open_max) else {
            return Err(ErrorKind::QuotaExceeded.into());
        };
        ServerConn::open(self.address, within, open).await
    }

    /// Keeps a connection for the next request.
    pub fn put_back(&self, conn: ServerConn) {
        let mut idle = self.idle.lock();
        if idle.len() < IDLE_CONNS_MAX {
            idle.push(conn);
        }
    }

    /// Closes connections that may not be used again.
    pub fn close_expired(&self) {
        self.idle.lock().retain(ServerConn::is_reusable);
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        self.idle.lock().clear();
    }
}
