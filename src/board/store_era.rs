//! The era of the platform's store, as far as this instance knows.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::boot_us;
use crate::store::REWRITE_TIME_US;

/// The latest known era, and until when its contents may lack what was written before it.
#[derive(Debug)]
pub struct StoreEra {
    /// `None` until the first answer of the store or of a peer.
    latest: watch::Sender<Option<u64>>,
    /// On the clock of [`boot_us`]; 0 before the first restore that this instance saw.
    complete_us: AtomicU64,
}

impl Default for StoreEra {
    fn default() -> Self {
        Self { latest: watch::Sender::new(None), complete_us: AtomicU64::new(0) }
    }
}

impl StoreEra {
    /// Records the era of an answer; returns the previous one if the store was restored since.
    pub fn record(&self, era: u64) -> Option<u64> {
        let mut restored_after = None;
        self.latest.send_if_modified(|latest| {
            if latest.is_some_and(|latest| latest >= era) {
                return false;
            }
            if latest.is_some() {
                self.complete_us.store(boot_us() + REWRITE_TIME_US, Ordering::Release);
            }
            restored_after = latest.replace(era);
            true
        });
        restored_after
    }

    /// The latest known era.
    #[must_use]
    pub fn latest(&self) -> Option<u64> {
        *self.latest.borrow()
    }

    /// Returns an era once one is known.
    pub async fn wait_known(&self) -> u64 {
        self.wait_for(|_| true).await
    }

    /// Returns the latest era once it is later than `era`.
    pub async fn wait_beyond(&self, era: u64) -> u64 {
        self.wait_for(|latest| latest > era).await
    }

    async fn wait_for(&self, accepts: impl Fn(u64) -> bool) -> u64 {
        let mut latest_rx = self.latest.subscribe();
        let latest = latest_rx.wait_for(|latest| latest.is_some_and(&accepts)).await;
        match latest.ok().and_then(|latest| *latest) {
            Some(era) => era,
            // The sender lives as long as `self`.
            None => std::future::pending().await,
        }
    }

    /// How much longer something that is missing in the store may be so only because its writer has
    /// not repeated it since the restore.
    #[must_use]
    pub fn repeat_time_left(&self) -> Duration {
        let complete_us = self.complete_us.load(Ordering::Acquire);
        Duration::from_micros(complete_us.saturating_sub(boot_us()))
    }

    /// Whether what the store held at `at_us`, on the clock of [`boot_us`], includes all that it
    /// had acknowledged before.
    #[must_use]
    pub fn is_complete_at(&self, at_us: u64) -> bool {
        at_us >= self.complete_us.load(Ordering::Acquire)
    }
}
