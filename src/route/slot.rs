//! A slot in the hands of one attempt, and what those who wait for one are offered.

use std::sync::Arc;

use super::SlotQueue;
use super::Upstream;
use crate::clock::now_us;
use crate::decide::AttemptOutcome;

/// What a waiting request gets.
#[derive(Debug)]
pub enum Offer {
    Slot(Slot),
    /// Another home told of free slots: try there.
    Redirect,
}

/// A slot of a backend server that one attempt holds; dropped, it is given back.
#[derive(Debug)]
pub struct Slot {
    pub(super) queue: SlotQueue,
    pub index: usize,
    pub upstream: Arc<Upstream>,
    pub(super) started_us: u64,
    pub(super) finished: bool,
}

impl Slot {
    /// Time since the slot was taken.
    #[must_use]
    pub fn elapsed_us(&self) -> u64 {
        now_us().saturating_sub(self.started_us)
    }

    /// Takes note of the load that the server told.
    pub fn record_load(&self, in_flight: u32) {
        self.queue.record_load(self.index, in_flight);
    }

    /// Gives the slot back with what was learned.
    pub fn finish(mut self, finish: AttemptOutcome) {
        self.finished = true;
        self.queue.finish(self.index, finish);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.finished {
            self.queue.finish(self.index, AttemptOutcome::Cancelled);
        }
    }
}
