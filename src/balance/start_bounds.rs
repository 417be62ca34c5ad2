//! How many requests this instance may start at one backend server in need.

use crate::cold::COLD_SPAN_US;
use crate::cold::ColdBound;
use crate::cold::ColdState;
use crate::starts::HomePart;
use crate::starts::StartWindow;

/// Whether one server is cold, what this instance started there lately, and its part.
#[derive(Clone, Debug)]
pub struct StartBounds {
    pub cold: ColdState,
    starts: StartWindow,
    part: HomePart,
    /// Requests that this instance may start there in any second while it is cold.
    cold_starts_max: u32,
}

impl StartBounds {
    /// Of a server that was just listed with an entry that says that it is cold for so long.
    #[must_use]
    pub fn new(warmup_ms: u64, now_us: u64) -> Self {
        Self {
            cold: ColdState::new(warmup_ms, now_us),
            starts: StartWindow::default(),
            part: HomePart::default(),
            cold_starts_max: u32::MAX,
        }
    }

    /// Takes over this instance's part, and what a cold server of the service may get.
    pub fn share(&mut self, part: HomePart, cold: Option<&ColdBound>) {
        self.part = part;
        self.cold_starts_max = cold.map_or(u32::MAX, |bound| part.of(bound.starts_of_view()));
    }

    /// Whether one more request may be started there.
    #[must_use]
    pub fn may_start(&self, now_us: u64) -> bool {
        self.cold.warm(now_us) || self.starts.count(now_us, COLD_SPAN_US) < self.cold_starts_max
    }

    /// Whether more was started there than may be.
    #[must_use]
    pub fn over_started(&self, now_us: u64) -> bool {
        !self.cold.warm(now_us) && self.starts.count(now_us, COLD_SPAN_US) > self.cold_starts_max
    }

    /// Takes note of a start; those at a warm server count too, as it may have turned cold unsaid.
    pub fn start(&mut self, now_us: u64) {
        self.starts.start(now_us, COLD_SPAN_US);
    }

    /// Takes a start back: nothing was sent.
    pub fn take_back(&mut self, at_us: u64) {
        self.starts.take_back(at_us);
    }
}
