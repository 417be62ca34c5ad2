//! Sliding window of recent starts.

use smallvec::SmallVec;

/// Times at which requests were started, in order.
#[derive(Clone, Debug, Default)]
pub struct StartWindow {
    starts_us: SmallVec<[u64; 4]>,
}

impl StartWindow {
    /// Records a start, and drops those older than `window_us`.
    pub fn record(&mut self, now_us: u64, window_us: u64) {
        self.starts_us.retain(|at_us| *at_us + window_us > now_us);
        self.starts_us.push(now_us);
    }

    /// Removes a start at this time, as the server did not get its request.
    pub fn remove(&mut self, at_us: u64) {
        if let Some(at) = self.starts_us.iter().position(|started_us| *started_us == at_us) {
            self.starts_us.remove(at);
        }
    }

    /// The earliest time with fewer than `starts_max` starts within the preceding `window_us`, if
    /// there are no new ones; `None` if never.
    #[must_use]
    pub fn below_max_at_us(&self, starts_max: u32, now_us: u64, window_us: u64) -> Option<u64> {
        let starts_max = usize::try_from(starts_max).unwrap_or(usize::MAX);
        let last_over = self.starts_us.len().checked_sub(starts_max);
        let Some(last_over) = last_over else {
            return Some(now_us);
        };
        let started_us = self.starts_us.get(last_over)?;
        Some(now_us.max(started_us + window_us))
    }

    /// Number of starts within the last `window_us`.
    #[must_use]
    pub fn count(&self, now_us: u64, window_us: u64) -> u32 {
        let counts = |at_us: &&u64| **at_us + window_us > now_us;
        u32::try_from(self.starts_us.iter().filter(counts).count()).unwrap_or(u32::MAX)
    }
}
