//! A backend server as the request path uses it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use super::server_conns::ServerConns;

/// A backend server with its connections.
#[derive(Debug)]
pub struct Server {
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub zone: Arc<str>,
    /// Hash of the id, by which instances name the server to each other.
    pub key: u32,
    pub conns: ServerConns,
    /// Whether it was ever asked for its health by this instance.
    pub asked: AtomicBool,
}
