//! How a follower syncs from other instances, and when it falls back to the store.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use rand::seq::SliceRandom;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::feed_source::FeedAnswer;
use super::feed_source::FeedSource;
use super::follower::Follower;
use super::mirror_age::FRESH_AGE_MAX;
use super::mirror_sink::Sink;
use super::relays::PeerAddresses;
use super::relays::all_readers;
use super::relays::fallback_peers;
use super::relays::is_watcher;
use super::relays::reader_index;
use super::relays::relay_addresses;
use super::server_list_holders::holds_server_list;
use crate::clock::now_us;
use crate::peer::Feed;
use crate::peer::FeedReply;
use crate::peer::zone_hash;
use crate::store::EventStore;

/// How long a peer may hold a request until there are changes.
const HOLD_TIME: Duration = Duration::from_millis(600);
/// The hold time for requests of a zone's first home, on which the whole zone relies. What it
/// receives may be 0.4 s old already; with [`HOLD_TIME`] its mirror would stop being fresh before
/// the next answer, which made 500 instances poll all readers for seconds.
const FIRST_HOME_HOLD_TIME: Duration = Duration::from_millis(200);
/// Timeout of a held request.
const HELD_REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a request that is not held. A configuration of two thousand routes, compressed, takes
/// a tenth of this over a 10 Mbit/s link.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of the last poll of peers before a store call. A peer that is fresh by then is nearby
/// and has few changes to send.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(120);
/// How long a relay is skipped after it did not answer a held request.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(3);
/// How long a relay is skipped when its mirror is not fresh; a relay cross-checks at this interval.
const STALE_COOLDOWN: Duration = CROSS_CHECK_INTERVAL;
/// Delay between the readers of a zone that call the store because no peer is fresh. The first one
/// that the store serves passes the changes on.
const READER_STAGGER: Duration = Duration::from_millis(60);
/// Pause before the readers are polled again, whether or not one was fresh. Without it, a relay
/// that was not fresh made every instance of its zone poll all readers in a loop: hundreds of
/// requests per second each, which overloaded large zones.
const POLL_PAUSE: Duration = Duration::from_millis(150);
/// Interval of store calls by instances that are not readers, while the readers report that the
/// store serves none of them: calls during an outage are paid for and bring nothing.
const OUTAGE_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Number of stale peers at which a store outage is assumed.
const OUTAGE_STALE_PEERS: usize = 6;
/// How long an instance uses a sample of the servers while no other instance answers. If many fail at
/// once, the rest agree on new relays well within this time, and must serve their callers until then.
const ISOLATED_MAX: Duration = Duration::from_secs(5);
/// Interval at which a watcher asks another instance for changes that it may have missed.
const CROSS_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// The result of polling several instances at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PollResult {
    /// Whether a peer was fresh.
    fresh: bool,
    /// Peers whose mirror has been stale for longer than a reader's turn at the store takes.
    stale_peers: usize,
}

