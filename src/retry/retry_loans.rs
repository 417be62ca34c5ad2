//! Retries of one service's budget that instances lend each other.

use super::RetryClass;
use super::expiring_count::ExpiringCount;

/// Longest time, in microseconds, for which borrowed retries can be used. It covers a few rounds of
/// asking; a lender counts them as spent for this much longer than a window.
const LOAN_TERM_MAX_US: u64 = 500_000;
/// Borrowed retries can be used for the window divided by this at most: the requests that allow
/// them must still count.
const LOAN_TERM_WINDOW_DIVISOR: u64 = 20;
/// Times of expiry are rounded up to a multiple of this, in microseconds, so that loans and denials
/// that expire at about the same time are counted together.
const EXPIRY_STEP_US: u64 = 100_000;
/// Time, in microseconds, over which the latest demand is counted.
const RECENT_US: u64 = 1_000_000;
/// Smallest cap of the retries that an instance keeps ready to lend.
const LENDABLE_CAP_MIN: f64 = 1.0;
/// Fraction of an instance's surplus that it lends to one borrower at a time, so that the next one
/// gets some.
const LENT_FRACTION: f64 = 0.5;

/// What an instance lent of its budget for a service, and what it borrowed.
///
/// Retries are moved, never created. The borrower counts the term from before it asked, the lender
/// from when it was asked, so that the lender counts each of them as spent from before it can be
/// used until a window after it can no longer be.
#[derive(Debug, Default)]
pub struct RetryLoans {
    /// First request of this process for the service; `None` before it.
    first_request_us: Option<u64>,
    /// Retries that may be lent now. Each request adds the ratio, up to what about a second adds: a
    /// budget saved up before a window could be lent when the requests that it came from are gone.
    lendable: f64,
    /// Retries that count as spent since they were lent.
    lent: ExpiringCount,
    /// Retries that were borrowed and not used.
    borrowed: ExpiringCount,
    /// Last attempts that the own budget denied within a window.
    denied: ExpiringCount,
    /// Last attempts that the own budget denied since the last question for a loan.
    denied_since_question: u32,
}

fn loan_term_us(window_us: u64) -> u64 {
    LOAN_TERM_MAX_US.min(window_us / LOAN_TERM_WINDOW_DIVISOR)
}

const fn round_up_expiry_us(at_us: u64) -> u64 {
    at_us.div_ceil(EXPIRY_STEP_US) * EXPIRY_STEP_US
}

impl RetryLoans {
    /// Records that a request was received, which allows `ratio` retries; all requests within the
    /// window allow `allowed_by_ratio`.
    #[expect(clippy::cast_precision_loss, reason = "microseconds of one window")]
    pub(super) fn record_request(
        &mut self,
        ratio: f64,
        allowed_by_ratio: f64,
        window_us: u64,
        now_us: u64,
    ) {
        self.first_request_us.get_or_insert(now_us);
        let recent_part = RECENT_US.min(window_us) as f64 / window_us as f64;
        let lendable_max = (allowed_by_ratio * recent_part).max(LENDABLE_CAP_MIN);
        self.lendable = (self.lendable + ratio).min(lendable_max);
    }

    /// Retries that are lent and count as spent.
    #[expect(clippy::cast_precision_loss, reason = "counts of one window")]
    pub(super) fn lent(&self, now_us: u64) -> f64 {
        self.lent.total(now_us) as f64
    }

    /// Retries that this instance needs itself within a window: those that it made and the last
    /// attempts that its own budget denied. Both are counted within the last window, or at the
    /// latest rate if that is more.
    ///
    /// `spent` retries were made in the last window; `spent_since` counts those since a time.
    #[expect(clippy::cast_precision_loss, reason = "counts of one window")]
    pub(super) fn demand(
        &self,
        spent: usize,
        spent_since: impl Fn(u64) -> usize,
        window_us: u64,
        now_us: u64,
    ) -> f64 {
        let in_window = spent as f64 + self.denied.total(now_us) as f64;
        let recent_us = RECENT_US.min(window_us);
        let denied_recently = self.denied.total(now_us + window_us - recent_us);
        let recently = spent_since(now_us.saturating_sub(recent_us)) as f64;
        let at_latest_rate =
            (recently + denied_recently as f64) * window_us as f64 / recent_us as f64;
        in_window.max(at_latest_rate)
    }

    /// Lends up to `wanted` retries of the `surplus` that this instance does not need itself, and
    /// returns how many.
    ///
    /// In the first window of a process none are lent: the process before it may have spent what
    /// the same callers' requests allow.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded")]
    pub(super) fn lend(&mut self, surplus: f64, wanted: u32, window_us: u64, now_us: u64) -> u32 {
        let whole_window = |first_us| first_us + window_us <= now_us;
        if !self.first_request_us.is_some_and(whole_window) {
            return 0;
        }
        let available = (surplus * LENT_FRACTION).min(self.lendable);
        let granted = available.clamp(0.0, f64::from(wanted)) as u32;
        if granted > 0 {
            self.lendable -= f64::from(granted);
            self.lent.add(
                granted,
                round_up_expiry_us(now_us + loan_term_us(window_us) + window_us),
                now_us,
            );
        }
        granted
    }

    /// Records that the own budget denied a retry, and takes a borrowed one in its place if it was
    /// a last attempt; returns whether there was one.
    pub(super) fn replace_denied(
        &mut self,
        class: RetryClass,
        window_us: u64,
        now_us: u64,
    ) -> bool {
        if class != RetryClass::LastAttempt {
            return false;
        }
        self.denied.add(1, round_up_expiry_us(now_us + window_us), now_us);
        self.denied_since_question = self.denied_since_question.saturating_add(1);
        self.borrowed.take_one(now_us)
    }

    /// Number of retries to borrow: half as many again as the own budget denied since the last
    /// call, less those that are left.
    pub fn take_wanted(&mut self, now_us: u64) -> u32 {
        let denied = std::mem::take(&mut self.denied_since_question);
        let left = u32::try_from(self.borrowed.total(now_us)).unwrap_or(u32::MAX);
        denied.saturating_add(denied.div_ceil(2)).saturating_sub(left)
    }

    /// Adds retries that another instance lent on a question sent at `asked_us`.
    pub fn add_borrowed(&mut self, retries: u32, window_us: u64, asked_us: u64, now_us: u64) {
        self.borrowed.add(retries, asked_us + loan_term_us(window_us), now_us);
    }
}
