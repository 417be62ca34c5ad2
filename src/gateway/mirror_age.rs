//! How old a copy of a part of the store may be.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::clock::boot_us;
use crate::clock::now_us;

/// What is known of the age of one copy.
#[derive(Debug, Default)]
pub struct MirrorAge {
    /// When an instance that the store serves was last certain that nothing is missing; 0 before the
    /// first time.
    confirmed_us: AtomicU64,
    /// A moment at which the copy held all that the store had acknowledged, on the clock of [`boot_us`]: the
    /// store, or who asked it, was asked then or later. 0 before the first.
    proved_us: AtomicU64,
    /// The newest version of the configuration cannot be read, so an older one is in force.
    outdated: AtomicBool,
}

impl MirrorAge {
    /// Takes note that nothing was missing at `at_us`.
    pub fn record_confirmation(&self, at_us: u64) {
        self.confirmed_us.fetch_max(at_us, Ordering::AcqRel);
    }

    /// How long ago it was last certain that nothing is missing.
    #[must_use]
    pub fn age(&self) -> Duration {
        Duration::from_micros(now_us().saturating_sub(self.confirmed_us.load(Ordering::Acquire)))
    }

    /// Takes note that the copy, as it is now, holds all that the store had acknowledged at `at_us` on the
    /// clock of [`boot_us`].
    pub fn record_proof(&self, at_us: u64) {
        self.proved_us.fetch_max(at_us, Ordering::AcqRel);
    }

    /// The last moment at which the copy is proved to have been the newest, on the clock of [`boot_us`].
    #[must_use]
    pub fn proved_us(&self) -> Option<u64> {
        Some(self.proved_us.load(Ordering::Acquire)).filter(|at_us| *at_us > 0)
    }

    /// How long ago what is in force is proved to have been the newest; `None` if never.
    #[must_use]
    pub fn proof_age(&self) -> Option<Duration> {
        if self.outdated.load(Ordering::Acquire) {
            return None;
        }
        self.proved_us().map(|at_us| Duration::from_micros(boot_us().saturating_sub(at_us)))
    }

    /// Takes note of whether the newest version of the configuration is in force.
    pub fn set_outdated(&self, outdated: bool) {
        self.outdated.store(outdated, Ordering::Release);
    }
}
