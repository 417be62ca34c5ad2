//! Which requests crash a backend server.

use std::time::Duration;

/// Requests that crash a server, and how it comes back.
#[derive(Clone, Debug)]
pub struct CrashRule {
    /// A request whose head contains this crashes the server once its work is over.
    pub head_contains: String,
    /// How long nothing listens on its address.
    pub downtime: Duration,
    /// Whether the answer has begun by then.
    pub mid_response: bool,
}
