//! How well this instance itself runs, which counts for it and not against the others.

/// A turn that comes this much later than due means that this instance was held up: a machine whose
/// part of a core is used up stands still for most of a tenth of a second.
const LATE_THRESHOLD_MS: u64 = 100;
/// Late turns in a row that are told apart.
const SCORE_MAX: u64 = 8;

/// Whether something that was due after `due_ms` and came after `passed_ms` shows that this instance was
/// held up.
#[must_use]
pub const fn is_late(elapsed_ms: u64, due_ms: u64) -> bool {
    elapsed_ms > due_ms + LATE_THRESHOLD_MS
}

/// The lateness of this instance's own turns.
///
/// One that is held up hears late that a suspect lives: the word waits unread while the suspect's time
/// runs out.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalHealth {
    /// Raised by a late turn, lowered by one in time.
    score: u64,
}

impl LocalHealth {
    /// That of an instance that was not late yet.
    #[must_use]
    pub const fn new() -> Self {
        Self { score: 0 }
    }

    /// Takes in a turn that was due after `due_ms` and came after `passed_ms`; returns how much of that
    /// time counts against nobody.
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
