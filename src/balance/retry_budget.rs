//! The budget of repeats: sends to a backend server beyond the first of each request.

use std::collections::VecDeque;

/// What the operators allow over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Repeats per request.
    pub ratio: f64,
    /// Any span of this length counts.
    pub window_us: u64,
    /// Repeats beyond the ratio.
    pub slack: f64,
}

/// Who repeats a request if this instance does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryNeed {
    /// Its caller can still come back with it, at no cost to the budget.
    CallerCanRetry,
    /// Nobody: its caller came back with it already, or may not.
    LastChance,
}

/// Part of the budget that requests may use whose callers can still come back. While 4 of 10 sends
/// are refused, one in 12 requests fails for good if those may use up all of it, and one in 100 if
/// half or a fifth (modelled, 40,000 requests).
const CALLER_CAN_RETRY_SHARE: f64 = 0.25;

/// Requests and repeats of one service on this instance over the last window.
///
/// Every instance keeps the ratio for its own requests and its own part of the slack, so that the
/// sum over all instances holds without a word between them.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests_us: VecDeque<u64>,
    retries_us: VecDeque<u64>,
}

fn remove_before(times_us: &mut VecDeque<u64>, before_us: u64) {
    while times_us.front().is_some_and(|at| *at < before_us) {
        times_us.pop_front();
    }
}

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, allowance: &RetryAllowance, now_us: u64) {
        remove_before(&mut self.requests_us, now_us.saturating_sub(allowance.window_us));
        self.requests_us.push_back(now_us);
    }

    /// Takes one repeat if the budget allows it.
    #[expect(clippy::cast_precision_loss, reason = "counts of one window")]
    pub fn try_spend(&mut self, allowance: &RetryAllowance, need: RetryNeed, now_us: u64) -> bool {
        let from_us = now_us.saturating_sub(allowance.window_us);
        remove_before(&mut self.requests_us, from_us);
        remove_before(&mut self.retries_us, from_us);
        let allowed = allowance.ratio * self.requests_us.len() as f64 + allowance.slack;
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
