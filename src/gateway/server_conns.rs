//! The idle connections to one backend server.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;

use super::server_conn::ServerConn;

/// Idle connections kept to one server; more than its slots are of no use.
const IDLE_MAX: usize = 8;

/// Connections to one backend server, the last used first.
#[derive(Debug)]
pub struct ServerConns {
    address: SocketAddr,
    idle: Mutex<Vec<ServerConn>>,
}

impl ServerConns {
    /// No connection yet.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::new(Vec::new()) }
    }

    /// Where the server listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// An idle connection that may be used again.
    #[must_use]
    pub fn reuse(&self) -> Option<ServerConn> {
        let mut idle = self.idle.lock();
        while let Some(conn) = idle.pop() {
            if conn.reusable() {
                return Some(conn);
            }
        }
        None
    }

    /// A connection: an idle one, or a new one.
    ///
    /// # Errors
    /// When none can be opened within `within`.
    pub async fn take(&self, within: Duration) -> std::io::Result<ServerConn> {
        match self.reuse() {
            Some(conn) => Ok(conn),
            None => ServerConn::open(self.address, within).await,
        }
    }

    /// Keeps a connection for the next request.
    pub fn put_back(&self, conn: ServerConn) {
        let mut idle = self.idle.lock();
        if idle.len() < IDLE_MAX {
            idle.push(conn);
        }
    }

    /// Closes connections that may not be used again.
    pub fn tidy(&self) {
        self.idle.lock().retain(ServerConn::reusable);
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        self.idle.lock().clear();
    }
}
