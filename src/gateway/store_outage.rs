//! Recent failures of this instance's calls to the platform's store.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::clock::now_us;
use crate::store::REWRITE_TIME_US;

/// Consecutive failed calls, and when the last of them began.
#[derive(Debug, Default)]
pub(super) struct StoreOutage {
    failures: AtomicU32,
    /// When the last failed call began, on the clock of [`now_us`]; 0 before the first.
    failed_us: AtomicU64,
    /// Whether peers reported an outage since this instance's last answer from the store.
    assumed_ongoing: AtomicBool,
}

impl StoreOutage {
    /// Records a successful call; returns the number of consecutive failures before it.
    pub(super) fn record_success(&self) -> u32 {
        self.assumed_ongoing.store(false, Ordering::Release);
        self.failures.swap(0, Ordering::AcqRel)
    }

    /// Records a failed call; returns the number of consecutive failures before it.
    pub(super) fn record_failure(&self, started_us: u64) -> u32 {
        self.failed_us.store(started_us, Ordering::Release);
        self.failures.fetch_add(1, Ordering::AcqRel)
    }

    /// Records that the store does not answer other instances.
    pub(super) fn assume_ongoing(&self) {
        self.assumed_ongoing.store(true, Ordering::Release);
    }

    /// Whether the last call failed or peers reported an outage.
    pub(super) fn is_ongoing(&self) -> bool {
        self.failures.load(Ordering::Acquire) > 0 || self.assumed_ongoing.load(Ordering::Acquire)
    }

    /// Time since the last failed call began.
    pub(super) fn time_since_failure(&self) -> Duration {
        Duration::from_micros(now_us().saturating_sub(self.failed_us.load(Ordering::Acquire)))
    }

    /// How long a key that is missing now may be so only because its lease expired during an
    /// outage. This ends about two seconds after the store's return, so that a server that really
    /// left is not used for longer than it serves.
    pub(super) fn expiry_grace(&self) -> Duration {
        let failed_us = self.failed_us.load(Ordering::Acquire);
        if failed_us == 0 {
            return Duration::ZERO;
        }
        Duration::from_micros((failed_us + REWRITE_TIME_US).saturating_sub(now_us()))
    }
}
