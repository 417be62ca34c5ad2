//! Keeps a [`Mirror`] up to date: from the platform's store, or from an instance that does so.
//!
//! Each call to the store has its price, and a change that wakes a watch on each instance costs a
//! call of each. So only the first home of each zone watches; the others ask that of their zone, or
//! that of another, and when none is certain, several others at once.
//!
//! What holds a change back at most: an instance that was not certain for [`PATIENCE_PART`] of the
//! bound turns to the store itself, however its relays fail (slow, frozen, cut, turned away), unless
//! as many others as read the store say that it serves none of them either.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;
use parking_lot::Mutex;
use rand::RngExt;

use super::feed_source::FeedSource;
use super::mirror::Mirror;
use super::mirror::Sink;
use super::proof_schedule::ProofSchedule;
use super::relays::is_watcher;
use super::server_list_holders::RETENTION;
use super::server_list_holders::holds_server_list;
use super::shunned::RelayCooldowns;
use super::store_outage::StoreOutage;
use crate::board::Blackboard;
use crate::clock::boot_us;
use crate::clock::now_us;
use crate::peer::Feed;
use crate::store::EventStore;
use crate::store::Freshness;
use crate::store::Item;
use crate::store::ItemEvent;
use crate::store::StoreError;
use crate::store::Watched;

/// How long a watch waits in the store; each turn is a call. A connection that went silent hides
/// changes for as long at most; the other watchers are asked meanwhile.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause after a change, so that changes that come together are one call: this part of the time
/// that a change, or the leaving of a server, may take.
const BATCH_PAUSE_DIVISOR: u64 = 5;
/// Pause after a call that the store refused or did not answer, doubling up to the second: each
/// is paid for, and one that is back should be noticed within a second.
const REFUSED_BACKOFF_MS: u64 = 200;
const REFUSED_BACKOFF_MAX_MS: u64 = 1_000;
/// Pause after a connection that could not be opened; nobody pays for those.
const UNREACHABLE_BACKOFF_MS: u64 = 100;
/// What another instance knows is believed when it was certain within this; above it, the store
/// may have turned that instance away while it serves this one.
pub const FRESH_AGE_MAX: Duration = Duration::from_millis(900);
/// Part of the bound after which an instance that is not certain turns to the store itself; the
/// call, its connection and what is asked before it have the rest.
const STALE_MAX_DIVISOR: u32 = 2;
/// An instance that knows no other one takes itself for one that watches. For so long after it
/// got its copy it waits for others first; a call that waits in the store is paid for like any other.
const PEER_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(700);

/// A watch that was given up because the store did not answer a check meanwhile.
fn watch_interrupted() -> StoreError {
    StoreError::AnswerLost("no answer to a check while a watch waited".into())
}

/// Keeps one mirror up to date.
#[derive(Debug)]
pub struct Follower<S, K, P> {
    pub store: S,
    pub peers: P,
    pub board: Arc<Blackboard>,
    pub mirror: Arc<Mirror<K>>,
    pub feed: Feed,
    pub prefix: &'static str,
    /// Pause after a change.
    batch_pause: Duration,
    /// How long this instance goes on without being certain before it turns to the store.
    pub(super) stale_max: Duration,
    pub(super) outage: StoreOutage,
    /// The store lost the history, so all keys are to be read.
    snapshot_needed: AtomicBool,
    /// Relays that are not asked for a while.
    pub(super) relay_cooldowns: Mutex<RelayCooldowns>,
    /// When this instance last needed the copy.
    last_needed_us: AtomicU64,
    /// Proves that the copy is the newest, where that is asked of it.
    pub(super) proof_schedule: Option<ProofSchedule>,
}

impl<S: EventStore, K: Sink, P: FeedSource> Follower<S, K, P> {
    /// A follower of the keys below `prefix`.
    pub fn new(
        store: S,
        peers: P,
        board: Arc<Blackboard>,
        mirror: Arc<Mirror<K>>,
        feed: Feed,
        prefix: &'static str,
    ) -> Self {
        let bounds = board.settings.gateway.as_ref();
        let bound_ms = bounds.map_or(0, |bounds| {
            bounds.config_apply_ms.min(bounds.drain_ms).min(bounds.evacuate_ms)
        });
        let bound = Duration::from_millis(bound_ms);
        let revocation_ms = bounds.and_then(|bounds| bounds.key_revocation_ms);
        let revocation_ms = revocation_ms.filter(|_| feed == Feed::Config);
        let proof_schedule = revocation_ms.map(|ms| ProofSchedule::new(Duration::from_millis(ms)));
        Self {
            store,
            peers,
            board,
            mirror,
            feed,
            prefix,
            batch_pause: Duration::from_millis(bound_ms / BATCH_PAUSE_DIVISOR),
            stale_max: bound / STALE_MAX_DIVISOR,
            outage: StoreOutage::default(),
            snapshot_needed: AtomicBool::new(false),
            relay_cooldowns: Mutex::default(),
            last_needed_us: AtomicU64::new(0),
            proof_schedule,
        }
    }

    /// Follows until the process ends.
    pub async fn run(self) {
        loop {
            self.load_initial().await;
            let _ = tokio::time::timeout(PEER_DISCOVERY_TIMEOUT, self.wait_for_any_peer()).await;
            while self.needed_recently() {
                self.sync_once().await;
            }
            info!(event = "copy-dropped", prefix = self.prefix; "this instance is no home");
            self.mirror.reset(false);
            while !self.needs_full_mirror() {
                self.sync_sample().await;
            }
            self.mirror.reset(true);
        }
    }

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

