//! Token bucket of one workspace at one instance.

use super::borrowed_tokens::BorrowedTokens;
use super::lender_schedule::LenderSchedule;
use super::recent_rate::RecentRate;

/// Time, in seconds, for whose requests an instance that is short borrows tokens, and a lender
/// keeps some.
const DEMAND_SPAN_S: f64 = 0.05;
/// Most tokens that one round of questions asks for, in seconds of the workspace's whole rate.
const BORROW_SPAN_MAX_S: f64 = 0.1;
/// How long an instance goes on borrowing after a request found no token.
const SHORT_US: u64 = 300_000;
/// Minimum term of borrowed tokens.
const LOAN_TERM_MIN_US: u64 = 100_000;
/// Least number of tokens that the workspace's whole rate gives within the term of borrowed tokens,
/// which is longer at low rates.
const LOAN_TERM_TOKENS: f64 = 3.0;
/// Time without requests and questions after which a full bucket is dropped.
const IDLE_US: u64 = 5_000_000;

/// This instance's fraction of a workspace's quota, and the totals over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct BucketLimits {
    /// Fraction of the rate and of the capacity, 0 to 1.
    pub(super) fraction: f64,
    /// Refill rate over all instances, in tokens per second.
    pub(super) tokens_per_s: f64,
    /// Capacity over all instances.
    pub(super) tokens_max: f64,
}

impl BucketLimits {
    fn own_max(&self) -> f64 {
        self.tokens_max * self.fraction
    }

    pub(super) fn own_per_s(&self) -> f64 {
        self.tokens_per_s * self.fraction
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
    fn loan_term_us(&self) -> u64 {
        ((LOAN_TERM_TOKENS / self.tokens_per_s * 1e6) as u64).max(LOAN_TERM_MIN_US)
    }
}

/// Token bucket, refilled by the time that has passed, and the tokens borrowed beside it.
#[derive(Clone, Debug)]
pub(super) struct QuotaBucket {
    /// Whole and partial tokens of this instance's own fraction.
    tokens: f64,
    /// Tokens that expire: borrowed ones, and those of requests that did not run.
    borrowed: BorrowedTokens,
    limits: BucketLimits,
    /// Time of the last refill.
    refilled_us: u64,
    /// Time of the last request or question.
    used_us: u64,
    /// Requests of callers here.
    demand: RecentRate,
    /// Tokens that callers' requests took here.
    taken: RecentRate,
    /// Tokens that other instances asked for.
    asked: RecentRate,
    /// Until when tokens are borrowed; extended by each request that finds none.
    short_until_us: u64,
    /// Requests that wait for a token.
    pub(super) waiting: u32,
    pub(super) lenders: LenderSchedule,
}

impl QuotaBucket {
    /// A bucket that holds `tokens` and is refilled since `since_us`.
    pub(super) fn new(tokens: f64, limits: BucketLimits, since_us: u64) -> Self {
        Self {
            tokens,
            borrowed: BorrowedTokens::default(),
            limits,
            refilled_us: since_us,
            used_us: since_us,
            demand: RecentRate::default(),
            taken: RecentRate::default(),
            asked: RecentRate::default(),
            short_until_us: 0,
            waiting: 0,
            lenders: LenderSchedule::default(),
        }
    }

    /// Adds the tokens of the time since the last refill. If the fraction changed in between, the
    /// smaller one counts, since it is unknown when the larger one took effect.
    #[expect(clippy::cast_precision_loss, reason = "microseconds of uptime stay below 2^52")]
    pub(super) fn refill(&mut self, limits: BucketLimits, now_us: u64) {
        let passed_s = now_us.saturating_sub(self.refilled_us) as f64 / 1e6;
        let fraction = limits.fraction.min(self.limits.fraction);
        let filled = (fraction * limits.tokens_per_s).mul_add(passed_s, self.tokens);
        self.tokens = filled.min(limits.own_max());
        self.borrowed.expire(limits.loan_term_us(), now_us);
        self.refilled_us = now_us;
        self.limits = limits;
    }

