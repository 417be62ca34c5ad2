//! Memory set aside for the bodies of requests and answers.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// A bound on bytes held at the same time, over all connections.
#[derive(Debug)]
pub struct MemoryBudget {
    used: AtomicUsize,
    max_bytes: usize,
}

/// Part of a room, given back when dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Room for `max_bytes`.
    #[must_use]
    pub const fn new(max_bytes: usize) -> Self {
        Self { used: AtomicUsize::new(0), max_bytes }
    }

    /// Bytes that are held now.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }

    /// A part that holds nothing yet.
    #[must_use]
    pub fn reservation(self: &Arc<Self>) -> MemoryReservation {
        MemoryReservation { budget: Arc::clone(self), bytes: 0 }
    }
}

impl MemoryReservation {
    /// Takes more bytes; `false`, with nothing taken, when the room has not that many left.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let max_bytes = self.budget.max_bytes;
        let add = |used: usize| used.checked_add(bytes).filter(|used| *used <= max_bytes);
        let taken = self.budget.used.try_update(Ordering::AcqRel, Ordering::Acquire, add).is_ok();
        if taken {
            self.bytes += bytes;
        }
        taken
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
