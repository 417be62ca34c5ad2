//! Local health: whether this instance itself runs late, which must not count against other
//! members.

/// A timer that fires this much too late, in milliseconds, shows that this instance was stalled. A
/// process that has used up its CPU quota is stopped for most of the 100 ms quota period.
const LATE_THRESHOLD_MS: u64 = 100;
/// Upper bound of the score, in consecutive late ticks.
const SCORE_MAX: u64 = 8;

/// Whether an event that was due after `due_ms` and happened after `elapsed_ms` shows that this
/// instance was stalled.
#[must_use]
pub const fn is_late(elapsed_ms: u64, due_ms: u64) -> bool {
    elapsed_ms > due_ms + LATE_THRESHOLD_MS
}

/// Tracks whether this instance's own timer ticks are late.
///
/// A stalled instance learns late that a suspect has refuted the suspicion: the message waits
/// unread while the suspicion times out.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalHealth {
    /// Raised by one for each late tick, lowered by one for each tick in time.
    score: u64,
}

impl LocalHealth {
    /// The health of an instance that has not been late.
    #[must_use]
    pub const fn new() -> Self {
        Self { score: 0 }
    }

    /// Records a tick that was due after `due_ms` and came after `elapsed_ms`; returns the part of
    /// the elapsed time that does not count towards any suspicion timeout.
    pub fn record_tick(&mut self, elapsed_ms: u64, due_ms: u64) -> u64 {
        if is_late(elapsed_ms, due_ms) {
            self.score = (self.score + 1).min(SCORE_MAX);
            return elapsed_ms;
        }
        self.score = self.score.saturating_sub(1);
        let counted_ms = elapsed_ms.min(due_ms) / (1 + self.score);
        elapsed_ms - counted_ms
    }
}
