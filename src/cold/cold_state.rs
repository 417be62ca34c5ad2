//! Whether one server is cold, and what this instance started there lately.

use super::StartWindow;

/// What is known of one server. Its entry says how long it stays cold, and its health answers do; the
/// newer word counts.
#[derive(Clone, Debug)]
pub struct ColdState {
    entry_until_us: u64,
    entry_told_us: u64,
    /// By its health answers, or presumed where nobody has said anything yet.
    health_until_us: u64,
    health_told_us: u64,
    /// Whether its health answers ever told that it is cold; one that does not say so is warm then.
    tells_cold: bool,
    starts: StartWindow,
    /// Requests that this instance may start there in any second while it is cold.
    starts_max: u32,
}

impl ColdState {
    /// Of a server that was just listed with an entry that says so.
    #[must_use]
    pub fn new(warmup_ms: u64, now_us: u64) -> Self {
        Self {
            entry_until_us: now_us + warmup_ms * 1000,
            entry_told_us: now_us,
            health_until_us: 0,
            health_told_us: 0,
            tells_cold: false,
            starts: StartWindow::default(),
            starts_max: u32::MAX,
        }
    }

    /// Takes in what its entry says.
    pub const fn hear_entry(&mut self, warmup_ms: u64, now_us: u64) {
        self.entry_until_us = now_us + warmup_ms * 1000;
        self.entry_told_us = now_us;
    }

    /// Takes in what a health answer says; `None` where it says nothing of being cold.
    pub fn hear_health(&mut self, left_ms: Option<u64>, now_us: u64) {
        self.tells_cold |= left_ms.is_some();
        self.health_told_us = now_us;
        self.health_until_us = left_ms.map_or(0, |left_ms| now_us + left_ms * 1000);
    }

    /// It may be cold for so long without anybody having said so; the next health answer tells.
    pub fn presume(&mut self, warmup_us: u64, now_us: u64) {
        self.health_until_us = self.health_until_us.max(now_us + warmup_us);
    }

    /// Whether it works at its usual speed, as far as its start is concerned.
    #[must_use]
    pub const fn warm(&self, now_us: u64) -> bool {
        now_us >= self.health_until_us && (now_us >= self.entry_until_us || self.told_warm())
    }

    /// Whether a health answer told otherwise after its entry did.
    const fn told_warm(&self) -> bool {
        self.tells_cold && self.health_told_us > self.entry_told_us
    }

    /// What this instance may start there in any second while it is cold.
    pub const fn set_starts_max(&mut self, starts_max: u32) {
        self.starts_max = starts_max;
    }

    /// Whether one more request may be started there.
    #[must_use]
    pub fn may_start(&self, now_us: u64) -> bool {
        self.warm(now_us) || self.starts.count(now_us) < self.starts_max
    }

    /// Whether more was started there than may be while it is cold.
    #[must_use]
    pub fn over_started(&self, now_us: u64) -> bool {
        !self.warm(now_us) && self.starts.count(now_us) > self.starts_max
    }

    /// Takes note of a start; those at a warm server count too, as it may have turned cold unsaid.
    pub fn start(&mut self, now_us: u64) {
        self.starts.start(now_us);
    }

    /// Takes a start back: nothing was sent.
    pub fn take_back(&mut self, at_us: u64) {
        self.starts.take_back(at_us);
    }
}
