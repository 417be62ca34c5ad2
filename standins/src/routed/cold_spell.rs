//! A while for which a backend server is cold.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// When it ends, and what arrived meanwhile.
#[derive(Clone, Debug)]
pub struct ColdSpell {
    until: Instant,
    /// Requests within a second that the server bears.
    bears_per_s: usize,
    last_second: VecDeque<Instant>,
    arrivals_most: usize,
}

impl ColdSpell {
    /// One that begins now.
    #[must_use]
    pub fn new(lasts: Duration, bears_per_s: usize) -> Self {
        let until = Instant::now() + lasts;
        Self { until, bears_per_s, last_second: VecDeque::new(), arrivals_most: 0 }
    }

    /// How long it still lasts; `None` once it is over.
    #[must_use]
    pub fn left(&self) -> Option<Duration> {
        let left = self.until.saturating_duration_since(Instant::now());
        (!left.is_zero()).then_some(left)
    }

    /// Counts a request; whether it is one too many.
    pub fn arrives(&mut self) -> bool {
        if self.left().is_none() {
            return false;
        }
        let now = Instant::now();
        while self.last_second.front().is_some_and(|at| now - *at >= SECOND) {
            self.last_second.pop_front();
        }
        self.last_second.push_back(now);
        self.arrivals_most = self.arrivals_most.max(self.last_second.len());
        self.last_second.len() > self.bears_per_s
    }

    /// Most requests that arrived within a second.
    #[must_use]
    pub const fn arrivals_most(&self) -> usize {
        self.arrivals_most
    }
}
