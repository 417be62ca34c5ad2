//! How long an instance that was isolated must reach servers before callers are sent to it again.

use std::time::Duration;

/// Hold after the first loss; doubles with each further one.
const HOLD_MIN: Duration = Duration::from_secs(1);
/// Maximum number of doublings.
const DOUBLINGS_MAX: u32 = 4;
/// Time without a loss after which earlier ones are forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Grows with each loss, so that callers do not swing to and fro while a path comes and goes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnHold {
    /// Losses in a row.
    losses: u32,
    last_loss_us: u64,
}

impl ReturnHold {
    /// Records that the paths to the servers were lost.
    pub fn record_loss(&mut self, now_us: u64) {
        let forgotten = now_us.saturating_sub(self.last_loss_us) >= duration_us(FORGET_AFTER);
        self.losses = if forgotten { 1 } else { self.losses.saturating_add(1) };
        self.last_loss_us = now_us;
    }

    /// Time for which servers must be reached without interruption.
    #[must_use]
    pub fn hold_us(&self) -> u64 {
        duration_us(HOLD_MIN) << self.losses.saturating_sub(1).min(DOUBLINGS_MAX)
    }
}

fn duration_us(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
