//! Keeps a [`Mirror`] in sync with the platform's store, directly or through another instance.
//!
//! Store calls are paid for, and a change that wakes a watch on every instance would cost one call
//! per instance. So only the first home of each zone watches the store. The other instances
//! long-poll a relay: the first home of their zone or a watcher. If no relay's mirror is fresh,
//! they poll several instances at once.
//!
//! The delay of a change is bounded however the relays fail (slow, frozen, disconnected, rejected
//! by the store): an instance whose mirror was not confirmed for `stale_max` calls the store
//! itself, unless enough instances that read the store report that it serves none of them either.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;
use parking_lot::Mutex;
use rand::RngExt;

use super::feed_source::FeedSource;
use super::mirror::Mirror;
use super::mirror_sink::Sink;
use super::proof_schedule::ProofSchedule;
use super::relay_cooldowns::RelayCooldowns;
use super::relays::is_watcher;
use super::server_list_holders::SERVER_LIST_RETENTION;
use super::server_list_holders::holds_server_list;
use super::store_outage::StoreOutage;
use crate::board::Blackboard;
use crate::clock::boot_us;
use crate::clock::now_us;
use crate::peer::Feed;
use crate::store::EventStore;
use crate::store::Freshness;
use crate::store::Item;
use crate::store::ItemEvent;
use crate::store::PageReader;
use crate::store::Revision;
use crate::store::StoreError;
use crate::store::WatchResult;

/// How long a watch waits in the store for a change; each watch is one paid call. If the connection
/// goes silent, changes are hidden for at most this long; cross-checks with other watchers cover
/// that time.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Divides the shortest time limit for a change (configuration, drain or evacuation). The quotient
/// is the pause after a change, in which further changes accumulate and are then fetched by one
/// call.
const BATCH_PAUSE_DIVISOR: u64 = 5;
/// Initial backoff after a call that the store rejected or did not answer; it doubles with each
/// failure, since failed calls are paid for too.
const REFUSED_BACKOFF_MS: u64 = 200;
/// Upper limit of that backoff: a store that is back must be noticed within a second.
const REFUSED_BACKOFF_MAX_MS: u64 = 1_000;
/// Backoff after a connection that could not be opened; these attempts are free.
const UNREACHABLE_BACKOFF_MS: u64 = 100;
/// Divides the shortest time limit for a change, too. The quotient is the age of the mirror at
/// which an instance stops waiting for peers and calls the store; the remaining time covers the
/// call, its connection and a last poll of peers.
const STALE_MAX_DIVISOR: u32 = 2;
/// How long an instance that knows no other, and so would consider itself a watcher, waits for
/// peers after its initial load. A watch is paid for like any other call.
const PEER_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(700);

/// The result of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Poll {
    /// The mirror has what the store has, after some changes if `changed`.
    UpToDate { changed: bool },
    /// The store no longer has the events after the mirror's revision: all keys must be read.
    Behind,
}

/// The backoff after this many failures in a row.
fn refused_backoff_ms(failures: u32) -> u64 {
    (REFUSED_BACKOFF_MS << failures.min(6)).min(REFUSED_BACKOFF_MAX_MS)
}

/// The error of an answer that was under way while the store was restored.
fn answer_outdated() -> StoreError {
    StoreError::ResponseLost("the answer is from before the store was restored".into())
}

/// The error of a watch that was abandoned because the store failed a health check.
fn watch_interrupted() -> StoreError {
    StoreError::ResponseLost("no answer to a check while a watch waited".into())
}

