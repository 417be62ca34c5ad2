//! Proof that a copy of the configuration is the store's newest, counted from when the store was asked.
//!
//! A watch that waits proves nothing: its connection may have gone silent. A watch that does not wait is
//! answered at once with what there is. The first of those that watch the store asks it; its answer travels
//! to the others with what they ask it anyway, and its age with it.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::feed_source::FeedSource;
use super::follower::Follower;
use super::mirror::Sink;
use super::relays::watcher_index;
use crate::clock::boot_us;
use crate::store::EventStore;

/// Part of the bound after which the first of those that watch asks the store: a proof is handed on twice,
/// and callers are sent elsewhere from three fifths of the bound on.
const FIRST_DUE_FRACTION: f64 = 0.12;
/// The next ones ask when a proof is older than the first lets it become on its way to them.
const LATER_DUE_FRACTION: f64 = 0.25;
/// And each later one by this part later.
const DUE_FRACTION_STEP: f64 = 0.04;
/// The last part of the bound in which a watcher asks at its latest.
const DUE_FRACTION_MAX: f64 = 0.5;
/// Between two tries where the store does not answer; each is paid for.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// When to ask for a proof.
#[derive(Debug)]
pub struct ProofSchedule {
    /// For so long a key may be served after it was taken away.
    revocation_max: Duration,
    /// When the store was last asked, on the clock of [`boot_us`].
    asked_us: AtomicU64,
}

impl ProofSchedule {
    /// A prover that keeps proofs much younger than `bound`.
    #[must_use]
    pub const fn new(revocation_max: Duration) -> Self {
        Self { revocation_max, asked_us: AtomicU64::new(0) }
    }

    /// The age of the last proof at which the watcher of this place asks the store.
    #[expect(clippy::cast_precision_loss, reason = "some zones")]
    fn due_age(&self, place: usize) -> Duration {
        let part = match place {
            0 => FIRST_DUE_FRACTION,
            _ => DUE_FRACTION_STEP.mul_add(place as f64, LATER_DUE_FRACTION).min(DUE_FRACTION_MAX),
        };
        self.revocation_max.mul_f64(part)
    }

    /// Whether the store is to be asked, by the watcher of this place.
    fn is_due(&self, place: usize, proof_age: Option<Duration>) -> bool {
        let asked_us = self.asked_us.load(Ordering::Acquire);
        let since_asked = Duration::from_micros(boot_us().saturating_sub(asked_us));
        let due = self.due_age(place);
        proof_age.is_none_or(|age| age >= due) && since_asked >= due.min(RETRY_INTERVAL)
    }
}

impl<S: EventStore, K: Sink, P: FeedSource> Follower<S, K, P> {
    /// Asks the store whether something is missing, if the last proof is old and it is this watcher's turn.
    pub(super) async fn prove_if_due(&self) {
        let (Some(prover), Some(place)) = (&self.proof_schedule, watcher_index(&self.board)) else {
            return;
        };
        if !prover.is_due(place, self.mirror.proof_age()) {
            return;
        }
        let Some(revision) = self.mirror.revision() else {
            return;
        };
        let asked_us = boot_us();
        prover.asked_us.store(asked_us, Ordering::Release);
        match self.store.events(self.prefix, revision, Duration::ZERO).await {
            Ok(watched) => {
                self.board.note_store(None);
                self.apply_watched(watched, revision, asked_us);
            }
            Err(error) => self.board.note_store(Some(error.to_string())),
        }
    }
}
