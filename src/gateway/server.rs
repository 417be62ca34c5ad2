//! A backend server with its connections.

use std::sync::atomic::AtomicBool;

use super::server_conn_pool::ServerConnPool;
use crate::balance::server_key;
use crate::model::ServerRow;

/// One start of a backend server. After a restart it is a new `Server`.
#[derive(Debug)]
pub struct Server {
    /// As first listed; its state and warm-up are not updated.
    pub row: ServerRow,
    /// Hash that identifies this start of the server in messages between instances.
    pub key: u32,
    pub conns: ServerConnPool,
    /// Whether this instance has ever checked the server's health.
    pub health_checked: AtomicBool,
}

impl Server {
    /// Creates a server without connections.
    #[must_use]
    pub fn new(row: ServerRow) -> Self {
        let conns = ServerConnPool::new(row.address);
        Self { key: server_key(&row), conns, health_checked: AtomicBool::new(false), row }
    }
}
