//! The retry budget: limits the sends to backend servers beyond the first of each request, which
//! are retries and hedges.

use std::collections::VecDeque;

use super::RetryClass;
use super::RetryLoans;
use super::RetryRank;
use super::rejected_sends::RejectedSends;
use super::retry_demand::RetryDemand;

/// Part of the budget up to which hedges are allowed, whatever it was spent on. The rest is there
/// for rejected requests from the first of them on, before their demand can be estimated.
const HEDGE_SHARE_MAX: f64 = 0.5;
/// Number of moments within the next window until which the reserve for more urgent ranks is to
/// last.
const HORIZONS: u32 = 8;
/// Least reserve for more urgent ranks, in windows of their expected demand. Retries that become
/// free later cannot be relied on alone, since less urgent requests may take them at once.
const RESERVE_MIN_WINDOWS: f64 = 1.0 / 16.0;
/// Slack of all instances together that are not homes, as a part of that of the homes. They get few
/// requests.
const OTHERS_SLACK: f64 = 0.2;

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

impl RetryAllowance {
    /// The part of the slack that one instance has. Homes share the slack; the other instances, of
    /// which there may be hundreds, share a small addition.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "numbers of instances")]
    pub fn slack_share(homes: usize, others: usize, is_home: bool) -> f64 {
        if is_home { 1.0 / homes.max(1) as f64 } else { OTHERS_SLACK / others.max(1) as f64 }
    }
}

/// Why a retry was denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenialReason {
    /// All allowed retries of the window are made.
    Spent,
    /// The rest is kept for more urgent ranks, which are expected to need it.
    Reserved,
    /// Nearly all sends to the service are rejected now.
    ServersRejecting,
}

impl DenialReason {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Spent => "spent",
            Self::Reserved => "reserved",
            Self::ServersRejecting => "servers-rejecting",
        }
    }
}

/// A denied retry, with what it was judged by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDenial {
    pub reason: DenialReason,
    /// Retries that this instance may make in the window.
    pub allowed: f64,
    /// Retries that it has made.
    pub spent: usize,
    /// Retries kept for more urgent ranks.
    pub reserved: f64,
    /// Part of the sends to the service that is rejected now.
    pub rejected_share: f64,
}

/// Requests and retries of one service on this instance within the window.
///
/// Each instance applies the ratio to its own requests and has its own part of the slack, so that
/// the budget holds over all instances without coordination.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Times of the requests, in order.
    requests_us: VecDeque<u64>,
    /// Times of the retries, in order.
    retries_us: VecDeque<u64>,
    demand: RetryDemand,
    rejected_sends: RejectedSends,
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

impl RetryBudget {
    /// Records a caller's request.
    #[expect(clippy::cast_precision_loss, reason = "counts of one window")]
    pub fn record_request(&mut self, allowance: &RetryAllowance, now_us: u64) {
        self.forget_before(now_us.saturating_sub(allowance.window_us));
        self.requests_us.push_back(now_us);
        self.demand.record_request(allowance.window_us, now_us);
        let allowed_by_ratio = allowance.ratio * self.requests_us.len() as f64;
        self.loans.record_request(allowance.ratio, allowed_by_ratio, allowance.window_us, now_us);
    }

    /// Records the end of a send, and whether the server rejected it.
    pub fn record_send(&mut self, rejected: bool, now_us: u64) {
        self.rejected_sends.record(rejected, now_us);
    }

    /// Sets which part of the refused callers come back.
    pub const fn set_return_share(&mut self, share: f64) {
        self.demand.return_share = share;
    }

    /// Takes one retry from the budget, or a borrowed one if the budget denies it.
    ///
    /// A rank gets what the ranks before it are not expected to need.
    ///
    /// # Errors
    /// If the budget is spent, the rest is kept for more urgent ranks, or the retry would not help.
    pub fn try_spend(
        &mut self,
        allowance: &RetryAllowance,
        rank: RetryRank,
        now_us: u64,
    ) -> Result<(), RetryDenial> {
        self.forget_before(now_us.saturating_sub(allowance.window_us));
        let decision = self.decide(allowance, rank, now_us);
        self.demand.record_ask(rank, decision.is_ok(), allowance.window_us, now_us);
        let Err(denial) = decision else {
            self.retries_us.push_back(now_us);
            return Ok(());
        };
        let would_help = denial.reason != DenialReason::ServersRejecting;
        if would_help && self.loans.replace_denied(rank.class(), allowance.window_us, now_us) {
            return Ok(());
        }
        Err(denial)
    }

