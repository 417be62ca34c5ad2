//! Schedules proofs that a mirror of the configuration is up to date, dated from when the store was
//! asked.
//!
//! A waiting watch proves nothing, since its connection may have gone silent; a watch that does not
//! wait is answered at once with the current state. The first watcher sends one, and the proof
//! reaches the other instances, with its age, through the feed requests that they send anyway.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::warn;

use super::feed_source::FeedSource;
use super::follower::Follower;
use super::mirror_sink::Sink;
use super::relays::watcher_index;
use crate::clock::boot_us;
use crate::store::EventStore;

/// Age of the proof, as a fraction of `revocation_max`, at which the first watcher asks the store.
/// A proof is passed on twice, and callers are redirected from three fifths of `revocation_max` on.
const FIRST_DUE_FRACTION: f64 = 0.12;
/// Base of the same fraction for the later watchers: above the age that the first watcher's proofs
/// have when they arrive.
const LATER_DUE_FRACTION: f64 = 0.25;
/// Added to the base for each index of a later watcher, so that they ask one after the other.
const DUE_FRACTION_STEP: f64 = 0.04;
/// Upper limit of the fraction for any watcher.
const DUE_FRACTION_MAX: f64 = 0.5;
/// Minimum time between two requests while the store does not answer; each is paid for.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Decides when this instance must ask the store for a proof.
#[derive(Debug)]
pub struct ProofSchedule {
    /// How long an API key may still be accepted after its revocation.
    revocation_max: Duration,
    /// When the store was last asked, on the clock of [`boot_us`].
    asked_us: AtomicU64,
}

impl ProofSchedule {
    /// Creates a schedule that keeps proofs much younger than `revocation_max`.
    #[must_use]
    pub const fn new(revocation_max: Duration) -> Self {
        Self { revocation_max, asked_us: AtomicU64::new(0) }
    }

    /// The age of the last proof at which the watcher at this index asks the store.
    #[expect(clippy::cast_precision_loss, reason = "there are few watchers")]
    fn due_age(&self, watcher_index: usize) -> Duration {
        let fraction = match watcher_index {
            0 => FIRST_DUE_FRACTION,
            _ => DUE_FRACTION_STEP
                .mul_add(watcher_index as f64, LATER_DUE_FRACTION)
                .min(DUE_FRACTION_MAX),
        };
        self.revocation_max.mul_f64(fraction)
    }

    /// Whether the watcher at this index must ask the store now.
    fn is_due(&self, watcher_index: usize, proof_age: Option<Duration>) -> bool {
        let asked_us = self.asked_us.load(Ordering::Acquire);
        let since_asked = Duration::from_micros(boot_us().saturating_sub(asked_us));
        let due_age = self.due_age(watcher_index);
        proof_age.is_none_or(|age| age >= due_age) && since_asked >= due_age.min(RETRY_INTERVAL)
    }
}

impl<S: EventStore, K: Sink, P: FeedSource> Follower<S, K, P> {
    /// Asks the store for missing changes if this instance is a watcher and its proof is due.
    pub(super) async fn prove_if_due(&self) {
        let (Some(schedule), Some(index)) = (&self.proof_schedule, watcher_index(&self.board))
        else {
            return;
        };
        if !schedule.is_due(index, self.mirror.proof_age()) {
            return;
        }
        let Some(revision) = self.mirror.revision() else {
            return;
        };
        let asked_us = boot_us();
        schedule.asked_us.store(asked_us, Ordering::Release);
        match self.store.events(self.prefix, revision, Duration::ZERO).await {
            Ok(watched) => {
                self.board.record_store_result(None);
                if let Err(error) = self.apply_watched(watched, revision, asked_us) {
                    warn!(event = "proof-unusable", why = error.to_string().as_str(); "");
                }
            }
            Err(error) => self.board.record_store_result(Some(error.to_string())),
        }
    }
}
