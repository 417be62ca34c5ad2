//! A token budget that grows with traffic.

/// Maximum number of tokens, which a service accumulates while nothing fails.
const TOKENS_MAX: f32 = 10.0;

/// Limits extra attempts to a fraction of the requests, so that an outage is not amplified: if
/// every request fails, at most this fraction is repeated.
#[derive(Clone, Debug)]
pub struct RatioBudget {
    /// Extra attempts per request.
    share: f32,
    /// From 0 to [`TOKENS_MAX`].
    tokens: f32,
}

impl RatioBudget {
    /// A full budget of `share` extra attempts per request.
    #[must_use]
    pub const fn new(share: f32) -> Self {
        Self { share, tokens: TOKENS_MAX }
    }

    /// Adds the tokens of one request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(TOKENS_MAX);
    }

    /// Whether a token for another attempt is left.
    #[must_use]
    pub const fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token for an attempt; returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        let left = self.has_token();
        if left {
            self.tokens -= 1.0;
        }
        left
    }
}