    /// Whether this instance needs the whole copy, as far as it knows the others.
    pub(super) fn needs_full_mirror(&self) -> bool {
        self.feed != Feed::Servers || holds_server_list(&self.board)
    }

    /// The same, now or, where it has the copy, a moment ago.
    fn needed_recently(&self) -> bool {
        let now_us = now_us();
        if self.needs_full_mirror() {
            self.last_needed_us.store(now_us, Ordering::Release);
            return true;
        }
        let since_us = now_us.saturating_sub(self.last_needed_us.load(Ordering::Acquire));
        self.mirror.revision().is_some() && Duration::from_micros(since_us) < RETENTION
    }

    /// Returns once another instance is to watch. A watch whose answer was lost waits on
    /// for seconds; this one is asked about what it missed no more, and must ask itself.
    async fn wait_until_not_watcher(&self) {
        let mut changes = self.board.changes();
        while is_watcher(&self.board) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// One turn at the store, and the pause after it.
    pub(super) async fn sync_from_store(&self) {
        let began_us = now_us();
        match self.poll_store().await {
            Ok(changed) => {
                self.record_store_success();
                if changed {
                    tokio::time::sleep(self.batch_pause).await;
                }
            }
            Err(error) => self.back_off(&error, began_us).await,
        }
    }

    fn record_store_success(&self) {
        self.mirror.record_confirmation(now_us());
        self.board.note_store(None);
        let failures = self.outage.record_success();
        if failures > 0 {
            info!(event = "follow-resumed", prefix = self.prefix, failures = failures; "");
        }
    }

    pub(super) async fn back_off(&self, error: &StoreError, began_us: u64) {
        self.board.note_store(Some(error.to_string()));
        let failures = self.outage.record_failure(began_us);
        if failures == 0 {
            let why = error.to_string();
            warn!(event = "follow-failed", prefix = self.prefix, why = why.as_str(); "");
        }
        let pause_ms = match error {
            StoreError::Unreachable(_) => UNREACHABLE_BACKOFF_MS,
            StoreError::AnswerLost(_) | StoreError::Refused(_) => {
                (REFUSED_BACKOFF_MS << failures.min(6)).min(REFUSED_BACKOFF_MAX_MS)
            }
        };
        let jitter_ms = rand::rng().random_range(0..=pause_ms / 4);
        tokio::time::sleep(Duration::from_millis(pause_ms + jitter_ms)).await;
    }

    /// One turn at the store; tells whether it brought a change.
    ///
    /// After a failure it looks first whether the store serves this instance again: a look costs a tenth of
    /// a call that brings nothing.
    async fn poll_store(&self) -> Result<bool, StoreError> {
        if self.outage.is_ongoing() {
            self.store.alive().await?;
        }
        match self.mirror.revision() {
            Some(revision) if !self.snapshot_needed.load(Ordering::Acquire) => {
                self.watch_store(revision).await
            }
            _ => self.read_snapshot().await,
        }
    }

    /// Reads all keys. Pages are no snapshot, so the watch goes on from before the first one.
    async fn read_snapshot(&self) -> Result<bool, StoreError> {
        let asked_us = boot_us();
        let (items, read_at) = self.read_pages(Freshness::Latest).await?;
        self.mirror.replace(&items, read_at, self.outage.expiry_grace());
        self.mirror.record_proof(asked_us);
        self.snapshot_needed.store(false, Ordering::Release);
        Ok(false)
    }

    /// All keys, and the store's counter when the first page was read.
    pub(super) async fn read_pages(
        &self,
        freshness: Freshness,
    ) -> Result<(Vec<Item>, u64), StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut read_at = None;
        loop {
            let after = items.last().map(|item| item.key.clone());
            let page = self.store.page(self.prefix, after.as_deref(), freshness).await?;
            let at = *read_at.get_or_insert(page.revision);
            let last = !page.more || page.items.is_empty();
            items.extend(page.items.into_iter().map(|item| self.mirror.redacted(item)));
            if last {
                return Ok((items, at));
            }
        }
    }

    async fn watch_store(&self, revision: u64) -> Result<bool, StoreError> {
        // A store that is back answers at once; one that is not holds a call that waits for nothing
        // as long as it waits for changes.
        let wait = if self.outage.is_ongoing() { Duration::ZERO } else { WATCH_TIMEOUT };
        let asked_us = boot_us();
        let watching = self.mirror.start_watch();
        let watched = tokio::select! {
            watched = self.store.events(self.prefix, revision, wait) => watched?,
            () = self.mirror.wait_for_interrupt() => return Err(watch_interrupted()),
        };
        drop(watching);
        Ok(self.apply_watched(watched, revision, asked_us))
    }

    /// Takes in what the store answered to a watch from `revision` that was asked at `asked_us`; tells whether
    /// it brought a change.
    pub(super) fn apply_watched(&self, watched: Watched, revision: u64, asked_us: u64) -> bool {
        match watched {
            Watched::HistoryLost => {
                self.snapshot_needed.store(true, Ordering::Release);
                false
            }
            Watched::Events { events, revision: upto } => {
                let events = events.into_iter().map(|event| self.mirror.redacted_event(event));
                let events: Vec<ItemEvent> = events.collect();
                self.mirror.apply(&events, upto.max(revision), self.outage.expiry_grace());
                self.mirror.record_proof(asked_us);
                !events.is_empty()
            }
        }
    }
}
