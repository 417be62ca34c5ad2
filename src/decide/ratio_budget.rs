//! A budget that grows with traffic.

/// Tokens that a quiet service may have saved.
const TOKENS_MAX: f32 = 10.0;

/// Allows extra work up to a share of the requests, so that an outage is not amplified: when
/// every request fails, at most that share of them is repeated.
#[derive(Clone, Debug)]
pub struct RatioBudget {
    share: f32,
    /// Within 0 and [`SAVED_MAX`].
    tokens: f32,
}

impl RatioBudget {
    /// A budget of `share` extra attempts per request.
    #[must_use]
    pub const fn new(share: f32) -> Self {
        Self { share, tokens: TOKENS_MAX }
    }

    /// Earns the share of one request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(TOKENS_MAX);
    }

    /// Whether one more attempt is left.
    #[must_use]
    pub const fn has_left(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one attempt out if one is left.
    pub fn try_spend(&mut self) -> bool {
        let left = self.has_left();
        if left {
            self.tokens -= 1.0;
        }
        left
    }
}
