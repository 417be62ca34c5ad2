//! A limit as a server names it.

use std::str::FromStr;

/// Span over which instances keep to a limit: limits of about one request a second become whole numbers
/// of requests in it, which homes can divide. Servers judge four seconds; the rest is for requests that
/// take longer than others on their way.
pub const LIMIT_WINDOW_US: u64 = 4_300_000;
/// [`LIMIT_SPAN_US`] in seconds.
pub const LIMIT_WINDOW_S: f64 = 4.3;
const SERVER_WINDOW_S: f64 = 4.0;
/// By how much a server bears more than its limit over the span that it judges, as a factor and in
/// requests.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Part of what a server bears that is used at most, however many homes there are: more than one of
/// them may be replaced at the same time.
const TOLERATED_SHARE_MAX: f64 = 2.0 / 3.0;

/// Requests a second that a backend server takes from all instances together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RateLimit {
    /// Finite, and not below zero.
    per_s: f64,
}

/// A text that names no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRateLimit;

impl RateLimit {
    /// Requests a second.
    #[must_use]
    pub const fn per_s(self) -> f64 {
        self.per_s
    }

    /// Requests within [`LIMIT_SPAN_US`] that the server takes; at least one, or it would never be used,
    /// unless it takes none.
    #[must_use]
    pub fn starts_allowed(self) -> u32 {
        self.at_least_one(self.per_s * LIMIT_WINDOW_S)
    }

    /// Requests within [`LIMIT_SPAN_US`] that so many homes may start there together while no other
    /// server has room, so that the server bears it also when one of them is replaced meanwhile.
    #[must_use]
    pub fn starts_tolerated(self, homes: u32) -> u32 {
        let homes = f64::from(homes.max(1));
        let share = (homes / (homes + 1.0)).min(TOLERATED_SHARE_MAX);
        self.at_least_one(self.per_s.mul_add(OVERAGE * SERVER_WINDOW_S, SLACK) * share)
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