/// Keeps one mirror in sync.
#[derive(Debug)]
pub struct Follower<S, K, P> {
    pub store: S,
    pub peers: P,
    pub board: Arc<Blackboard>,
    pub mirror: Arc<Mirror<K>>,
    pub feed: Feed,
    pub prefix: &'static str,
    /// Pause after a change, to batch further changes into one call.
    batch_pause: Duration,
    /// Age of the mirror from which on this instance calls the store itself.
    pub(super) stale_max: Duration,
    pub(super) outage: StoreOutage,
    /// Whether the store has discarded the history after the mirror's revision, so that all keys
    /// must be read.
    snapshot_needed: AtomicBool,
    /// Watches since the last successful one that found the history lost.
    history_losses: AtomicU32,
    /// Relays that are temporarily not asked.
    pub(super) relay_cooldowns: Mutex<RelayCooldowns>,
    /// When this instance last needed the full mirror, on the clock of [`now_us`].
    last_needed_us: AtomicU64,
    /// When a peer last answered, or the full mirror was dropped, on the clock of [`now_us`].
    pub(super) last_answer_us: AtomicU64,
    /// When to prove that the mirror is up to date; `None` if no proof is required.
    pub(super) proof_schedule: Option<ProofSchedule>,
}

impl<S: EventStore, K: Sink, P: FeedSource> Follower<S, K, P> {
    /// Creates a follower of the keys below `prefix`.
    pub fn new(
        store: S,
        peers: P,
        board: Arc<Blackboard>,
        mirror: Arc<Mirror<K>>,
        feed: Feed,
        prefix: &'static str,
    ) -> Self {
        let gateway = board.settings.gateway.as_ref();
        let apply_max_ms = gateway.map_or(0, |gateway| {
            gateway.config_apply_ms.min(gateway.drain_ms).min(gateway.evacuate_ms)
        });
        let apply_max = Duration::from_millis(apply_max_ms);
        let revocation_ms = gateway.and_then(|gateway| gateway.key_revocation_ms);
        let revocation_ms = revocation_ms.filter(|_| feed == Feed::Config);
        let proof_schedule = revocation_ms.map(|ms| ProofSchedule::new(Duration::from_millis(ms)));
        Self {
            store,
            peers,
            board,
            mirror,
            feed,
            prefix,
            batch_pause: Duration::from_millis(apply_max_ms / BATCH_PAUSE_DIVISOR),
            stale_max: apply_max / STALE_MAX_DIVISOR,
            outage: StoreOutage::default(),
            snapshot_needed: AtomicBool::new(false),
            history_losses: AtomicU32::new(0),
            relay_cooldowns: Mutex::default(),
            last_needed_us: AtomicU64::new(0),
            last_answer_us: AtomicU64::new(0),
            proof_schedule,
        }
    }

    /// Runs until the process ends.
    pub async fn run(self) {
        loop {
            self.load_initial().await;
            let _ = tokio::time::timeout(PEER_DISCOVERY_TIMEOUT, self.wait_for_any_peer()).await;
            while self.needed_recently() {
                self.sync_once().await;
            }
            info!(
                event = "copy-dropped", prefix = self.prefix;
                "the full server list is no longer needed"
            );
            self.mirror.reset(false);
            self.last_answer_us.store(now_us(), Ordering::Release);
            while !self.needs_full_mirror() {
                self.sync_sample().await;
            }
            self.mirror.reset(true);
        }
    }

    /// Syncs once: from the store as a watcher, otherwise from peers.
    async fn sync_once(&self) {
        if is_watcher(&self.board) {
            tokio::select! {
                () = self.sync_from_store() => {}
                () = self.wait_until_not_watcher() => {}
            }
        } else {
            self.sync_from_peers().await;
        }
    }

    /// Whether this instance needs the full mirror, judging by the members that it knows.
    pub(super) fn needs_full_mirror(&self) -> bool {
        self.feed != Feed::Servers || holds_server_list(&self.board)
    }

    /// Whether the full mirror is needed now or, if it is loaded, was needed within
    /// [`SERVER_LIST_RETENTION`].
    fn needed_recently(&self) -> bool {
        let now_us = now_us();
        if self.needs_full_mirror() {
            self.last_needed_us.store(now_us, Ordering::Release);
            return true;
        }
        let since_us = now_us.saturating_sub(self.last_needed_us.load(Ordering::Acquire));
        self.mirror.revision().is_some() && Duration::from_micros(since_us) < SERVER_LIST_RETENTION
    }