    /// Whether the bucket can be dropped without losing tokens, and made anew without gaining any:
    /// it is not in use and as full as a new one becomes.
    pub(super) fn is_idle(&mut self, now_us: u64) -> bool {
        if now_us.saturating_sub(self.used_us) < IDLE_US || self.waiting > 0 {
            return false;
        }
        self.refill(self.limits, now_us);
        self.tokens >= self.limits.own_max() && self.borrowed.count() <= 0.0
    }

    /// Counts a request that arrives.
    pub(super) fn record_demand(&mut self, now_us: u64) {
        self.demand.record(1.0, now_us);
        self.used_us = now_us;
    }

    /// Takes one token, if there is one.
    pub(super) fn take(&mut self, now_us: u64) -> bool {
        let from_own = !self.borrowed.take();
        if from_own && self.tokens < 1.0 {
            self.extend_shortage(now_us);
            return false;
        }
        if from_own {
            self.tokens -= 1.0;
        }
        self.taken.record(1.0, now_us);
        true
    }

    /// Tokens per second that requests got here lately.
    pub(super) fn supply_per_s(&self, now_us: u64) -> f64 {
        self.taken.per_s(now_us)
    }

    fn extend_shortage(&mut self, now_us: u64) {
        if now_us >= self.short_until_us {
            // What lenders had in an earlier shortage says nothing about now.
            self.lenders = LenderSchedule::default();
        }
        self.short_until_us = now_us + SHORT_US;
    }

    /// Whether a request could take a token.
    pub(super) fn has_token(&self) -> bool {
        self.tokens >= 1.0 || self.borrowed.count() >= 1.0
    }

    /// Adds tokens that another instance lent, or that a request did not need; they expire like
    /// borrowed ones.
    pub(super) fn add_expiring(&mut self, tokens: f64, now_us: u64) {
        self.borrowed.add(tokens);
        self.used_us = now_us;
    }

    /// Whether tokens are to be borrowed.
    pub(super) const fn is_short(&self, now_us: u64) -> bool {
        now_us < self.short_until_us || self.waiting > 0
    }

    /// Tokens to borrow, so that waiting requests and those of the next moments have one.
    pub(super) fn missing(&self, now_us: u64) -> f64 {
        let expected = self.demand.per_s(now_us) - self.limits.own_per_s();
        let needed = expected.max(0.0).mul_add(DEMAND_SPAN_S, f64::from(self.waiting));
        let missing = needed - self.borrowed.count() - self.tokens.floor();
        missing.round().clamp(0.0, (self.limits.tokens_per_s * BORROW_SPAN_MAX_S).max(1.0))
    }

    /// Removes up to `wanted` whole tokens, and returns how many. If there are too few for this
    /// instance's own callers and all who ask, they are divided by what each needs. Parts of
    /// tokens are not lent: spread over several instances they would serve no request.
    pub(super) fn lend(&mut self, wanted: f64, now_us: u64) -> f64 {
        self.used_us = now_us;
        self.asked.record(wanted, now_us);
        let asked = (self.asked.per_s(now_us) * DEMAND_SPAN_S).max(wanted);
        let kept = (self.demand.per_s(now_us) * DEMAND_SPAN_S).max(f64::from(self.waiting));
        let divided = (wanted / (asked + kept)).min(1.0) * self.tokens;
        let left_over = self.tokens - kept - (asked - wanted);
        let lent = divided.max(left_over).max(1.0).min(wanted).min(self.tokens).max(0.0).floor();
        self.tokens -= lent;
        lent
    }

    /// Milliseconds until the next token at this instance's own rate; `None` if its fraction is 0.
    pub(super) fn next_token_ms(&self) -> Option<f64> {
        let per_s = self.limits.own_per_s();
        (per_s > 0.0).then(|| (1.0 - self.tokens).max(0.0) * 1000.0 / per_s)
    }
}
