//! The retry budget: limits the sends to backend servers beyond the first of each request, which
//! are retries and hedges.

use std::collections::VecDeque;

use super::RetryLoans;

/// The retry budget that the operators configure for all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the sliding window, in microseconds.
    pub window_us: u64,
    /// Retries allowed per window in addition to the ratio.
    pub slack_retries: f64,
}

/// Whether the caller can retry a request if this instance does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryNeed {
    /// The caller can still retry, which takes nothing from the budget.
    CallerCanRetry,
    /// The caller has retried already or may not retry.
    LastChance,
}

/// Fraction of the budget available to requests whose callers can still retry. In a model of 40,000
/// requests with 4 of 10 sends refused, one request in 12 failed for good if such requests could
/// use the whole budget, and one in 100 if they could use a half or a fifth.
const CALLER_CAN_RETRY_SHARE: f64 = 0.25;

/// Times of the requests and retries of one service on this instance within the window.
///
/// Each instance applies the ratio to its own requests and has its own part of the slack, so that
/// the budget holds over all instances without coordination.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Times of the requests, in order.
    requests_us: VecDeque<u64>,
    /// Times of the retries, in order.
    retries_us: VecDeque<u64>,
    /// What other instances have of this budget, and this one of theirs.
    pub loans: RetryLoans,
}

/// How much of its budget an instance uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Retries that it may make in the window that ends now, without borrowed ones.
    pub allowed: f64,
    /// Retries that it made in that window, without borrowed ones.
    pub spent: usize,
}

fn remove_before(times_us: &mut VecDeque<u64>, before_us: u64) {
    while times_us.front().is_some_and(|at| *at < before_us) {
        times_us.pop_front();
    }
}

impl RetryBudget {
    /// Records a caller's request.
    #[expect(clippy::cast_precision_loss, reason = "counts of one window")]
    pub fn record_request(&mut self, allowance: &RetryAllowance, now_us: u64) {
        remove_before(&mut self.requests_us, now_us.saturating_sub(allowance.window_us));
        self.requests_us.push_back(now_us);
        let RetryAllowance { ratio, window_us, .. } = *allowance;
        let by_ratio = ratio * self.requests_us.len() as f64;
        self.loans.record_request(ratio, by_ratio, window_us, now_us);
    }

    /// Takes one retry from the budget; returns whether the budget allows it.
    #[expect(clippy::cast_precision_loss, reason = "counts of one window")]
    pub fn try_spend(&mut self, allowance: &RetryAllowance, need: RetryNeed, now_us: u64) -> bool {
        let from_us = now_us.saturating_sub(allowance.window_us);
        remove_before(&mut self.requests_us, from_us);
        remove_before(&mut self.retries_us, from_us);
        let allowed = self.allowed(allowance, now_us);
        let share = match need {
            RetryNeed::CallerCanRetry => CALLER_CAN_RETRY_SHARE,
            RetryNeed::LastChance => 1.0,
        };
        if self.retries_us.len() as f64 + 1.0 > allowed * share {
            return self.loans.spend_borrowed(need, allowance.window_us, now_us);
        }
        self.retries_us.push_back(now_us);
        true
    }

    /// Retries that this instance may make in the window that ends now.
    #[expect(clippy::cast_precision_loss, reason = "counts of one window")]
    fn allowed(&self, allowance: &RetryAllowance, now_us: u64) -> f64 {
        let own = allowance.ratio * self.requests_us.len() as f64 + allowance.slack_retries;
        own - self.loans.lent(now_us)
    }

    /// Lends up to `wanted` retries to another instance, and returns how many.
    ///
    /// The slack is not lent: a lender that restarts has its part of it again.
    pub fn lend(&mut self, allowance: &RetryAllowance, wanted: u32, now_us: u64) -> u32 {
        let RetryUsage { allowed, spent } = self.usage(allowance, now_us);
        let spent_since = |from_us| spent - self.retries_us.partition_point(|at| *at < from_us);
        let demand = self.loans.demand(spent, spent_since, allowance.window_us, now_us);
        let over = allowed - allowance.slack_retries - demand;
        self.loans.lend(over, wanted, allowance.window_us, now_us)
    }

    /// How much of the budget is used.
    pub fn usage(&mut self, allowance: &RetryAllowance, now_us: u64) -> RetryUsage {
        let from_us = now_us.saturating_sub(allowance.window_us);
        remove_before(&mut self.requests_us, from_us);
        remove_before(&mut self.retries_us, from_us);
        RetryUsage { allowed: self.allowed(allowance, now_us), spent: self.retries_us.len() }
    }
}
