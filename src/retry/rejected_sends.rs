//! The part of a service's sends that its servers reject.

use super::decayed_count::DecayedCount;

/// Time, in microseconds, for which sends are remembered: long enough to see many, and short
/// against the timeouts of callers.
const MEMORY_US: u64 = 1_000_000;
/// Sends from which on their rejected part is used.
const SENDS_MIN: f64 = 40.0;
/// Rejected part of the sends above which one more would be rejected too.
const USELESS_SHARE: f64 = 0.97;

/// Recent sends to the servers of one service.
#[derive(Debug, Default)]
pub(super) struct RejectedSends {
    sends: DecayedCount,
    rejected: DecayedCount,
}

impl RejectedSends {
    pub(super) fn record(&mut self, rejected: bool, now_us: u64) {
        self.sends.add(1.0, MEMORY_US, now_us);
        if rejected {
            self.rejected.add(1.0, MEMORY_US, now_us);
        }
    }

    /// Part of the sends that was rejected, from 0 to 1.
    pub(super) fn share(&self, now_us: u64) -> f64 {
        let sends = self.sends.value(MEMORY_US, now_us).max(1.0);
        self.rejected.value(MEMORY_US, now_us) / sends
    }

    /// Whether another send would be rejected almost certainly.
    pub(super) fn is_useless(&self, now_us: u64) -> bool {
        self.sends.value(MEMORY_US, now_us) >= SENDS_MIN && self.share(now_us) >= USELESS_SHARE
    }
}
