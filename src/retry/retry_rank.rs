//! The order in which requests get retries while the budget is short.

use std::ops::Range;

/// Priorities that are told apart; all later ones are alike.
pub(super) const PRIORITIES: usize = 4;
/// Ranks of each priority in a class: by whether the latency target can be met.
const RANKS_PER_PRIORITY: usize = 2;
/// Ranks of each class.
const RANKS_PER_CLASS: usize = PRIORITIES * RANKS_PER_PRIORITY;

/// Why a request is sent again, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryClass {
    /// The caller has retried already: a refusal is final.
    LastAttempt,
    /// The caller can still retry, which takes nothing from the budget.
    CallerCanRetry,
    /// The first send has not failed, it is only late.
    Hedge,
}

impl RetryClass {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::LastAttempt => "last-attempt",
            Self::CallerCanRetry => "caller-can-retry",
            Self::Hedge => "hedge",
        }
    }
}

/// A request's place in the order; less is more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryRank {
    class: RetryClass,
    /// 0 is the most urgent.
    priority: u32,
    /// Whether the request will miss its latency target even if it is retried.
    late: bool,
}

impl RetryRank {
    /// Number of ranks that are told apart.
    pub const COUNT: usize = 3 * RANKS_PER_CLASS;

    /// Position of the first rank whose callers can still retry.
    pub(super) const FIRST_ATTEMPTS: usize = RANKS_PER_CLASS;

    /// Positions of the ranks of last attempts with a priority, which is given by its position.
    pub(super) const fn last_attempts(priority_index: usize) -> Range<usize> {
        let first = priority_index * RANKS_PER_PRIORITY;
        first..first + RANKS_PER_PRIORITY
    }

    /// The rank of a request; `late` if it misses its latency target anyway.
    #[must_use]
    pub const fn new(class: RetryClass, priority: u32, late: bool) -> Self {
        Self { class, priority, late }
    }

    /// Why the request is sent again.
    #[must_use]
    pub const fn class(self) -> RetryClass {
        self.class
    }

    /// Whether the request misses its latency target anyway.
    #[must_use]
    pub const fn is_late(self) -> bool {
        self.late
    }

    /// Position among all ranks, from 0.
    pub(super) fn index(self) -> usize {
        let first_of_class = self.class as usize * RANKS_PER_CLASS;
        first_of_class + self.priority_index() * RANKS_PER_PRIORITY + usize::from(self.late)
    }

    /// Position of the priority among those that are told apart.
    pub(super) fn priority_index(self) -> usize {
        usize::try_from(self.priority).unwrap_or(usize::MAX).min(PRIORITIES - 1)
    }
}
