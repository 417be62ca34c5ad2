//! Estimates how many retries each rank will ask for.

use std::ops::Range;

use super::RetryClass;
use super::RetryRank;
use super::decayed_count::DecayedCount;
use super::retry_rank::PRIORITIES;

/// Time for which events are remembered, in windows of the budget: short enough to know the demand
/// early in a window, and long enough to know it from many requests.
const MEMORY_WINDOWS: f64 = 0.125;
/// The latest events are remembered for that time divided by this.
const LATEST_DIVISOR: u64 = 4;
/// Requests that are assumed to have been accepted beside the latest ones, so that one rejection of
/// few requests tells little.
const UNREJECTED_PRIOR: f64 = 4.0;
/// Standard deviations by which a count must exceed its expectation to count as more than chance.
const NOISE_DEVIATIONS: f64 = 2.0;

/// What the requests of one service ask of its retry budget.
///
/// A caller that is refused now asks for a retry of its last attempt a moment later, if it comes
/// back and is rejected again. So its demand is expected before it is seen.
#[derive(Debug)]
pub(super) struct RetryDemand {
    /// Requests that arrived.
    requests: DecayedCount,
    /// Retries that were asked for, other than hedges: a send of the request was rejected or
    /// failed.
    rejected: DecayedCount,
    /// The latest requests since servers began to reject some, and the latest rejected ones, which
    /// show first that they do.
    latest_requests: DecayedCount,
    latest_rejected: DecayedCount,
    /// Retries that were asked for, by rank.
    asked: [DecayedCount; RetryRank::COUNT],
    /// First attempts that were refused, or are expected to be in spite of their retry, by
    /// priority.
    refused_first: [DecayedCount; PRIORITIES],
    /// Part of the refused callers that come back, from 0 to 1.
    pub(super) return_share: f64,
}

impl Default for RetryDemand {
    fn default() -> Self {
        Self {
            requests: DecayedCount::default(),
            rejected: DecayedCount::default(),
            latest_requests: DecayedCount::default(),
            latest_rejected: DecayedCount::default(),
            asked: Default::default(),
            refused_first: Default::default(),
            return_share: 1.0,
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a time of some seconds"
)]
fn memory_us(window_us: u64) -> u64 {
    (window_us as f64 * MEMORY_WINDOWS) as u64
}

impl RetryDemand {
    pub(super) fn record_request(&mut self, window_us: u64, now_us: u64) {
        let memory_us = memory_us(window_us);
        self.requests.add(1.0, memory_us, now_us);
        self.latest_requests.add(1.0, memory_us / LATEST_DIVISOR, now_us);
    }

    /// Records that a retry was asked for, and whether it was granted.
    pub(super) fn record_ask(
        &mut self,
        rank: RetryRank,
        granted: bool,
        window_us: u64,
        now_us: u64,
    ) {
        let memory_us = memory_us(window_us);
        self.asked[rank.index()].add(1.0, memory_us, now_us);
        if rank.class() == RetryClass::Hedge {
            return;
        }
        self.rejected.add(1.0, memory_us, now_us);
        let latest_us = memory_us / LATEST_DIVISOR;
        if self.latest_rejected.is_negligible(latest_us, now_us) {
            self.latest_requests = DecayedCount::default();
        }
        self.latest_rejected.add(1.0, latest_us, now_us);
        if rank.class() == RetryClass::CallerCanRetry {
            let refused = if granted { self.rejected_share(memory_us, now_us) } else { 1.0 };
            self.refused_first[rank.priority_index()].add(refused, memory_us, now_us);
        }
    }

    /// Part of the requests that are rejected and need a retry now.
    fn rejected_share(&self, memory_us: u64, now_us: u64) -> f64 {
        let requests = self.requests.value(memory_us, now_us).max(1.0);
        let share = self.rejected.value(memory_us, now_us) / requests;
        let latest_us = memory_us / LATEST_DIVISOR;
        let latest = self.latest_requests.value(latest_us, now_us) + UNREJECTED_PRIOR;
        let latest_share = self.latest_rejected.value(latest_us, now_us) / latest;
        share.max(latest_share).min(1.0)
    }

    /// Retries that the ranks before `rank` are expected to ask for per window.
    pub(super) fn expected_before(&self, rank: RetryRank, window_us: u64, now_us: u64) -> f64 {
        let memory_us = memory_us(window_us);
        let expected = match rank.class() {
            RetryClass::LastAttempt => self.last_attempts_before(rank, memory_us, now_us),
            RetryClass::CallerCanRetry | RetryClass::Hedge => {
                let last_attempts = 0..PRIORITIES;
                let expected = |priority| self.last_attempts(priority, memory_us, now_us);
                last_attempts.map(expected).sum::<f64>()
                    + self.asked(RetryRank::FIRST_ATTEMPTS..rank.index(), memory_us, now_us)
            }
        };
        expected / MEMORY_WINDOWS
    }

    fn last_attempts_before(&self, rank: RetryRank, memory_us: u64, now_us: u64) -> f64 {
        let priority = rank.priority_index();
        let more_urgent = (0..priority).map(|urgent| self.last_attempts(urgent, memory_us, now_us));
        let mut expected: f64 = more_urgent.sum();
        if rank.is_late() {
            let asked_late = self.asked(rank.index()..rank.index() + 1, memory_us, now_us);
            expected += (self.last_attempts(priority, memory_us, now_us) - asked_late).max(0.0);
        }
        expected
    }

    /// Retries that last attempts of a priority are expected to ask for. They follow from the
    /// callers refused now; more is expected if clearly more is asked for, as when callers come
    /// from other instances.
    fn last_attempts(&self, priority: usize, memory_us: u64, now_us: u64) -> f64 {
        let refused = self.refused_first[priority].steady_value(memory_us, now_us);
        let returning = refused * self.return_share * self.rejected_share(memory_us, now_us);
        let asked = self.asked(RetryRank::last_attempts(priority), memory_us, now_us);
        let chance = NOISE_DEVIATIONS * returning.max(1.0).sqrt();
        if asked > returning + chance { asked } else { returning }
    }

    fn asked(&self, ranks: Range<usize>, memory_us: u64, now_us: u64) -> f64 {
        self.asked[ranks].iter().map(|count| count.value(memory_us, now_us)).sum()
    }
}
