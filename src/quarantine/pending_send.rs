//! Records the outcome of a send whose response body is still being received.

use std::sync::Arc;

use tokio::task::JoinHandle;

use super::AdmittedSend;
use super::FailedSend;

/// A send whose response body is still being received.
#[derive(Debug)]
pub struct PendingSend {
    pub send: Arc<AdmittedSend>,
    /// What to check if the response is cut short.
    pub failed_send: FailedSend,
}

impl PendingSend {
    /// Records that the whole response arrived.
    pub fn record_response(&self) {
        self.send.record_response();
    }

    /// The response was cut short: checks whether the server has crashed.
    #[must_use = "the check continues when this is dropped"]
    pub fn record_truncated(self) -> JoinHandle<()> {
        self.failed_send.check_for_crash(self.send)
    }
}
