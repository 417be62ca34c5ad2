//! A slot held by one attempt, and what waiting requests are offered.

use std::sync::Arc;

use super::SlotQueue;
use super::Upstream;
use crate::clock::now_us;
use crate::decide::AttemptOutcome;

/// What a waiting request is offered.
#[derive(Debug)]
pub enum Offer {
    Slot(Slot),
    /// A co-home reported free slots: the request may be forwarded there.
    Redirect,
}

/// A slot of a backend server, held by one attempt. Dropping it releases it as cancelled.
#[derive(Debug)]
pub struct Slot {
    pub(super) queue: SlotQueue,
    pub index: usize,
    pub upstream: Arc<Upstream>,
    pub(super) started_us: u64,
    pub(super) released: bool,
}

impl Slot {
    /// Time since the slot was taken, in microseconds.
    #[must_use]
    pub fn elapsed_us(&self) -> u64 {
        now_us().saturating_sub(self.started_us)
    }

    /// Records the load that the server reported.
    pub fn record_load(&self, in_flight: u32) {
        self.queue.record_load(self.index, in_flight);
    }

    /// Releases the slot and records how the attempt ended.
    pub fn release(mut self, outcome: AttemptOutcome) {
        self.released = true;
        self.queue.release_slot(self.index, outcome);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.released {
            self.queue.release_slot(self.index, AttemptOutcome::Cancelled);
        }
    }
}
