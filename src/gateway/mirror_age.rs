//! Tracks how old a [`super::Mirror`] may be.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::clock::boot_us;
use crate::clock::now_us;

/// A mirror that was confirmed complete within this time is *fresh*, and peers may rely on it. If a
/// peer's mirror is older, the store may be rejecting the peer while it serves this instance.
pub(super) const FRESH_AGE_MAX: Duration = Duration::from_millis(900);

/// The age of one mirror. *Confirmed* means that no known change was missing, as judged by this
/// instance or the peer that it synced from; *proved* means that the store itself was asked at or
/// after that time.
#[derive(Debug, Default)]
pub struct MirrorAge {
    /// When the mirror was last confirmed complete by an instance that the store serves, on the
    /// clock of [`now_us`]; 0 before the first confirmation.
    confirmed_us: AtomicU64,
    /// A time, on the clock of [`boot_us`], at which the mirror provably held everything that the
    /// store had acknowledged: the store was asked then or later, by this instance or by a peer. 0
    /// before the first proof.
    proved_us: AtomicU64,
    /// Whether an older configuration is in use because the newest version cannot be read.
    outdated: AtomicBool,
}

impl MirrorAge {
    /// Records that the mirror was complete at `at_us`, on the clock of [`now_us`].
    pub fn record_confirmation(&self, at_us: u64) {
        self.confirmed_us.fetch_max(at_us, Ordering::AcqRel);
    }

    /// Time since the mirror was last confirmed complete.
    #[must_use]
    pub fn age(&self) -> Duration {
        Duration::from_micros(now_us().saturating_sub(self.confirmed_us.load(Ordering::Acquire)))
    }

    /// Records that the mirror, as it is now, holds everything that the store had acknowledged at
    /// `at_us`, on the clock of [`boot_us`].
    pub fn record_proof(&self, at_us: u64) {
        self.proved_us.fetch_max(at_us, Ordering::AcqRel);
    }

    /// The latest time for which the mirror is proved up to date, on the clock of [`boot_us`].
    #[must_use]
    pub fn proved_us(&self) -> Option<u64> {
        Some(self.proved_us.load(Ordering::Acquire)).filter(|at_us| *at_us > 0)
    }

    /// Time since the configuration in use was last proved up to date; `None` if it never was or if
    /// its newest version cannot be read.
    #[must_use]
    pub fn proof_age(&self) -> Option<Duration> {
        if self.outdated.load(Ordering::Acquire) {
            return None;
        }
        self.proved_us().map(|at_us| Duration::from_micros(boot_us().saturating_sub(at_us)))
    }

    /// Records whether an older configuration is in use because the newest cannot be read.
    pub fn set_outdated(&self, outdated: bool) {
        self.outdated.store(outdated, Ordering::Release);
    }
}
