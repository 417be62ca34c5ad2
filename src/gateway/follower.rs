//! Keeps a [`Mirror`] up to date: from the platform's store, or from an instance that does so.
//!
//! Each call to the store has its price, and a change that wakes a watch on each instance costs a
//! call of each. So only the first home of a zone watches; the others ask it, and when it does not
//! know, several others at once.
//!
//! What holds a change back at most: an instance that was not certain for [`PATIENCE_PART`] of the
//! bound turns to the store itself, however its relays fail (slow, frozen, cut, turned away), unless
//! as many others as read the store say that it serves none of them either.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;
use parking_lot::Mutex;
use rand::RngExt;
use tokio::task::JoinSet;

use super::feed_source::FeedAnswer;
use super::feed_source::FeedSource;
use super::mirror::Mirror;
use super::mirror::Sink;
use super::relays::Peers;
use super::relays::all_readers;
use super::relays::near_readers;
use super::relays::place_among_readers;
use super::relays::watchers;
use super::relays::watches;
use super::store_outage::StoreOutage;
use crate::board::Blackboard;
use crate::clock::now_us;
use crate::peer::Feed;
use crate::peer::FeedReply;
use crate::store::EventStore;
use crate::store::Item;
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
/// How long another instance holds a question, and how long this one waits for the answer at most.
const HOLD: Duration = Duration::from_millis(600);
const HELD_TIMEOUT: Duration = Duration::from_millis(800);
/// How long the answer to a question that is not held may take: a whole configuration of two
/// thousand routes, compressed, takes a tenth of this over a link of 10 Mbit/s.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// The same, once more before a call to the store: who knows by now is near, and has little to tell.
const LAST_ASK_TIMEOUT: Duration = Duration::from_millis(120);
/// An instance that did not answer a held question is not asked one again for so long.
const SHUN_US: u64 = 3_000_000;
/// What another instance knows is believed when it was certain within this; above it, the store
/// may have turned that instance away while it serves this one.
pub const AGE_MAX: Duration = Duration::from_millis(900);
/// Part of the bound after which an instance that is not certain turns to the store itself; the
/// call, its connection and what is asked before it have the rest.
const PATIENCE_PART: u32 = 2;
/// Between two instances of a zone that turn to the store because no other one is certain: the
/// first that is served tells the others.
const READER_PAUSE: Duration = Duration::from_millis(60);
/// Pause before others are asked again while none is certain.
const ASK_PAUSE: Duration = Duration::from_millis(150);
/// While all who read the store say that it does not serve them, the others try it themselves only
/// as often as this: in an outage each call is paid for and brings nothing.
const OUTAGE_TRY: Duration = Duration::from_secs(5);
/// Time that an instance that starts gives others to hand it a copy, before it reads the store: on
/// a fleet that starts at once, those that come later need not read it all again.
const START_PAUSE: Duration = Duration::from_millis(60);
/// An instance that knows no other one takes itself for the one that watches. For so long after it
/// got its copy it waits for others first; a call that waits in the store is paid for like any other.
const ALONE_PAUSE: Duration = Duration::from_millis(700);
/// Instances that must say so.
const OUTAGE_WITNESSES: usize = 6;
/// How often a watching instance asks another whether it missed something.
const CROSS_CHECK_INTERVAL: Duration = Duration::from_millis(400);

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
    patience: Duration,
    outage: StoreOutage,
    /// The store lost the history, so all keys are to be read.
    read_all: AtomicBool,
    /// The instance that left a held question unanswered last, and until when it is not asked.
    shunned: Mutex<Option<(SocketAddr, u64)>>,
}

