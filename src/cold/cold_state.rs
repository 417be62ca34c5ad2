//! Warm-up state of one server.

/// How long one server stays cold, according to its platform entry and its health checks; the newer
/// report counts.
#[derive(Clone, Debug)]
pub struct ColdState {
    /// End of the warm-up according to the platform entry.
    entry_until_us: u64,
    /// When the platform entry was last received.
    entry_at_us: u64,
    /// End of the warm-up according to health checks, or as assumed until the next one.
    health_until_us: u64,
    /// When the last health check was answered; 0 before the first.
    health_at_us: u64,
    /// Whether the server's health checks ever reported it as cold. If so, a health check that does
    /// not means that it is warm.
    checks_report_cold: bool,
}

impl ColdState {
    /// State of a newly listed server whose entry states this remaining warm-up time.
    #[must_use]
    pub fn new(warmup_ms: u64, now_us: u64) -> Self {
        Self {
            entry_until_us: end_us(warmup_ms, now_us),
            entry_at_us: now_us,
            health_until_us: 0,
            health_at_us: 0,
            checks_report_cold: false,
        }
    }

    /// Records the remaining warm-up time that the platform entry states.
    pub const fn record_entry(&mut self, warmup_ms: u64, now_us: u64) {
        self.entry_until_us = end_us(warmup_ms, now_us);
        self.entry_at_us = now_us;
    }

    /// Records the remaining warm-up time that a health check reports; `None` if it reports none.
    pub fn record_health(&mut self, remaining_ms: Option<u64>, now_us: u64) {
        self.checks_report_cold |= remaining_ms.is_some();
        self.health_at_us = now_us;
        self.health_until_us = remaining_ms.map_or(0, |remaining_ms| end_us(remaining_ms, now_us));
    }

    /// Assumes that the server may be cold for this time without a report. The next health check
    /// settles it.
    pub fn presume_cold(&mut self, warmup_us: u64, now_us: u64) {
        self.health_until_us = self.health_until_us.max(now_us.saturating_add(warmup_us));
    }

    /// Whether the server is warmed up.
    #[must_use]
    pub const fn is_warm(&self, now_us: u64) -> bool {
        now_us >= self.health_until_us && (now_us >= self.entry_until_us || self.reported_warm())
    }

    /// Whether a health check after the entry reported the server as warm.
    const fn reported_warm(&self) -> bool {
        self.checks_report_cold && self.health_at_us > self.entry_at_us
    }
}

/// The end of a warm-up, by the time that a server says it takes, which may be any number.
const fn end_us(remaining_ms: u64, now_us: u64) -> u64 {
    now_us.saturating_add(remaining_ms.saturating_mul(1000))
}
