//! Requests that were started lately.

use smallvec::SmallVec;

/// When requests were started, in order.
#[derive(Clone, Debug, Default)]
pub struct StartWindow {
    starts_us: SmallVec<[u64; 4]>,
}

impl StartWindow {
    /// Takes note of a start; what lies further back than `span_us` is forgotten.
    pub fn record(&mut self, now_us: u64, span_us: u64) {
        self.starts_us.retain(|at_us| *at_us + span_us > now_us);
        self.starts_us.push(now_us);
    }

    /// Takes back a start at this time: nothing was sent.
    pub fn remove(&mut self, at_us: u64) {
        if let Some(at) = self.starts_us.iter().position(|started_us| *started_us == at_us) {
            self.starts_us.remove(at);
        }
    }

    /// When there will be less than `starts_max` starts within the last `span_us`, if no more come;
    /// `None` if never.
    #[must_use]
    pub fn below_max_at_us(&self, starts_max: u32, now_us: u64, span_us: u64) -> Option<u64> {
        let starts_max = usize::try_from(starts_max).unwrap_or(usize::MAX);
        let last_over = self.starts_us.len().checked_sub(starts_max);
        let Some(last_over) = last_over else {
            return Some(now_us);
        };
        let started_us = self.starts_us.get(last_over)?;
        Some(now_us.max(started_us + span_us))
    }

    /// Starts within the last `span_us`.
    #[must_use]
    pub fn count(&self, now_us: u64, span_us: u64) -> u32 {
        let counts = |at_us: &&u64| **at_us + span_us > now_us;
        u32::try_from(self.starts_us.iter().filter(counts).count()).unwrap_or(u32::MAX)
    }
}