    #[expect(clippy::cast_precision_loss, reason = "counts of one window")]
    fn decide(
        &self,
        allowance: &RetryAllowance,
        rank: RetryRank,
        now_us: u64,
    ) -> Result<(), RetryDenial> {
        let allowed = self.allowed(allowance, now_us);
        let spent = self.retries_us.len();
        let reserved = self.reserved(rank, allowance.window_us, now_us);
        let rejected_share = self.rejected_sends.share(now_us);
        let denial = |reason| Err(RetryDenial { reason, allowed, spent, reserved, rejected_share });
        if self.rejected_sends.is_useless(now_us) {
            return denial(DenialReason::ServersRejecting);
        }
        if spent as f64 + 1.0 > allowed {
            return denial(DenialReason::Spent);
        }
        let kept_from_hedges = match rank.class() {
            RetryClass::Hedge => allowed * (1.0 - HEDGE_SHARE_MAX),
            _ => 0.0,
        };
        if spent as f64 + 1.0 + reserved.max(kept_from_hedges) > allowed {
            return denial(DenialReason::Reserved);
        }
        Ok(())
    }

    /// Retries kept for the ranks before `rank`: what they are expected to ask for until a moment
    /// within the next window, less the retries that leave the window by then; the most over
    /// several such moments.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "counts and times of one window"
    )]
    fn reserved(&self, rank: RetryRank, window_us: u64, now_us: u64) -> f64 {
        let expected = self.demand.expected_before(rank, window_us, now_us);
        let least = expected * RESERVE_MIN_WINDOWS;
        let until = (1..=HORIZONS).map(|step| f64::from(step) / f64::from(HORIZONS));
        let lacking = until.map(|windows| {
            let until_us = now_us + (windows * window_us as f64) as u64;
            let free_before_us = until_us.saturating_sub(window_us);
            let freed = self.retries_us.partition_point(|at_us| *at_us < free_before_us);
            expected * windows - freed as f64
        });
        lacking.fold(least, f64::max)
    }

    /// Retries that this instance may make in the window that ends now.
    #[expect(clippy::cast_precision_loss, reason = "counts of one window")]
    fn allowed(&self, allowance: &RetryAllowance, now_us: u64) -> f64 {
        let from_us = now_us.saturating_sub(allowance.window_us);
        let older = self.requests_us.partition_point(|at_us| *at_us < from_us);
        let requests = self.requests_us.len() - older;
        allowance.ratio * requests as f64 + allowance.slack_retries - self.loans.lent(now_us)
    }

    /// Lends up to `wanted` retries to another instance, and returns how many.
    ///
    /// The slack is not lent: a lender that restarts has its part of it again.
    pub fn lend(&mut self, allowance: &RetryAllowance, wanted: u32, now_us: u64) -> u32 {
        let RetryUsage { allowed, spent } = self.usage(allowance, now_us);
        let spent_since = |from_us| spent - self.retries_us.partition_point(|at| *at < from_us);
        let demand = self.loans.demand(spent, spent_since, allowance.window_us, now_us);
        let surplus = allowed - allowance.slack_retries - demand;
        self.loans.lend(surplus, wanted, allowance.window_us, now_us)
    }

    /// How much of the budget is used.
    pub fn usage(&mut self, allowance: &RetryAllowance, now_us: u64) -> RetryUsage {
        self.forget_before(now_us.saturating_sub(allowance.window_us));
        RetryUsage { allowed: self.allowed(allowance, now_us), spent: self.retries_us.len() }
    }

    fn forget_before(&mut self, before_us: u64) {
        remove_before(&mut self.requests_us, before_us);
        remove_before(&mut self.retries_us, before_us);
    }
}

fn remove_before(times_us: &mut VecDeque<u64>, before_us: u64) {
    while times_us.front().is_some_and(|at| *at < before_us) {
        times_us.pop_front();
    }
}
