//! The limit that one server names now.

use super::RateLimit;
use crate::model::Heard;

/// The last word of one server on its limit; a limit holds for as long as it is named.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdvertisedLimit {
    limit: Option<RateLimit>,
    /// When `limit` was heard last, or to end.
    reported_at_us: u64,
    /// Whether its health answers ever named a limit; of others, silence says nothing of it.
    checks_report_limit: bool,
    /// Whether the last word could not be read.
    unreadable: bool,
}

impl AdvertisedLimit {
    /// Takes in a word, `None` where none was named; returns whether that changes the limit.
    pub fn record(&mut self, heard: Heard, limit: Option<RateLimit>, now_us: u64) -> bool {
        self.unreadable = false;
        if heard == Heard::Check {
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

    /// Takes in a word that cannot be read; returns whether it is the first in a row.
    pub const fn record_unreadable(&mut self) -> bool {
        !std::mem::replace(&mut self.unreadable, true)
    }

    /// The limit in force.
    #[must_use]
    pub const fn current(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Age of the last word on the limit in force, in microseconds; `None` without one.
    #[must_use]
    pub fn age_us(&self, now_us: u64) -> Option<u64> {
        self.limit.map(|_| now_us.saturating_sub(self.reported_at_us))
    }
}
