//! The budget of repeats: sends to a backend server beyond the first of each request.

use std::collections::VecDeque;

/// What the operators allow over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatAllowance {
    /// Repeats per request.
    pub ratio: f64,
    /// Any span of this length counts.
    pub window_us: u64,
    /// Repeats beyond the ratio.
    pub slack: f64,
}

/// Who repeats a request if this instance does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatNeed {
    /// Its caller can still come back with it, at no cost to the budget.
    CallerCanReturn,
    /// Nobody: its caller came back with it already, or may not.
    LastChance,
}

/// Part of the budget that requests may use whose callers can still come back. While 4 of 10 sends
/// are refused, one in 12 requests fails for good if those may use up all of it, and one in 100 if
/// half or a fifth (modelled, 40,000 requests).
const RETURNABLE_SHARE: f64 = 0.25;

/// Requests and repeats of one service on this instance over the last window.
///
/// Every instance keeps the ratio for its own requests and its own part of the slack, so that the
/// sum over all instances holds without a word between them.
#[derive(Debug, Default)]
pub struct RepeatBudget {
    requests: VecDeque<u64>,
    repeats: VecDeque<u64>,
}

fn forget(times_us: &mut VecDeque<u64>, before_us: u64) {
    while times_us.front().is_some_and(|at| *at < before_us) {
        times_us.pop_front();
    }
}

impl RepeatBudget {
    /// Counts a request of a caller.
    pub fn request(&mut self, allowance: &RepeatAllowance, now_us: u64) {
        forget(&mut self.requests, now_us.saturating_sub(allowance.window_us));
        self.requests.push_back(now_us);
    }

    /// Takes one repeat if the budget allows it.
    #[expect(clippy::cast_precision_loss, reason = "counts of one window")]
    pub fn spend(&mut self, allowance: &RepeatAllowance, need: RepeatNeed, now_us: u64) -> bool {
        let from_us = now_us.saturating_sub(allowance.window_us);
        forget(&mut self.requests, from_us);
        forget(&mut self.repeats, from_us);
        let allowed = allowance.ratio * self.requests.len() as f64 + allowance.slack;
        let share = match need {
            RepeatNeed::CallerCanReturn => RETURNABLE_SHARE,
            RepeatNeed::LastChance => 1.0,
        };
        if self.repeats.len() as f64 + 1.0 > allowed * share {
            return false;
        }
        self.repeats.push_back(now_us);
        true
    }
}