    /// Returns when this instance stops being a watcher. Its pending watch may wait for seconds for
    /// a lost answer, and cross-checks of watchers no longer cover it, so it must sync from peers
    /// at once.
    async fn wait_until_not_watcher(&self) {
        let mut changes = self.board.subscribe_changes();
        while is_watcher(&self.board) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Syncs once from the store, then pauses: to batch changes, or to back off after an error.
    pub(super) async fn sync_from_store(&self) {
        let started_us = now_us();
        match self.poll_store().await {
            Ok(Poll::UpToDate { changed }) => {
                self.record_store_success();
                if changed {
                    tokio::time::sleep(self.batch_pause).await;
                }
            }
            Ok(Poll::Behind) => {
                // All keys are read at once, but not in a loop if that does not help.
                let losses = self.history_losses.fetch_add(1, Ordering::AcqRel);
                if losses > 0 {
                    tokio::time::sleep(Duration::from_millis(refused_backoff_ms(losses))).await;
                }
            }
            Err(error) => self.back_off(&error, started_us).await,
        }
    }

    /// Records an answer of the store, which confirms the mirror.
    fn record_store_success(&self) {
        self.mirror.record_confirmation(now_us());
        self.board.record_store_result(None);
        let failures = self.outage.record_success();
        if failures > 0 {
            info!(event = "follow-resumed", prefix = self.prefix, failures = failures; "");
        }
    }

    /// Records a failed store call that began at `started_us`, and sleeps for the backoff, to which
    /// up to a quarter is added at random.
    pub(super) async fn back_off(&self, error: &StoreError, started_us: u64) {
        self.board.record_store_result(Some(error.to_string()));
        let failures = self.outage.record_failure(started_us);
        if failures == 0 {
            let why = error.to_string();
            warn!(event = "follow-failed", prefix = self.prefix, why = why.as_str(); "");
        }
        let pause_ms = match error {
            StoreError::Unreachable(_) => UNREACHABLE_BACKOFF_MS,
            StoreError::ResponseLost(_) | StoreError::Refused(_) => refused_backoff_ms(failures),
        };
        let jitter_ms = rand::rng().random_range(0..=pause_ms / 4);
        tokio::time::sleep(Duration::from_millis(pause_ms + jitter_ms)).await;
    }

    /// Calls the store once.
    ///
    /// After a failure it first checks that the store serves this instance again: such a check
    /// costs a tenth of a call.
    async fn poll_store(&self) -> Result<Poll, StoreError> {
        if self.outage.is_ongoing() {
            let era = self.store.check_alive().await?;
            self.check_era(era)?;
        }
        match self.mirror.revision() {
            Some(revision) if !self.needs_snapshot(revision) => self.watch_store(revision).await,
            _ => self.read_snapshot().await,
        }
    }

    /// Whether the events after `revision` are not enough.
    fn needs_snapshot(&self, revision: Revision) -> bool {
        let restored = self.board.store_era.latest().is_some_and(|era| era > revision.era);
        restored || self.snapshot_needed.load(Ordering::Acquire)
    }

    /// Records the era of an answer of the store.
    ///
    /// # Errors
    /// Fails if the store was restored since.
    pub(super) fn check_era(&self, era: u64) -> Result<(), StoreError> {
        self.board.record_store_era(era);
        if self.board.store_era.latest() > Some(era) { Err(answer_outdated()) } else { Ok(()) }
    }

    /// How long a removed key may be so only because its lease expired in an outage. What operators
    /// write has no lease.
    pub(super) fn expiry_grace(&self) -> Duration {
        match self.feed {
            Feed::Config => Duration::ZERO,
            Feed::Servers | Feed::SomeServers { .. } => self.outage.expiry_grace(),
        }
    }

    /// How long a key that is missing now may be so only because of an outage or a restore.
    pub(super) fn missing_key_grace(&self) -> Duration {
        self.expiry_grace().max(self.board.store_era.repeat_time_left())
    }

    /// Records that the mirror holds everything that the store had acknowledged at `at_us`, unless
    /// the store may still lack some of it after a restore.
    pub(super) fn record_proof(&self, at_us: u64) {
        if self.board.store_era.is_complete_at(at_us) {
            self.mirror.record_proof(at_us);
        }
    }

    /// Reads all keys. The pages are not a consistent snapshot, so the mirror takes the revision of
    /// the first page and the next watch starts there.
    async fn read_snapshot(&self) -> Result<Poll, StoreError> {
        let asked_us = boot_us();
        let (items, read_at) = self.read_pages(Freshness::Latest).await?;
        info!(
            event = "snapshot-read", prefix = self.prefix, items = items.len(), era = read_at.era,
            revision = read_at.number,
            known_revision = self.mirror.revision().map(|revision| revision.number);
            ""
        );
        self.mirror.replace(&items, read_at, self.missing_key_grace());
        self.record_proof(asked_us);
        self.snapshot_needed.store(false, Ordering::Release);
        Ok(Poll::UpToDate { changed: false })
    }

    /// Returns all keys and the store's revision when the first page was read.
    pub(super) async fn read_pages(
        &self,
        freshness: Freshness,
    ) -> Result<(Vec<Item>, Revision), StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut read_at: Option<Revision> = None;
        let mut pages = PageReader::new(&self.store, self.prefix, freshness);
        while let Some(page) = pages.next_page().await? {
            self.check_era(page.revision.era)?;
            let at = *read_at.get_or_insert(page.revision);
            if at.era != page.revision.era {
                return Err(answer_outdated());
            }
            items.extend(page.items.into_iter().map(|item| self.mirror.redacted(item)));
        }
        Ok((items, read_at.unwrap_or_default()))
    }

