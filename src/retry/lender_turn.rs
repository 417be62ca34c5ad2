//! Whom an instance asks next for retries, and when.

/// Answers in a row that granted nothing after which an instance pauses.
const EMPTY_ANSWERS_MAX: u32 = 12;
/// First pause, in microseconds; each further one is twice as long.
const PAUSE_MIN_US: u64 = 500_000;
/// Longest pause, in microseconds.
const PAUSE_MAX_US: u64 = 2_000_000;

/// The turn among the possible lenders of one service. One that gave all that was wanted is asked
/// again first.
#[derive(Clone, Copy, Debug, Default)]
pub struct LenderTurn {
    next: usize,
    empty_answers: u32,
    /// Length of the last pause since something was granted; 0 if there was none.
    pause_us: u64,
    paused_until_us: u64,
}

impl LenderTurn {
    /// Whether there is no pause.
    #[must_use]
    pub const fn may_ask(&self, now_us: u64) -> bool {
        now_us >= self.paused_until_us
    }

    /// Position of the next one to ask among `lenders`, of which there is at least one.
    #[must_use]
    pub const fn position(&self, lenders: usize) -> usize {
        self.next % lenders
    }

    /// Records how many of the wanted retries were granted.
    pub fn record(&mut self, wanted: u32, granted: u32, now_us: u64) {
        if granted < wanted {
            self.next = self.next.wrapping_add(1);
        }
        if granted > 0 {
            self.empty_answers = 0;
            self.pause_us = 0;
            return;
        }
        self.empty_answers += 1;
        if self.empty_answers == EMPTY_ANSWERS_MAX {
            self.empty_answers = 0;
            self.pause_us = (2 * self.pause_us).clamp(PAUSE_MIN_US, PAUSE_MAX_US);
            self.paused_until_us = now_us + self.pause_us;
        }
    }
}
