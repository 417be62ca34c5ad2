//! The rate limit that one server advertises.

use super::RateLimit;
use crate::model::ReportSource;

/// The last report of one server on its rate limit. A limit holds for as long as the server reports
/// it.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdvertisedLimit {
    limit: Option<RateLimit>,
    /// When the limit was last reported, or reported to have ended.
    reported_at_us: u64,
    /// Whether the server's health checks ever reported a limit. If not, a health check without a
    /// limit does not end one.
    checks_report_limit: bool,
    /// Whether the last report was invalid.
    is_invalid: bool,
}

impl AdvertisedLimit {
    /// Records a report with a limit, or without one; returns whether that changes the limit.
    pub fn record(&mut self, source: ReportSource, limit: Option<RateLimit>, now_us: u64) -> bool {
        self.is_invalid = false;
        if source == ReportSource::HealthCheck {
            self.checks_report_limit |= limit.is_some();
            if !self.checks_report_limit {
                return false;
            }
        }
        self.reported_at_us = now_us;
        let changed = self.limit != limit;
        self.limit = limit;
        changed
    }

    /// Records an invalid report; returns whether it is the first in a row.
    pub const fn record_invalid(&mut self) -> bool {
        !std::mem::replace(&mut self.is_invalid, true)
    }

    /// The current limit.
    #[must_use]
    pub const fn current(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Age of the last report on the current limit, in microseconds; `None` without a limit.
    #[must_use]
    pub fn age_us(&self, now_us: u64) -> Option<u64> {
        self.limit.map(|_| now_us.saturating_sub(self.reported_at_us))
    }
}