    /// Watches the store for events after `revision`.
    async fn watch_store(&self, revision: Revision) -> Result<Poll, StoreError> {
        // After a failure the watch must return at once: a failing store would hold it for the full
        // wait.
        let wait = if self.outage.is_ongoing() { Duration::ZERO } else { WATCH_TIMEOUT };
        let asked_us = boot_us();
        let watching = self.mirror.start_watch();
        let watched = tokio::select! {
            watched = self.store.events(self.prefix, revision, wait) => watched?,
            () = self.mirror.wait_for_interrupt() => return Err(watch_interrupted()),
            // A watch from before the restore waits for revisions that may come late, or never.
            _ = self.board.store_era.wait_beyond(revision.era) => return Ok(Poll::Behind),
        };
        drop(watching);
        self.apply_watched(watched, revision, asked_us)
    }

    /// Applies the result of a watch from `revision` that was sent at `asked_us`.
    pub(super) fn apply_watched(
        &self,
        watched: WatchResult,
        revision: Revision,
        asked_us: u64,
    ) -> Result<Poll, StoreError> {
        if let WatchResult::Events { events, revision: upto } = watched {
            self.check_era(upto.era)?;
            if upto.era == revision.era {
                let events = events.into_iter().map(|event| self.mirror.redacted_event(event));
                let events: Vec<ItemEvent> = events.collect();
                self.mirror.apply(&events, upto.max(revision), self.expiry_grace());
                self.record_proof(asked_us);
                self.history_losses.store(0, Ordering::Release);
                return Ok(Poll::UpToDate { changed: !events.is_empty() });
            }
        }
        info!(
            event = "history-lost", prefix = self.prefix, era = revision.era,
            revision = revision.number;
            "the store does not have the events after this revision"
        );
        self.snapshot_needed.store(true, Ordering::Release);
        Ok(Poll::Behind)
    }
}