impl<S: EventStore, K: Sink, P: FeedSource> Follower<S, K, P> {
    /// Returns when another instance is known; at once if there are no seeds to find one by.
    pub(super) async fn wait_for_any_peer(&self) {
        if self.board.settings.peers.seeds.is_empty() {
            return;
        }
        let mut changes = self.board.subscribe_changes();
        while self.board.members_view().running_count() <= 1 {
            // An error means that the board was dropped, which outlives all controllers.
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Syncs from other instances, or moves one step closer to calling the store.
    pub(super) async fn sync_from_peers(&self) {
        if self.long_poll_relays(self.feed).await {
            return;
        }
        let others_fresh = match reader_index(&self.board) {
            Some(index) => self.sync_as_reader(index).await,
            None => self.sync_from_readers().await,
        };
        if others_fresh {
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }

    /// Calls the store as a reader unless a peer is fresh; returns whether one was.
    ///
    /// The store may reject some instances while it serves others. If it rejects all watchers, no
    /// relay learns of any change.
    async fn sync_as_reader(&self, index: usize) -> bool {
        if self.poll_peers(self.feed, fallback_peers(&self.board), REQUEST_TIMEOUT).await.fresh {
            return true;
        }
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        tokio::time::sleep(READER_STAGGER * index).await;
        if self.poll_peers(self.feed, fallback_peers(&self.board), LAST_REQUEST_TIMEOUT).await.fresh
        {
            return true;
        }
        self.sync_from_store_or_peers().await;
        false
    }

    /// Polls the readers until one is fresh and returns whether one was; calls the store itself
    /// once the mirror is too old.
    async fn sync_from_readers(&self) -> bool {
        let polled = self.poll_peers(self.feed, all_readers(&self.board), REQUEST_TIMEOUT).await;
        if polled.fresh {
            return true;
        }
        let age = self.mirror.age();
        // During an outage nobody has newer data, so the time limit for changes does not apply.
        let outage = polled.stale_peers >= OUTAGE_STALE_PEERS;
        let due = if outage {
            age.min(self.outage.time_since_failure()) >= OUTAGE_RETRY_INTERVAL
        } else {
            age >= self.stale_max
        };
        if !due {
            tokio::time::sleep(POLL_PAUSE).await;
            return false;
        }
        info!(
            event = "relays-uncertain", prefix = self.prefix, age_ms = age.as_millis(),
            witnesses = polled.stale_peers;
            "no peer is fresh: calling the store"
        );
        if outage {
            self.outage.assume_ongoing();
        }
        self.sync_from_store_or_peers().await;
        false
    }

    /// Syncs once from the store, or stops early when a peer becomes fresh: a slow store must not
    /// delay what peers already know.
    async fn sync_from_store_or_peers(&self) {
        tokio::select! {
            () = self.sync_from_store() => {}
            () = self.wait_for_fresh_peer() => {}
        }
    }

    /// Returns when a peer is fresh again.
    async fn wait_for_fresh_peer(&self) {
        loop {
            tokio::time::sleep(CROSS_CHECK_INTERVAL).await;
            if self.poll_peers(self.feed, fallback_peers(&self.board), REQUEST_TIMEOUT).await.fresh
            {
                return;
            }
        }
    }

    /// Keeps a sample of the servers in sync while this instance does not hold the full list. It
    /// never calls the store: once no peer has answered for [`ISOLATED_MAX`], it drops all servers.
    pub(super) async fn sync_sample(&self) {
        let zone = zone_hash(&self.board.settings.instance.zone);
        let feed = Feed::SomeServers { zone };
        if self.long_poll_relays(feed).await {
            return;
        }
        self.poll_peers(feed, fallback_peers(&self.board), REQUEST_TIMEOUT).await;
        // Peers that answer and are not fresh report a store outage, in which no server leaves.
        let silent_us = now_us().saturating_sub(self.last_answer_us.load(Ordering::Acquire));
        if Duration::from_micros(silent_us) >= ISOLATED_MAX && self.mirror.clear() > 0 {
            info!(
                event = "copy-dropped", prefix = self.prefix, silent_ms = silent_us / 1000;
                "no peer answers: which servers still exist is not known"
            );
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }

    /// Long-polls a relay; a relay that is not fresh answers at once, and the next one is tried.
    /// Returns `false` if none is fresh or one does not answer.
    async fn long_poll_relays(&self, feed: Feed) -> bool {
        let hold =
            if reader_index(&self.board) == Some(0) { FIRST_HOME_HOLD_TIME } else { HOLD_TIME };
        while let Some(peer) = self.pick_relay() {
            // The mirror ages while the request is held, so the request must end before
            // `stale_max`.
            let timeout =
                HELD_REQUEST_TIMEOUT.min(self.stale_max.saturating_sub(self.mirror.age()));
            if timeout < LAST_REQUEST_TIMEOUT {
                // A timeout this short says nothing about the relay.
                return false;
            }
            let after = self.mirror.revision();
            let started = Instant::now();
            let answer = match self.peers.ask(peer, feed, after, hold, timeout).await {
                Ok(answer) => answer,
                Err(error) => {
                    if error.is_connection_lost(started.elapsed(), timeout) {
                        self.board.record_failed_call(peer);
                    }
                    self.relay_cooldowns.lock().start(peer, UNRESPONSIVE_COOLDOWN);
                    return false;
                }
            };
            if self.apply_answer(answer) {
                return true;
            }
            self.relay_cooldowns.lock().start(peer, STALE_COOLDOWN);
        }
        false
    }

    /// Returns the first home of the zone or, while that is in cooldown, a random other relay, so
    /// that the instances of a zone do not all switch to the same one.
    fn pick_relay(&self) -> Option<SocketAddr> {
        let relays = relay_addresses(&self.board);
        let cooldowns = self.relay_cooldowns.lock();
        let available = relays.iter().copied().filter(|peer| !cooldowns.is_active(*peer));
        let mut available: PeerAddresses = available.collect();
        if available.first() != relays.first() {
            available.shuffle(&mut rand::rng());
        }
        available.first().copied()
    }

    /// Polls several instances in parallel, so that unresponsive ones cost no time; returns at the
    /// first fresh one.
    async fn poll_peers(&self, feed: Feed, peers: PeerAddresses, timeout: Duration) -> PollResult {
        let mut polled = PollResult::default();
        let mut requests = JoinSet::new();
        for peer in peers {
            let (source, after) = (self.peers.clone(), self.mirror.revision());
            requests
                .spawn(async move { source.ask(peer, feed, after, Duration::ZERO, timeout).await });
        }
        while let Some(answer) = requests.join_next().await {
            let Ok(Ok(answer)) = answer else {
                continue;
            };
            let age = answer.age;
            if self.apply_answer(answer) {
                polled.fresh = true;
                return polled;
            }
            if age > FRESH_AGE_MAX + READER_STAGGER {
                polled.stale_peers += 1;
            }
        }
        polled
    }

    /// Applies a peer's answer; returns whether the peer's mirror is fresh.
    pub(super) fn apply_answer(&self, answer: FeedAnswer) -> bool {
        self.last_answer_us.store(now_us(), Ordering::Release);
        self.log_advance(&answer);
        let upto = match answer.reply {
            FeedReply::Events { events, revision } => {
                self.board.record_store_era(revision.era);
                self.mirror.apply(&events, revision, self.expiry_grace());
                revision
            }
            FeedReply::Snapshot { items, revision } => {
                self.board.record_store_era(revision.era);
                self.mirror.replace(&items, revision, self.missing_key_grace());
                revision
            }
            FeedReply::Unknown => return false,
        };
        // What the peer had confirmed or proved before the store was restored says nothing of now.
        if self.board.store_era.latest() > Some(upto.era) {
            return false;
        }
        // Instances that hold the server list compute the demand themselves.
        if self.feed == Feed::Config
            && answer.zone_demand_per_s > 0
            && !holds_server_list(&self.board)
        {
            self.board.set_zone_demand_per_s(answer.zone_demand_per_s);
        }
        if let Some(proved_us) = answer.proved_us {
            self.record_proof(proved_us);
        }
        let age_us = u64::try_from(answer.age.as_micros()).unwrap_or(u64::MAX);
        self.mirror.record_confirmation(now_us().saturating_sub(age_us));
        answer.age <= FRESH_AGE_MAX
    }

    /// Logs an answer that takes the mirror to a later revision.
    fn log_advance(&self, answer: &FeedAnswer) {
        let (kind, changes, upto) = match &answer.reply {
            FeedReply::Events { events, revision } => ("events", events.len(), *revision),
            FeedReply::Snapshot { items, revision } => ("snapshot", items.len(), *revision),
            FeedReply::Unknown => return,
        };
        let known = self.mirror.revision();
        if known >= Some(upto) {
            return;
        }
        info!(
            event = "peer-answer-applied", prefix = self.prefix, kind = kind, changes = changes,
            known_revision = known.map(|known| known.number), revision = upto.number,
            age_ms = answer.age.as_millis();
            "a peer took the copy to a later revision"
        );
    }

    /// Cross-checks with other watchers periodically, until the process ends.
    ///
    /// A watch whose connection went silent, or that the store rejects, would hide changes from the
    /// whole zone, which relies on this instance. If the first answer is not fresh, several
    /// instances are asked, since watchers that the store rejects answer too, with stale data.
    pub async fn cross_check(self) {
        loop {
            tokio::time::sleep(CROSS_CHECK_INTERVAL).await;
            if is_watcher(&self.board) && self.mirror.revision().is_some() {
                self.cross_check_once().await;
                self.prove_if_due().await;
            }
        }
    }

    /// Asks one relay, and more peers if the mirror is still not fresh.
    async fn cross_check_once(&self) {
        let one = relay_addresses(&self.board).into_iter().take(1).collect();
        if !self.poll_peers(self.feed, one, REQUEST_TIMEOUT).await.fresh
            || self.mirror.age() > FRESH_AGE_MAX
        {
            self.poll_peers(self.feed, fallback_peers(&self.board), REQUEST_TIMEOUT).await;
        }
    }
}
