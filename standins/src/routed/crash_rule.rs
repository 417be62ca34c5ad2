//! The rule by which requests crash a stand-in backend server.

use std::time::Duration;

/// Which requests crash a server, and how.
#[derive(Clone, Debug)]
pub struct CrashRule {
    /// A request whose head contains this text crashes the server after its service time.
    pub head_contains: String,
    /// How long nothing listens on the server's address after the crash.
    pub downtime: Duration,
    /// Whether the server sends the first part of a response before the crash.
    pub mid_response: bool,
}
