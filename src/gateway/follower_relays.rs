//! What a follower learns from other instances, and when it turns to the store instead.

use std::net::SocketAddr;
use std::time::Duration;

use log::info;
use rand::seq::SliceRandom;
use tokio::task::JoinSet;

use super::feed_source::FeedAnswer;
use super::feed_source::FeedSource;
use super::follower::FRESH_AGE_MAX;
use super::follower::Follower;
use super::mirror::Sink;
use super::relays::PeerAddresses;
use super::relays::all_readers;
use super::relays::is_watcher;
use super::relays::reader_index;
use super::relays::relay_addresses;
use super::relays::zone_readers_and_watchers;
use super::server_list_holders::holds_server_list;
use crate::clock::now_us;
use crate::peer::Feed;
use crate::peer::FeedReply;
use crate::peer::zone_hash;
use crate::store::EventStore;

/// How long another instance holds a question, and how long this one waits for the answer at most.
const HOLD_TIME: Duration = Duration::from_millis(600);
/// The same for the first home of a zone, on which the zone relies: what it hears may be 0.4 s old
/// already, and held for as long as others it would pass for uncertain before the next answer; 500
/// instances then asked all readers for seconds.
const FIRST_HOME_HOLD_TIME: Duration = Duration::from_millis(200);
const HELD_REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// How long the answer to a question that is not held may take: a whole configuration of two
/// thousand routes, compressed, takes a tenth of this over a link of 10 Mbit/s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// The same, once more before a call to the store: who knows by now is near, and has little to tell.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(120);
/// An instance that did not answer a held question is not asked one again for so long.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(3);
/// The same for one that is not certain: it asks others itself as often as this.
const STALE_COOLDOWN: Duration = CROSS_CHECK_INTERVAL;
/// Between two instances of a zone that turn to the store because no other one is certain: the
/// first that is served tells the others.
const READER_STAGGER: Duration = Duration::from_millis(60);
/// Pause before all readers are asked again, whether one was certain or not. Without it a relay that was
/// not certain set each instance of its zone asking all of them in a loop: hundreds of questions a
/// second from each, in which a large zone's answers drown.
const POLL_PAUSE: Duration = Duration::from_millis(150);
/// While all who read the store say that it does not serve them, the others try it themselves only
/// as often as this: in an outage each call is paid for and brings nothing.
const OUTAGE_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Instances that must say so.
const OUTAGE_STALE_PEERS: usize = 6;
/// How often a watching instance asks another whether it missed something.
const CROSS_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// What asking several instances at once came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PollResult {
    fresh: bool,
    /// Instances that answered that they are not certain, for longer than a reader's turn takes.
    stale_peers: usize,
}

