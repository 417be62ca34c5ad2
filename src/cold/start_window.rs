//! Requests that were started in the last second.

use smallvec::SmallVec;

/// The span of the operators' bound, and a margin for requests that take longer than others on their
/// way, so that starts further apart arrive within one second: a connection and a health check.
const WINDOW_US: u64 = 1_300_000;

/// When requests were started, those of the last second.
#[derive(Clone, Debug, Default)]
pub struct StartWindow {
    started_us: SmallVec<[u64; 4]>,
}

impl StartWindow {
    /// Takes note of a start.
    pub fn start(&mut self, now_us: u64) {
        self.started_us.retain(|at_us| *at_us + WINDOW_US > now_us);
        self.started_us.push(now_us);
    }

    /// Takes back a start at this time: nothing was sent.
    pub fn take_back(&mut self, at_us: u64) {
        if let Some(at) = self.started_us.iter().position(|started_us| *started_us == at_us) {
            self.started_us.swap_remove(at);
        }
    }

    /// Starts that may still count.
    #[must_use]
    pub fn count(&self, now_us: u64) -> u32 {
        let counts = |at_us: &&u64| **at_us + WINDOW_US > now_us;
        u32::try_from(self.started_us.iter().filter(counts).count()).unwrap_or(u32::MAX)
    }
}
