//! The time during which a backend server is cold.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// A period in which a backend server bears only a limited request rate.
#[derive(Clone, Debug)]
pub struct ColdPhase {
    until: Instant,
    /// Most requests within a second that the server bears.
    capacity_per_s: usize,
    last_second: VecDeque<Instant>,
    peak_arrivals_per_s: usize,
}

impl ColdPhase {
    /// Starts a cold phase now.
    #[must_use]
    pub fn new(duration: Duration, capacity_per_s: usize) -> Self {
        let until = Instant::now() + duration;
        Self { until, capacity_per_s, last_second: VecDeque::new(), peak_arrivals_per_s: 0 }
    }

    /// Remaining time; `None` when the phase is over.
    #[must_use]
    pub fn remaining(&self) -> Option<Duration> {
        let remaining = self.until.saturating_duration_since(Instant::now());
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Records a request. Returns `true` if it exceeds the capacity.
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

    /// Most requests that arrived within one second of the phase.
    #[must_use]
    pub const fn peak_arrivals_per_s(&self) -> usize {
        self.peak_arrivals_per_s
    }
}
