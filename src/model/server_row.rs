//! A backend server's entry in the platform's list.

use std::net::SocketAddr;
use std::sync::Arc;

use http::HeaderValue;
use serde::Deserialize;
use serde::Serialize;

use super::check::is_connectable;

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    Ready,
    Draining,
}

/// Largest plausible number of slots of one server; an entry with more is rejected.
const SLOTS_MAX: u32 = 100_000;
/// Longest plausible warm-up, a day; an entry with a longer one is rejected.
const WARMUP_MAX_MS: u64 = 24 * 60 * 60 * 1_000;

/// One run of a backend server's process. A restart is another row, with another id or with the
/// same id and a later `started_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRow {
    /// Empty if the id is part of the row's key in the store.
    #[serde(default = "no_id")]
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub address: SocketAddr,
    pub zone: Arc<str>,
    /// Requests that it processes concurrently.
    pub slots: u32,
    pub state: ServerState,
    /// Remaining warm-up time after its start, as of the writing of the row.
    #[serde(default)]
    pub warmup_ms: u64,
    /// When its process started, by its own clock, in Unix milliseconds; 0 if not reported.
    #[serde(default)]
    pub started_ms: u64,
    /// Increases with each report of the same run.
    #[serde(default)]
    pub sequence: u64,
}

fn no_id() -> Arc<str> {
    "".into()
}

impl ServerRow {
    /// Checks that the row describes a server that can be used.
    ///
    /// # Errors
    /// Names the invalid field.
    pub fn validate(&self) -> Result<(), String> {
        if !fits_header(&self.id) {
            return Err("id: cannot be sent in a header".into());
        }
        if self.slots == 0 || self.slots > SLOTS_MAX {
            return Err(format!("slots: {} is not within 1 to {SLOTS_MAX}", self.slots));
        }
        if self.warmup_ms > WARMUP_MAX_MS {
            return Err(format!("warmup_ms: {} is over {WARMUP_MAX_MS}", self.warmup_ms));
        }
        if !is_connectable(self.address) {
            return Err(format!("address: {} cannot be connected to", self.address));
        }
        Ok(())
    }

    /// Whether both rows describe the same run of the same server.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.started_ms == other.started_ms
            && self.address == other.address
            && self.service == other.service
    }

    /// Whether the server is shutting down and accepts no new requests.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.state == ServerState::Draining
    }
}

/// Whether a recipient of a header with this value reads just this text.
fn fits_header(text: &str) -> bool {
    !text.is_empty()
        && text.trim_ascii() == text
        && HeaderValue::from_bytes(text.as_bytes()).is_ok()
}
