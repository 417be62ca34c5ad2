//! The tokens of one workspace at one instance.

/// This instance's part of a workspace's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct BucketLimits {
    /// Part of the rate, 0 to 1.
    pub(super) fraction: f64,
    /// Over all instances.
    pub(super) tokens_per_s: f64,
    pub(super) tokens_max: f64,
}

/// Tokens, filled as time passes.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaBucket {
    tokens: f64,
    refilled_us: u64,
    /// The part of the rate by which it was last filled.
    fraction: f64,
    /// Nobody had tokens to lend; not asked again before this.
    pub(super) no_lender_until_us: u64,
}

impl QuotaBucket {
    /// A bucket of an instance that has `tokens`, and had this part of the rate since `since_us`.
    pub(super) const fn new(tokens: f64, fraction: f64, since_us: u64) -> Self {
        Self { tokens, refilled_us: since_us, fraction, no_lender_until_us: 0 }
    }

    /// Adds what came since it was last filled. Of a part that changed meanwhile the smaller counts: from
    /// when the larger held is not known.
    #[expect(clippy::cast_precision_loss, reason = "microseconds of a session")]
    pub(super) fn refill(&mut self, limits: BucketLimits, now_us: u64) {
        let passed_s = now_us.saturating_sub(self.refilled_us) as f64 / 1e6;
        let part = limits.fraction.min(self.fraction);
        let own_max = limits.tokens_max * part;
        let filled = (part * limits.tokens_per_s).mul_add(passed_s, self.tokens);
        // Borrowed tokens above the own part stay, as long as all together keep the bound.
        self.tokens = filled.min(own_max.max(self.tokens)).min(limits.tokens_max);
        self.refilled_us = now_us;
        self.fraction = limits.fraction;
    }

    /// Takes one token.
    pub(super) fn take(&mut self) -> bool {
        let there = self.tokens >= 1.0;
        if there {
            self.tokens -= 1.0;
        }
        there
    }

    /// Adds tokens that came from elsewhere or were not used.
    pub(super) fn add(&mut self, tokens: f64) {
        self.tokens += tokens;
    }

    /// Gives up to `wanted` tokens away, half of what is there at most.
    pub(super) fn lend(&mut self, wanted: f64) -> f64 {
        let lent = wanted.min(self.tokens / 2.0).max(0.0);
        self.tokens -= lent;
        lent
    }

    /// Milliseconds until the next token, by the own part of the rate; `None` without a part.
    pub(super) fn next_token_ms(&self, limits: BucketLimits) -> Option<f64> {
        let per_s = limits.fraction * limits.tokens_per_s;
        (per_s > 0.0).then(|| (1.0 - self.tokens).max(0.0) * 1000.0 / per_s)
    }
}
