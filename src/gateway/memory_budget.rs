//! A limit on the memory for the bodies of requests and responses.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// A limit on the bytes held at the same time by all connections.
#[derive(Debug)]
pub struct MemoryBudget {
    used: AtomicUsize,
    max_bytes: usize,
}

/// Bytes reserved from a budget, released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes`.
    #[must_use]
    pub const fn new(max_bytes: usize) -> Self {
        Self { used: AtomicUsize::new(0), max_bytes }
    }

    /// Bytes reserved now.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }

    /// Creates an empty reservation.
    #[must_use]
    pub fn reservation(self: &Arc<Self>) -> MemoryReservation {
        MemoryReservation { budget: Arc::clone(self), bytes: 0 }
    }
}

impl MemoryReservation {
    /// Reserves more bytes; `false`, without reserving any, if the budget does not have that many
    /// left.
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
