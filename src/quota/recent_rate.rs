//! Rate of events in the last moments.

/// Time constant of the average, in seconds.
const AVERAGE_S: f64 = 0.2;

/// Exponentially weighted rate of events.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentRate {
    per_s: f64,
    updated_us: u64,
}

impl RecentRate {
    /// Events per second.
    #[expect(clippy::cast_precision_loss, reason = "microseconds of uptime stay below 2^52")]
    pub(super) fn per_s(&self, now_us: u64) -> f64 {
        let passed_s = now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        self.per_s * (-passed_s / AVERAGE_S).exp()
    }

    /// Counts `events`.
    pub(super) fn record(&mut self, events: f64, now_us: u64) {
        self.per_s = self.per_s(now_us) + events / AVERAGE_S;
        self.updated_us = now_us;
    }
}
