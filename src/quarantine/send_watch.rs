//! What the end of a send shows of its request, where that comes after the head of the answer.

use std::sync::Arc;

use tokio::task::JoinHandle;

use super::Trial;
use super::Unanswered;

/// A send whose answer is still on its way.
#[derive(Debug)]
pub struct SendWatch {
    pub trial: Arc<Trial>,
    pub unanswered: Unanswered,
}

impl SendWatch {
    /// The answer came whole.
    pub fn answered(&self) {
        self.trial.answered();
    }

    /// The answer was cut short; its server is looked for.
    #[must_use = "the look goes on when this is dropped"]
    pub fn lost(self) -> JoinHandle<()> {
        self.unanswered.look(self.trial)
    }
}
