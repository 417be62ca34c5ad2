//! A backend server as the request path uses it.

use std::sync::atomic::AtomicBool;

use super::server_conns::ServerConns;
use crate::balance::server_key;
use crate::model::ServerRow;

/// One start of a backend server, with its connections.
#[derive(Debug)]
pub struct Server {
    /// As it was first listed; its state and warm-up are what was known then.
    pub row: ServerRow,
    /// Hash by which instances name this start of the server to each other.
    pub key: u32,
    pub conns: ServerConns,
    /// Whether it was ever asked for its health by this instance.
    pub asked: AtomicBool,
}

impl Server {
    /// A server without a connection.
    #[must_use]
    pub fn new(row: ServerRow) -> Self {
        let conns = ServerConns::new(row.address);
        Self { key: server_key(&row), conns, asked: AtomicBool::new(false), row }
    }
}
