//! A backend server as the request path uses it.

use std::sync::atomic::AtomicBool;

use super::server_conns::ServerConnPool;
use crate::balance::server_key;
use crate::model::ServerRow;

/// One start of a backend server, with its connections.
#[derive(Debug)]
pub struct Server {
    /// As it was first listed; its state and warm-up are what was known then.
    pub row: ServerRow,
    /// Hash by which instances name this start of the server to each other.
    pub key: u32,
    pub conns: ServerConnPool,
    /// Whether it was ever asked for its health by this instance.
    pub health_checked: AtomicBool,
}

impl Server {
    /// A server without a connection.
    #[must_use]
    pub fn new(row: ServerRow) -> Self {
        let conns = ServerConnPool::new(row.address);
        Self { key: server_key(&row), conns, health_checked: AtomicBool::new(false), row }
    }
}
