//! What the end of a send shows of its request, where that comes after the head of the answer.

use std::sync::Arc;

use tokio::task::JoinHandle;

use super::AdmittedSend;
use super::FailedSend;

/// A send whose answer is still on its way.
#[derive(Debug)]
pub struct PendingSend {
    pub send: Arc<AdmittedSend>,
    pub failed_send: FailedSend,
}

impl PendingSend {
    /// The answer came whole.
    pub fn record_response(&self) {
        self.send.record_response();
    }

    /// The answer was cut short; its server is looked for.
    #[must_use = "the look goes on when this is dropped"]
    pub fn record_truncated(self) -> JoinHandle<()> {
        self.failed_send.check_server(self.send)
    }
}
