//! A limit as a server names it.

use std::str::FromStr;

/// Requests a second that a backend server takes from all instances together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RateLimit {
    /// Finite, and not below zero.
    per_s: f64,
}

/// A text that names no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitUnreadable;

impl RateLimit {
    /// Requests a second.
    #[must_use]
    pub const fn per_s(self) -> f64 {
        self.per_s
    }
}

impl FromStr for RateLimit {
    type Err = LimitUnreadable;

    fn from_str(text: &str) -> Result<Self, LimitUnreadable> {
        let per_s = text.trim().parse::<f64>().map_err(|_| LimitUnreadable)?;
        let valid = per_s.is_finite() && per_s >= 0.0;
        valid.then_some(Self { per_s }).ok_or(LimitUnreadable)
    }
}
