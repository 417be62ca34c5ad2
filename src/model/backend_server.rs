//! A backend server of a service.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// A backend server as its operator declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Unique within the service.
    pub id: String,
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it processes concurrently; at least 1.
    pub slots: u32,
    /// Connections that it accepts from all instances together; at least `slots`.
    pub connections_max: u32,
    /// Set by the operator to drain the server: it gets no new requests.
    #[serde(default)]
    pub drained: bool,
}