impl<S: EventStore, K: Sink, P: FeedSource> Follower<S, K, P> {
    /// Returns once another instance is known, at once where none can be found.
    pub(super) async fn wait_for_any_peer(&self) {
        if self.board.settings.peers.seeds.is_empty() {
            return;
        }
        let mut changes = self.board.changes();
        while self.board.members_view().serving() <= 1 {
            // Ends only with the board, which outlives its controllers.
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Learns from other instances what there is, or takes the next step towards the store.
    pub(super) async fn sync_from_peers(&self) {
        if self.long_poll_relays(self.feed).await {
            return;
        }
        let others_fresh = match reader_index(&self.board) {
            Some(place) => self.sync_as_reader(place).await,
            None => self.sync_from_readers().await,
        };
        if others_fresh {
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }

    /// Reads the store in place of those that watch it, unless another instance is certain, which it
    /// tells.
    ///
    /// The store may turn some instances away and serve the others: those that watch may all be
    /// among the former, and know nothing of what changes.
    async fn sync_as_reader(&self, place: usize) -> bool {
        if self
            .poll_peers(self.feed, zone_readers_and_watchers(&self.board), REQUEST_TIMEOUT)
            .await
            .fresh
        {
            return true;
        }
        let place = u32::try_from(place).unwrap_or(u32::MAX);
        tokio::time::sleep(READER_STAGGER * place).await;
        if self
            .poll_peers(self.feed, zone_readers_and_watchers(&self.board), LAST_REQUEST_TIMEOUT)
            .await
            .fresh
        {
            return true;
        }
        self.sync_from_store_or_peers().await;
        false
    }

    /// Waits for an instance that reads the store to become certain, and tells whether one is; turns to
    /// the store itself when that takes too long.
    async fn sync_from_readers(&self) -> bool {
        let asked = self.poll_peers(self.feed, all_readers(&self.board), REQUEST_TIMEOUT).await;
        if asked.fresh {
            return true;
        }
        let age = self.mirror.age();
        // Where the store serves nobody there is nothing to learn, and no bound runs.
        let outage = asked.stale_peers >= OUTAGE_STALE_PEERS;
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
            witnesses = asked.stale_peers;
            "asks the store itself"
        );
        if outage {
            self.outage.assume_ongoing();
        }
        self.sync_from_store_or_peers().await;
        false
    }

    /// One turn at the store, unless another instance is certain before it ends: a store that is
    /// slow to answer must not keep this one from hearing what others know already.
    async fn sync_from_store_or_peers(&self) {
        tokio::select! {
            () = self.sync_from_store() => {}
            () = self.wait_for_fresh_peer() => {}
        }
    }

    /// Returns once another instance is certain again.
    async fn wait_for_fresh_peer(&self) {
        loop {
            tokio::time::sleep(CROSS_CHECK_INTERVAL).await;
            if self
                .poll_peers(self.feed, zone_readers_and_watchers(&self.board), REQUEST_TIMEOUT)
                .await
                .fresh
            {
                return;
            }
        }
    }

    /// Keeps a sample of the servers up to date while this instance is no home. It never reads the store for
    /// that: when nobody is certain for as long as a server that leaves may be used, it uses none.
    pub(super) async fn sync_sample(&self) {
        let zone = zone_hash(&self.board.settings.instance.zone);
        let feed = Feed::SomeServers { zone };
        if self.long_poll_relays(feed).await {
            return;
        }
        let asked =
            self.poll_peers(feed, zone_readers_and_watchers(&self.board), REQUEST_TIMEOUT).await;
        if !asked.fresh && self.mirror.age() >= self.stale_max {
            self.mirror.replace(&[], self.mirror.revision().unwrap_or(0), Duration::ZERO);
            self.mirror.reset(false);
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }

    /// Asks a relay, which answers when there is news. One that is not certain answers at once, and
    /// the next is asked; `false` when none is certain or one does not answer.
    async fn long_poll_relays(&self, feed: Feed) -> bool {
        let hold =
            if reader_index(&self.board) == Some(0) { FIRST_HOME_HOLD_TIME } else { HOLD_TIME };
        while let Some(peer) = self.pick_relay() {
            // The bound runs while this one waits: it must not wait past its patience.
            let within = HELD_REQUEST_TIMEOUT.min(self.stale_max.saturating_sub(self.mirror.age()));
            if within < LAST_REQUEST_TIMEOUT {
                // Too short to say anything of the one that is asked.
                return false;
            }
            let after = self.mirror.revision();
            let Some(answer) = self.peers.ask(peer, feed, after, hold, within).await else {
                self.relay_cooldowns.lock().start(peer, UNRESPONSIVE_COOLDOWN);
                return false;
            };
            if self.apply_answer(answer) {
                return true;
            }
            self.relay_cooldowns.lock().start(peer, STALE_COOLDOWN);
        }
        false
    }

    /// The first home of the zone; while that is shunned, any other relay, so that those of a zone do not
    /// all turn to the same one.
    fn pick_relay(&self) -> Option<SocketAddr> {
        let relays = relay_addresses(&self.board);
        let shunned = self.relay_cooldowns.lock();
        let open = relays.iter().copied().filter(|peer| !shunned.is_active(*peer));
        let mut open: PeerAddresses = open.collect();
        if open.first() != relays.first() {
            open.shuffle(&mut rand::rng());
        }
        open.first().copied()
    }

    /// Asks several instances at once, so that those that do not answer cost no time; returns with
    /// the first that is certain.
    async fn poll_peers(&self, feed: Feed, peers: PeerAddresses, within: Duration) -> PollResult {
        let mut asked = PollResult::default();
        let mut asking = JoinSet::new();
        for peer in peers {
            let (source, after) = (self.peers.clone(), self.mirror.revision());
            asking
                .spawn(async move { source.ask(peer, feed, after, Duration::ZERO, within).await });
        }
        while let Some(answer) = asking.join_next().await {
            let Ok(Some(answer)) = answer else {
                continue;
            };
            let age = answer.age;
            if self.apply_answer(answer) {
                asked.fresh = true;
                return asked;
            }
            if age > FRESH_AGE_MAX + READER_STAGGER {
                asked.stale_peers += 1;
            }
        }
        asked
    }

    /// Takes in what another instance told; whether that one is certain.
    pub(super) fn apply_answer(&self, answer: FeedAnswer) -> bool {
        let grace = self.outage.expiry_grace();
        match answer.reply {
            FeedReply::Events { events, revision } => self.mirror.apply(&events, revision, grace),
            FeedReply::All { items, revision } => self.mirror.replace(&items, revision, grace),
            FeedReply::Unknown => return false,
        }
        // Who holds the servers works it out itself.
        if self.feed == Feed::Config
            && answer.zone_demand_per_s > 0
            && !holds_server_list(&self.board)
        {
            self.board.set_zone_demand_per_s(answer.zone_demand_per_s);
        }
        if let Some(proved_us) = answer.proved_us {
            self.mirror.record_proof(proved_us);
        }
        let age_us = u64::try_from(answer.age.as_micros()).unwrap_or(u64::MAX);
        self.mirror.record_confirmation(now_us().saturating_sub(age_us));
        answer.age <= FRESH_AGE_MAX
    }

    /// Asks other watching instances now and then, until the process ends.
    ///
    /// A watch whose connection went silent, or that the store turns away, hides changes from a
    /// whole zone: everyone there relies on this instance. Several are asked, since those that the
    /// store turns away as well answer too, with what they know.
    pub async fn cross_check(self) {
        loop {
            tokio::time::sleep(CROSS_CHECK_INTERVAL).await;
            if is_watcher(&self.board) && self.mirror.revision().is_some() {
                self.cross_check_once().await;
                self.prove_if_due().await;
            }
        }
    }

    async fn cross_check_once(&self) {
        let one = relay_addresses(&self.board).into_iter().take(1).collect();
        if !self.poll_peers(self.feed, one, REQUEST_TIMEOUT).await.fresh
            || self.mirror.age() > FRESH_AGE_MAX
        {
            self.poll_peers(self.feed, zone_readers_and_watchers(&self.board), REQUEST_TIMEOUT)
                .await;
        }
    }
}
