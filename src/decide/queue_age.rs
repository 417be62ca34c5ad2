//! How long a queue has lasted.

/// When a queue was last empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueAge {
    /// When a request last joined the empty queue, in microseconds.
    since_us: u64,
}

impl QueueAge {
    /// Records that a request joins the queue now; returns the age of the queue in microseconds.
    pub const fn join(&mut self, queue_is_empty: bool, now_us: u64) -> u64 {
        if queue_is_empty {
            self.since_us = now_us;
        }
        now_us.saturating_sub(self.since_us)
    }
}
