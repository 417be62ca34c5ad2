//! Token bucket of one workspace at one instance.

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

/// Token bucket, refilled by the time that has passed.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaBucket {
    tokens: f64,
    /// Time of the last refill.
    refilled_us: u64,
    /// Fraction of the rate at the last refill.
    fraction: f64,
    /// No instance is asked for tokens before this time, as none had any to lend.
    pub(super) no_lender_until_us: u64,
}

impl QuotaBucket {
    /// A bucket that holds `tokens` and is refilled at `fraction` of the rate since `since_us`.
    pub(super) const fn new(tokens: f64, fraction: f64, since_us: u64) -> Self {
        Self { tokens, refilled_us: since_us, fraction, no_lender_until_us: 0 }
    }

    /// Adds the tokens of the time since the last refill. If the fraction changed in between, the
    /// smaller one counts, since it is unknown when the larger one took effect.
    #[expect(clippy::cast_precision_loss, reason = "microseconds of uptime stay below 2^52")]
    pub(super) fn refill(&mut self, limits: BucketLimits, now_us: u64) {
        let passed_s = now_us.saturating_sub(self.refilled_us) as f64 / 1e6;
        let fraction = limits.fraction.min(self.fraction);
        let own_max = limits.tokens_max * fraction;
        let filled = (fraction * limits.tokens_per_s).mul_add(passed_s, self.tokens);
        // Borrowed tokens may exceed this instance's own capacity, but never the capacity over all
        // instances.
        self.tokens = filled.min(own_max.max(self.tokens)).min(limits.tokens_max);
        self.refilled_us = now_us;
        self.fraction = limits.fraction;
    }

    /// Takes one token, if there is one.
    pub(super) fn take(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Adds borrowed or refunded tokens.
    pub(super) fn add(&mut self, tokens: f64) {
        self.tokens += tokens;
    }

    /// Removes up to `wanted` tokens, but at most half of those present, and returns how many.
    pub(super) fn lend(&mut self, wanted: f64) -> f64 {
        let lent = wanted.min(self.tokens / 2.0).max(0.0);
        self.tokens -= lent;
        lent
    }

    /// Milliseconds until the next token at this instance's own rate; `None` if its fraction is 0.
    pub(super) fn next_token_ms(&self, limits: BucketLimits) -> Option<f64> {
        let per_s = limits.fraction * limits.tokens_per_s;
        (per_s > 0.0).then(|| (1.0 - self.tokens).max(0.0) * 1000.0 / per_s)
    }
}
