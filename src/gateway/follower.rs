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
use super::holders::LINGER;
use super::holders::holds_servers;
use super::mirror::Mirror;
use super::mirror::Sink;
use super::prover::Prover;
use super::relays::watches;
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
const WAIT: Duration = Duration::from_secs(4);
/// Pause after a change, so that changes that come together are one call: this part of the time
/// that a change, or the leaving of a server, may take.
const GATHER_PART: u64 = 5;
/// Pause after a call that the store refused or did not answer, doubling up to the second: each
/// is paid for, and one that is back should be noticed within a second.
const REFUSED_PAUSE_MS: u64 = 200;
const REFUSED_PAUSE_MAX_MS: u64 = 1_000;
/// Pause after a connection that could not be opened; nobody pays for those.
const UNREACHABLE_PAUSE_MS: u64 = 100;
/// What another instance knows is believed when it was certain within this; above it, the store
/// may have turned that instance away while it serves this one.
pub const AGE_MAX: Duration = Duration::from_millis(900);
/// Part of the bound after which an instance that is not certain turns to the store itself; the
/// call, its connection and what is asked before it have the rest.
const PATIENCE_PART: u32 = 2;
/// An instance that knows no other one takes itself for one that watches. For so long after it
/// got its copy it waits for others first; a call that waits in the store is paid for like any other.
const ALONE_PAUSE: Duration = Duration::from_millis(700);