/// What asking several instances at once came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Asked {
    certain: bool,
    /// Instances that answered that they are not certain, for longer than a reader's turn takes.
    witnesses: usize,
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
        let bound_ms = bounds.map_or(0, |bounds| bounds.config_apply_ms.min(bounds.drain_ms));
        let bound = Duration::from_millis(bound_ms);
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
            shunned: Mutex::new(None),
        }
    }

    /// Follows until the process ends.
    pub async fn run(self) {
        self.first_copy().await;
        let _ = tokio::time::timeout(ALONE_PAUSE, self.others_there()).await;
        loop {
            if watches(&self.board) {
                tokio::select! {
                    () = self.follow_store() => {}
                    () = self.relieved() => {}
                }
            } else {
                self.learn_from_others().await;
            }
        }
    }

    /// Gets a first copy: from the store or from another instance, whichever answers first.
    ///
    /// An instance that restarts while the store does not answer would otherwise be a home again
    /// at once, by its name, and refuse all of its zone's callers for want of a configuration that
    /// each of its neighbours has.
    async fn first_copy(&self) {
        let _ = tokio::time::timeout(START_PAUSE, self.others_know()).await;
        while self.mirror.revision().is_none() {
            tokio::select! {
                () = self.follow_store() => {}
                () = self.others_know() => {}
            }
        }
    }

    /// Returns once another instance is known.
    async fn others_there(&self) {
        let mut changes = self.board.changes();
        while self.board.members_view().serving() <= 1 {
            // Ends only with the board, which outlives its controllers.
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns once another instance has told what it knows, however old.
    async fn others_know(&self) {
        let mut changes = self.board.changes();
        while self.mirror.revision().is_none() {
            if self.board.members_view().serving() > 1 {
                self.ask_all(near_readers(&self.board), ASK_TIMEOUT).await;
            }
            // Another try once others are heard of, or after a while.
            let _ = tokio::time::timeout(CROSS_CHECK_INTERVAL, changes.changed()).await;
        }
    }

    /// Returns once another instance of the zone is to watch. A watch whose answer was lost waits on
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
    async fn follow_store(&self) {
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

    /// Learns from other instances what there is, or takes the next step towards the store.
    async fn learn_from_others(&self) {
        if self.ask_held().await {
            return;
        }
        match place_among_readers(&self.board) {
            Some(place) => self.stand_in(place).await,
            None => self.wait_for_readers().await,
        }
    }

    /// Reads the store in place of those that watch it, until another instance is certain.
    ///
    /// The store may turn some instances away and serve the others: those that watch may all be
    /// among the former, and know nothing of what changes.
    async fn stand_in(&self, place: usize) {
        if self.ask_all(near_readers(&self.board), ASK_TIMEOUT).await.certain {
            return;
        }
        let place = u32::try_from(place).unwrap_or(u32::MAX);
        tokio::time::sleep(READER_PAUSE * place).await;
        if self.ask_all(near_readers(&self.board), LAST_ASK_TIMEOUT).await.certain {
            return;
        }
        self.try_store().await;
    }

    /// Waits for an instance that reads the store to become certain; turns to the store itself when
    /// that takes too long.
    async fn wait_for_readers(&self) {
        let asked = self.ask_all(all_readers(&self.board), ASK_TIMEOUT).await;
        if asked.certain {
            return;
        }
        let age = self.mirror.age();
        // Where the store serves nobody there is nothing to learn, and no bound runs.
        let outage = asked.witnesses >= OUTAGE_WITNESSES;
        let due = if outage {
            age.min(self.outage.since_failure()) >= OUTAGE_TRY
        } else {
            age >= self.patience
        };
        if !due {
            return tokio::time::sleep(ASK_PAUSE).await;
        }
        info!(
            event = "relays-uncertain", prefix = self.prefix, age_ms = age.as_millis(),
            witnesses = asked.witnesses;
            "asks the store itself"
        );
        self.try_store().await;
    }

    /// One turn at the store, unless another instance is certain before it ends: a store that is
    /// slow to answer must not keep this one from hearing what others know already.
    async fn try_store(&self) {
        tokio::select! {
            () = self.follow_store() => {}
            () = self.others_certain() => {}
        }
    }

    /// Returns once another instance is certain again.
    async fn others_certain(&self) {
        loop {
            tokio::time::sleep(CROSS_CHECK_INTERVAL).await;
            if self.ask_all(near_readers(&self.board), ASK_TIMEOUT).await.certain {
                return;
            }
        }
    }

    /// Asks a watching instance, which answers when there is news; `false` when it is not certain
    /// or does not answer.
    async fn ask_held(&self) -> bool {
        let watchers = watchers(&self.board);
        let Some(peer) = watchers.iter().copied().find(|peer| !self.shuns(*peer)) else {
            return false;
        };
        // The bound runs while this one waits: it must not wait past its patience.
        let within = HELD_TIMEOUT.min(self.patience.saturating_sub(self.mirror.age()));
        let after = self.mirror.revision();
        let answer = self.peers.ask(peer, self.feed, after, HOLD, within).await;
        let Some(answer) = answer else {
            *self.shunned.lock() = Some((peer, now_us() + SHUN_US));
            return false;
        };
        self.take_in(answer)
    }

    fn shuns(&self, peer: SocketAddr) -> bool {
        self.shunned
            .lock()
            .is_some_and(|(shunned, until_us)| shunned == peer && now_us() < until_us)
    }

    /// Asks several instances at once, so that those that do not answer cost no time; returns with
    /// the first that is certain.
    async fn ask_all(&self, peers: Peers, within: Duration) -> Asked {
        let mut asked = Asked::default();
        let mut asking = JoinSet::new();
        for peer in peers {
            let (source, feed, after) = (self.peers.clone(), self.feed, self.mirror.revision());
            asking
                .spawn(async move { source.ask(peer, feed, after, Duration::ZERO, within).await });
        }
        while let Some(answer) = asking.join_next().await {
            let Ok(Some(answer)) = answer else {
                continue;
            };
            let age = answer.age;
            if self.take_in(answer) {
                asked.certain = true;
                return asked;
            }
            if age > AGE_MAX + READER_PAUSE {
                asked.witnesses += 1;
            }
        }
        asked
    }

    /// Takes in what another instance told; whether that one is certain.
    fn take_in(&self, answer: FeedAnswer) -> bool {
        let grace = self.outage.lapse_grace();
        match answer.reply {
            FeedReply::Events { events, revision } => self.mirror.apply(&events, revision, grace),
            FeedReply::All { items, revision } => self.mirror.replace(&items, revision, grace),
            FeedReply::Unknown => return false,
        }
        let age_us = u64::try_from(answer.age.as_micros()).unwrap_or(u64::MAX);
        self.mirror.confirm(now_us().saturating_sub(age_us));
        answer.age <= AGE_MAX
    }

    fn answered(&self) {
        self.mirror.confirm(now_us());
        self.board.note_store(None);
        let failures = self.outage.answered();
        if failures > 0 {
            info!(event = "follow-resumed", prefix = self.prefix, failures = failures; "");
        }
    }

    async fn failed(&self, error: &StoreError, began_us: u64) {
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
    async fn turn_at_store(&self) -> Result<bool, StoreError> {
        match self.mirror.revision() {
            Some(revision) if !self.read_all.load(Ordering::Acquire) => self.watch(revision).await,
            _ => self.read_store().await,
        }
    }

    /// Reads all keys. Pages are no snapshot, so the watch goes on from before the first one.
    async fn read_store(&self) -> Result<bool, StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut read_at = None;
        loop {
            let after = items.last().map(|item| item.key.clone());
            let page = self.store.page(self.prefix, after.as_deref()).await?;
            let at = *read_at.get_or_insert(page.revision);
            let last = !page.more || page.items.is_empty();
            items.extend(page.items);
            if last {
                self.mirror.replace(&items, at, self.outage.lapse_grace());
                self.read_all.store(false, Ordering::Release);
                return Ok(false);
            }
        }
    }

    async fn watch(&self, revision: u64) -> Result<bool, StoreError> {
        // A store that is back answers at once; one that is not holds a call that waits for nothing
        // as long as it waits for changes.
        let wait = if self.outage.lasts() { Duration::ZERO } else { WAIT };
        let watching = self.mirror.watching();
        let watched = tokio::select! {
            watched = self.store.events(self.prefix, revision, wait) => watched?,
            () = self.mirror.interrupted() => return Err(interrupted()),
        };
        drop(watching);
        match watched {
            Watched::HistoryLost => {
                self.read_all.store(true, Ordering::Release);
                Ok(false)
            }
            Watched::Events { events, revision: upto } => {
                self.mirror.apply(&events, upto.max(revision), self.outage.lapse_grace());
                Ok(!events.is_empty())
            }
        }
    }

    /// Asks other watching instances now and then, until the process ends.
    ///
    /// A watch whose connection went silent, or that the store turns away, hides changes from a
    /// whole zone: everyone there relies on this instance. Several are asked, since those that the
    /// store turns away as well answer too, with what they know.
    pub async fn cross_check(self) {
        loop {
            tokio::time::sleep(CROSS_CHECK_INTERVAL).await;
            if watches(&self.board) && self.mirror.revision().is_some() {
                self.check_once().await;
            }
        }
    }

    async fn check_once(&self) {
        let one = watchers(&self.board).into_iter().take(1).collect();
        if !self.ask_all(one, ASK_TIMEOUT).await.certain || self.mirror.age() > AGE_MAX {
            self.ask_all(near_readers(&self.board), ASK_TIMEOUT).await;
        }
    }
}
