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

/// Slots of one server at most; an entry that names more is a fault of its writer.
const SLOTS_MAX: u32 = 100_000;

/// One start of a backend server. A restart is another row, with another id or with the same and a
/// later `started_ms`.
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
    /// When its process started, by its own clock, in Unix milliseconds; 0 where that is not told.
    #[serde(default)]
    pub started_ms: u64,
    /// Grows with each report of one start.
    #[serde(default)]
    pub sequence: u64,
}

fn no_id() -> Arc<str> {
    "".into()
}

impl ServerRow {
    /// Whether it can name a server to use.
    ///
    /// # Errors
    /// Says which field cannot be.
    pub fn validate(&self) -> Result<(), String> {
        if self.slots == 0 || self.slots > SLOTS_MAX {
            return Err(format!("slots: {} is not within 1 to {SLOTS_MAX}", self.slots));
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err(format!("address: {} cannot be connected to", self.address));
        }
        Ok(())
    }

    /// Whether both rows are of the same start of the same server.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.started_ms == other.started_ms
            && self.address == other.address
            && self.service == other.service
    }

    /// Whether the server leaves and takes no new work.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.state == ServerState::Draining
    }
}
