//! A rate limit as a server advertises it.

use std::str::FromStr;

/// Window in which instances enforce a limit, in microseconds. It is long enough that a limit of
/// about one request per second is a whole number of requests that homes can divide. Servers
/// measure over four seconds; the rest allows for requests that take longer than others to arrive.
pub const LIMIT_WINDOW_US: u64 = 4_300_000;
/// [`LIMIT_WINDOW_US`] in seconds.
pub const LIMIT_WINDOW_S: f64 = 4.3;
/// Window over which a server measures its limit, in seconds.
const SERVER_WINDOW_S: f64 = 4.0;
/// A server tolerates this many times its limit within [`SERVER_WINDOW_S`].
const OVERAGE_FACTOR: f64 = 1.5;
/// Requests that a server tolerates in addition within [`SERVER_WINDOW_S`].
const SLACK_REQUESTS: f64 = 5.0;
/// Maximum fraction of the tolerated requests that all homes together use, however many there are,
/// as more than one of them may be replaced at the same time.
const TOLERATED_SHARE_MAX: f64 = 2.0 / 3.0;

/// Requests per second that a backend server accepts from all instances together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RateLimit {
    /// Finite and not negative.
    per_s: f64,
}

/// The error for a text that is not a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRateLimit;

impl RateLimit {
    /// Requests per second.
    #[must_use]
    pub const fn per_s(self) -> f64 {
        self.per_s
    }

    /// Requests within [`LIMIT_WINDOW_US`] that the server accepts. At least one, as the server
    /// would otherwise never be used, unless the limit is 0.
    #[must_use]
    pub fn starts_allowed(self) -> u32 {
        self.at_least_one(self.per_s * LIMIT_WINDOW_S)
    }

    /// Requests within [`LIMIT_WINDOW_US`] that this number of homes may start there together while
    /// no other server is available. The server tolerates it even if one of the homes is replaced
    /// within the window.
    #[must_use]
    pub fn starts_tolerated(self, homes: u32) -> u32 {
        let homes = f64::from(homes.max(1));
        let share = (homes / (homes + 1.0)).min(TOLERATED_SHARE_MAX);
        self.at_least_one(
            self.per_s.mul_add(OVERAGE_FACTOR * SERVER_WINDOW_S, SLACK_REQUESTS) * share,
        )
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "requests of some seconds, never below zero"
    )]
    fn at_least_one(self, starts: f64) -> u32 {
        if self.per_s == 0.0 { 0 } else { starts.max(1.0) as u32 }
    }
}

impl FromStr for RateLimit {
    type Err = InvalidRateLimit;

    fn from_str(text: &str) -> Result<Self, InvalidRateLimit> {
        let per_s = text.trim().parse::<f64>().map_err(|_| InvalidRateLimit)?;
        let valid = per_s.is_finite() && per_s >= 0.0;
        valid.then_some(Self { per_s }).ok_or(InvalidRateLimit)
    }
}
