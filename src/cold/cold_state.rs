//! Whether one server is cold.

/// What is known of one server. Its entry says how long it stays cold, and its health answers do; the
/// newer word counts.
#[derive(Clone, Debug)]
pub struct ColdState {
    entry_until_us: u64,
    entry_at_us: u64,
    /// By its health answers, or presumed where nobody has said anything yet.
    health_until_us: u64,
    health_at_us: u64,
    /// Whether its health answers ever told that it is cold; one that does not say so is warm then.
    checks_report_cold: bool,
}

impl ColdState {
    /// Of a server that was just listed with an entry that says so.
    #[must_use]
    pub fn new(warmup_ms: u64, now_us: u64) -> Self {
        Self {
            entry_until_us: now_us + warmup_ms * 1000,
            entry_at_us: now_us,
            health_until_us: 0,
            health_at_us: 0,
            checks_report_cold: false,
        }
    }

    /// Takes in what its entry says.
    pub const fn record_entry(&mut self, warmup_ms: u64, now_us: u64) {
        self.entry_until_us = now_us + warmup_ms * 1000;
        self.entry_at_us = now_us;
    }

    /// Takes in what a health answer says; `None` where it says nothing of being cold.
    pub fn record_health(&mut self, left_ms: Option<u64>, now_us: u64) {
        self.checks_report_cold |= left_ms.is_some();
        self.health_at_us = now_us;
        self.health_until_us = left_ms.map_or(0, |left_ms| now_us + left_ms * 1000);
    }

    /// It may be cold for so long without anybody having said so; the next health answer tells.
    pub fn presume_cold(&mut self, warmup_us: u64, now_us: u64) {
        self.health_until_us = self.health_until_us.max(now_us + warmup_us);
    }

    /// Whether it works at its usual speed, as far as its start is concerned.
    #[must_use]
    pub const fn is_warm(&self, now_us: u64) -> bool {
        now_us >= self.health_until_us && (now_us >= self.entry_until_us || self.reported_warm())
    }

    /// Whether a health answer told otherwise after its entry did.
    const fn reported_warm(&self) -> bool {
        self.checks_report_cold && self.health_at_us > self.entry_at_us
    }
}
