//! The retry budget: limits the sends to backend servers beyond the first of each request, which
//! are retries and hedges.

use std::collections::VecDeque;

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
}

fn remove_before(times_us: &mut VecDeque<u64>, before_us: u64) {
    while times_us.front().is_some_and(|at| *at < before_us) {
        times_us.pop_front();
    }
}

impl RetryBudget {
    /// Records a caller's request.
    pub fn record_request(&mut self, allowance: &RetryAllowance, now_us: u64) {
        remove_before(&mut self.requests_us, now_us.saturating_sub(allowance.window_us));
        self.requests_us.push_back(now_us);
    }

    /// Takes one retry from the budget; returns whether the budget allows it.
    #[expect(clippy::cast_precision_loss, reason = "counts of one window")]
    pub fn try_spend(&mut self, allowance: &RetryAllowance, need: RetryNeed, now_us: u64) -> bool {
        let from_us = now_us.saturating_sub(allowance.window_us);
        remove_before(&mut self.requests_us, from_us);
        remove_before(&mut self.retries_us, from_us);
        let allowed = allowance.ratio * self.requests_us.len() as f64 + allowance.slack_retries;
        let share = match need {
            RetryNeed::CallerCanRetry => CALLER_CAN_RETRY_SHARE,
            RetryNeed::LastChance => 1.0,
        };
        if self.retries_us.len() as f64 + 1.0 > allowed * share {
            return false;
        }
        self.retries_us.push_back(now_us);
        true
    }
}
