//! A while for which a backend server is cold.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// When it ends, and what arrived meanwhile.
#[derive(Clone, Debug)]
pub struct ColdPhase {
    until: Instant,
    /// Requests within a second that the server bears.
    capacity_per_s: usize,
    last_second: VecDeque<Instant>,
    peak_arrivals_per_s: usize,
}

impl ColdPhase {
    /// One that begins now.
    #[must_use]
    pub fn new(lasts: Duration, capacity_per_s: usize) -> Self {
        let until = Instant::now() + lasts;
        Self { until, capacity_per_s, last_second: VecDeque::new(), peak_arrivals_per_s: 0 }
    }

    /// How long it still lasts; `None` once it is over.
    #[must_use]
    pub fn remaining(&self) -> Option<Duration> {
        let left = self.until.saturating_duration_since(Instant::now());
        (!left.is_zero()).then_some(left)
    }

    /// Counts a request; whether it is one too many.
    pub fn record_arrival(&mut self) -> bool {
        if self.remaining().is_none() {
            return false;
        }
        let now = Instant::now();
        while self.last_second.front().is_some_and(|at| now - *at >= SECOND) {
            self.last_second.pop_front();
        }
        self.last_second.push_back(now);
        self.peak_arrivals_per_s = self.peak_arrivals_per_s.max(self.last_second.len());
        self.last_second.len() > self.capacity_per_s
    }

    /// Most requests that arrived within a second.
    #[must_use]
    pub const fn peak_arrivals_per_s(&self) -> usize {
        self.peak_arrivals_per_s
    }
}