/// A watch that was given up because the store did not answer a check meanwhile.
fn interrupted() -> StoreError {
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
    gather: Duration,
    /// How long this instance goes on without being certain before it turns to the store.
    pub(super) patience: Duration,
    pub(super) outage: StoreOutage,
    /// The store lost the history, so all keys are to be read.
    read_all: AtomicBool,
    /// Relays that are not asked for a while.
    pub(super) shunned: Mutex<RelayCooldowns>,
    /// When this instance last needed the copy.
    needed_us: AtomicU64,
    /// Proves that the copy is the newest, where that is asked of it.
    pub(super) prover: Option<Prover>,
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
        let prover = revocation_ms.map(|ms| Prover::new(Duration::from_millis(ms)));
        Self {
            store,
            peers,
            board,
            mirror,
            feed,
            prefix,
            gather: Duration::from_millis(bound_ms / GATHER_PART),
            patience: bound / PATIENCE_PART,
            outage: StoreOutage::default(),
            read_all: AtomicBool::new(false),
            shunned: Mutex::default(),
            needed_us: AtomicU64::new(0),
            prover,
        }
    }

    /// Follows until the process ends.
    pub async fn run(self) {
        loop {
            self.first_copy().await;
            let _ = tokio::time::timeout(ALONE_PAUSE, self.others_there()).await;
            while self.needed_lately() {
                self.follow_once().await;
            }
            info!(event = "copy-dropped", prefix = self.prefix; "this instance is no home");
            self.mirror.begin_anew(false);
            while !self.needed() {
                self.follow_sample().await;
            }
            self.mirror.begin_anew(true);
        }
    }

    async fn follow_once(&self) {
        if watches(&self.board) {
            tokio::select! {
                () = self.follow_store() => {}
                () = self.relieved() => {}
            }
        } else {
            self.learn_from_others().await;
        }
    }

    /// Whether this instance needs the whole copy, as far as it knows the others.
    pub(super) fn needed(&self) -> bool {
        self.feed != Feed::Servers || holds_servers(&self.board)
    }

    /// The same, now or, where it has the copy, a moment ago.
    fn needed_lately(&self) -> bool {
        let now_us = now_us();
        if self.needed() {
            self.needed_us.store(now_us, Ordering::Release);
            return true;
        }
        let since_us = now_us.saturating_sub(self.needed_us.load(Ordering::Acquire));
        self.mirror.revision().is_some() && Duration::from_micros(since_us) < LINGER
    }

    /// Returns once another instance is to watch. A watch whose answer was lost waits on
    /// for seconds; this one is asked about what it missed no more, and must ask itself.
    async fn relieved(&self) {
        let mut changes = self.board.changes();
        while watches(&self.board) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// One turn at the store, and the pause after it.
    pub(super) async fn follow_store(&self) {
        let began_us = now_us();
        match self.turn_at_store().await {
            Ok(changed) => {
                self.answered();
                if changed {
                    tokio::time::sleep(self.gather).await;
                }
            }
            Err(error) => self.failed(&error, began_us).await,
        }
    }

    fn answered(&self) {
        self.mirror.confirm(now_us());
        self.board.note_store(None);
        let failures = self.outage.answered();
        if failures > 0 {
            info!(event = "follow-resumed", prefix = self.prefix, failures = failures; "");
        }
    }

    pub(super) async fn failed(&self, error: &StoreError, began_us: u64) {
        self.board.note_store(Some(error.to_string()));
        let failures = self.outage.failed(began_us);
        if failures == 0 {
            let why = error.to_string();
            warn!(event = "follow-failed", prefix = self.prefix, why = why.as_str(); "");
        }
        let pause_ms = match error {
            StoreError::Unreachable(_) => UNREACHABLE_PAUSE_MS,
            StoreError::AnswerLost(_) | StoreError::Refused(_) => {
                (REFUSED_PAUSE_MS << failures.min(6)).min(REFUSED_PAUSE_MAX_MS)
            }
        };
        let jitter_ms = rand::rng().random_range(0..=pause_ms / 4);
        tokio::time::sleep(Duration::from_millis(pause_ms + jitter_ms)).await;
    }

    /// One turn at the store; tells whether it brought a change.
    ///
    /// After a failure it looks first whether the store serves this instance again: a look costs a tenth of
    /// a call that brings nothing.
    async fn turn_at_store(&self) -> Result<bool, StoreError> {
        if self.outage.lasts() {
            self.store.alive().await?;
        }
        match self.mirror.revision() {
            Some(revision) if !self.read_all.load(Ordering::Acquire) => self.watch(revision).await,
            _ => self.read_store().await,
        }
    }

    /// Reads all keys. Pages are no snapshot, so the watch goes on from before the first one.
    async fn read_store(&self) -> Result<bool, StoreError> {
        let asked_us = boot_us();
        let (items, read_at) = self.read_pages(Freshness::Latest).await?;
        self.mirror.replace(&items, read_at, self.outage.lapse_grace());
        self.mirror.prove(asked_us);
        self.read_all.store(false, Ordering::Release);
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
            items.extend(page.items.into_iter().map(|item| self.mirror.sealed(item)));
            if last {
                return Ok((items, at));
            }
        }
    }

    async fn watch(&self, revision: u64) -> Result<bool, StoreError> {
        // A store that is back answers at once; one that is not holds a call that waits for nothing
        // as long as it waits for changes.
        let wait = if self.outage.lasts() { Duration::ZERO } else { WAIT };
        let asked_us = boot_us();
        let watching = self.mirror.watching();
        let watched = tokio::select! {
            watched = self.store.events(self.prefix, revision, wait) => watched?,
            () = self.mirror.interrupted() => return Err(interrupted()),
        };
        drop(watching);
        Ok(self.take_in_watched(watched, revision, asked_us))
    }

    /// Takes in what the store answered to a watch from `revision` that was asked at `asked_us`; tells whether
    /// it brought a change.
    pub(super) fn take_in_watched(&self, watched: Watched, revision: u64, asked_us: u64) -> bool {
        match watched {
            Watched::HistoryLost => {
                self.read_all.store(true, Ordering::Release);
                false
            }
            Watched::Events { events, revision: upto } => {
                let events = events.into_iter().map(|event| self.mirror.sealed_event(event));
                let events: Vec<ItemEvent> = events.collect();
                self.mirror.apply(&events, upto.max(revision), self.outage.lapse_grace());
                self.mirror.prove(asked_us);
                !events.is_empty()
            }
        }
    }
}
