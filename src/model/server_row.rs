//! What the platform lists of a backend server.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    Ready,
    Draining,
}

/// One start of a backend server; a restart is another row with another id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRow {
    /// Empty where the key of the row tells it.
    #[serde(default = "no_id")]
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub address: SocketAddr,
    pub zone: Arc<str>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    pub state: ServerState,
    /// How much longer it stays slow after its start, when the row was written.
    #[serde(default)]
    pub warmup_ms: u64,
}

fn no_id() -> Arc<str> {
    "".into()
}

impl ServerRow {
    /// Whether the server leaves and takes no new work.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.state == ServerState::Draining
    }
}
