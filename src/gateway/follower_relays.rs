//! What a follower learns from other instances, and when it turns to the store instead.

use std::net::SocketAddr;
use std::time::Duration;

use log::info;
use rand::seq::SliceRandom;
use tokio::task::JoinSet;

use super::feed_source::FeedAnswer;
use super::feed_source::FeedSource;
use super::follower::AGE_MAX;
use super::follower::Follower;
use super::holders::holds_servers;
use super::mirror::Sink;
use super::relays::Peers;
use super::relays::all_readers;
use super::relays::near_readers;
use super::relays::place_among_readers;
use super::relays::relays;
use super::relays::watches;
use crate::clock::now_us;
use crate::peer::Feed;
use crate::peer::FeedReply;
use crate::peer::zone_hash;
use crate::store::EventStore;

/// How long another instance holds a question, and how long this one waits for the answer at most.
const HOLD: Duration = Duration::from_millis(600);
/// The same for the first home of a zone, on which the zone relies: what it hears may be 0.4 s old
/// already, and held for as long as others it would pass for uncertain before the next answer; 500
/// instances then asked all readers for seconds.
const RELAY_HOLD: Duration = Duration::from_millis(200);
const HELD_TIMEOUT: Duration = Duration::from_millis(800);
/// How long the answer to a question that is not held may take: a whole configuration of two
/// thousand routes, compressed, takes a tenth of this over a link of 10 Mbit/s.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// The same, once more before a call to the store: who knows by now is near, and has little to tell.
const LAST_ASK_TIMEOUT: Duration = Duration::from_millis(120);
/// An instance that did not answer a held question is not asked one again for so long.
const SILENT_SHUN: Duration = Duration::from_secs(3);
/// The same for one that is not certain: it asks others itself as often as this.
const UNCERTAIN_SHUN: Duration = CROSS_CHECK_INTERVAL;
/// Between two instances of a zone that turn to the store because no other one is certain: the
/// first that is served tells the others.
const READER_PAUSE: Duration = Duration::from_millis(60);
/// Pause before all readers are asked again, whether one was certain or not. Without it a relay that was
/// not certain set each instance of its zone asking all of them in a loop: hundreds of questions a
/// second from each, in which a large zone's answers drown.
const ASK_PAUSE: Duration = Duration::from_millis(150);
/// While all who read the store say that it does not serve them, the others try it themselves only
/// as often as this: in an outage each call is paid for and brings nothing.
const OUTAGE_TRY: Duration = Duration::from_secs(5);
/// Instances that must say so.
const OUTAGE_WITNESSES: usize = 6;
/// How often a watching instance asks another whether it missed something.
const CROSS_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// What asking several instances at once came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Asked {
    certain: bool,
    /// Instances that answered that they are not certain, for longer than a reader's turn takes.
    witnesses: usize,
}

impl<S: EventStore, K: Sink, P: FeedSource> Follower<S, K, P> {
    /// Returns once another instance is known, at once where none can be found.
    pub(super) async fn others_there(&self) {
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
    pub(super) async fn learn_from_others(&self) {
        if self.ask_held(self.feed).await {
            return;
        }
        let others_certain = match place_among_readers(&self.board) {
            Some(place) => self.stand_in(place).await,
            None => self.wait_for_readers().await,
        };
        if others_certain {
            tokio::time::sleep(ASK_PAUSE).await;
        }
    }

    /// Reads the store in place of those that watch it, unless another instance is certain, which it
    /// tells.
    ///
    /// The store may turn some instances away and serve the others: those that watch may all be
    /// among the former, and know nothing of what changes.
    async fn stand_in(&self, place: usize) -> bool {
        if self.ask_all(self.feed, near_readers(&self.board), ASK_TIMEOUT).await.certain {
            return true;
        }
        let place = u32::try_from(place).unwrap_or(u32::MAX);
        tokio::time::sleep(READER_PAUSE * place).await;
        if self.ask_all(self.feed, near_readers(&self.board), LAST_ASK_TIMEOUT).await.certain {
            return true;
        }
        self.try_store().await;
        false
    }

    /// Waits for an instance that reads the store to become certain, and tells whether one is; turns to
    /// the store itself when that takes too long.
    async fn wait_for_readers(&self) -> bool {
        let asked = self.ask_all(self.feed, all_readers(&self.board), ASK_TIMEOUT).await;
        if asked.certain {
            return true;
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
            tokio::time::sleep(ASK_PAUSE).await;
            return false;
        }
        info!(
            event = "relays-uncertain", prefix = self.prefix, age_ms = age.as_millis(),
            witnesses = asked.witnesses;
            "asks the store itself"
        );
        if outage {
            self.outage.presume();
        }
        self.try_store().await;
        false
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
            if self.ask_all(self.feed, near_readers(&self.board), ASK_TIMEOUT).await.certain {
                return;
            }
        }
    }

    /// Keeps a sample of the servers up to date while this instance is no home. It never reads the store for
    /// that: when nobody is certain for as long as a server that leaves may be used, it uses none.
    pub(super) async fn follow_sample(&self) {
        let zone = zone_hash(&self.board.settings.instance.zone);
        let feed = Feed::SomeServers { zone };
        if self.ask_held(feed).await {
            return;
        }
        let asked = self.ask_all(feed, near_readers(&self.board), ASK_TIMEOUT).await;
        if !asked.certain && self.mirror.age() >= self.patience {
            self.mirror.replace(&[], self.mirror.revision().unwrap_or(0), Duration::ZERO);
            self.mirror.begin_anew(false);
        }
        tokio::time::sleep(ASK_PAUSE).await;
    }

    /// Asks a relay, which answers when there is news. One that is not certain answers at once, and
    /// the next is asked; `false` when none is certain or one does not answer.
    async fn ask_held(&self, feed: Feed) -> bool {
        let hold = if place_among_readers(&self.board) == Some(0) { RELAY_HOLD } else { HOLD };
        while let Some(peer) = self.next_relay() {
            // The bound runs while this one waits: it must not wait past its patience.
            let within = HELD_TIMEOUT.min(self.patience.saturating_sub(self.mirror.age()));
            if within < LAST_ASK_TIMEOUT {
                // Too short to say anything of the one that is asked.
                return false;
            }
            let after = self.mirror.revision();
            let Some(answer) = self.peers.ask(peer, feed, after, hold, within).await else {
                self.shunned.lock().start(peer, SILENT_SHUN);
                return false;
            };
            if self.take_in(answer) {
                return true;
            }
            self.shunned.lock().start(peer, UNCERTAIN_SHUN);
        }
        false
    }

    /// The first home of the zone; while that is shunned, any other relay, so that those of a zone do not
    /// all turn to the same one.
    fn next_relay(&self) -> Option<SocketAddr> {
        let relays = relays(&self.board);
        let shunned = self.shunned.lock();
        let open = relays.iter().copied().filter(|peer| !shunned.is_active(*peer));
        let mut open: Peers = open.collect();
        if open.first() != relays.first() {
            open.shuffle(&mut rand::rng());
        }
        open.first().copied()
    }

    /// Asks several instances at once, so that those that do not answer cost no time; returns with
    /// the first that is certain.
    async fn ask_all(&self, feed: Feed, peers: Peers, within: Duration) -> Asked {
        let mut asked = Asked::default();
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
    pub(super) fn take_in(&self, answer: FeedAnswer) -> bool {
        let grace = self.outage.lapse_grace();
        match answer.reply {
            FeedReply::Events { events, revision } => self.mirror.apply(&events, revision, grace),
            FeedReply::All { items, revision } => self.mirror.replace(&items, revision, grace),
            FeedReply::Unknown => return false,
        }
        // Who holds the servers works it out itself.
        if self.feed == Feed::Config && answer.zone_demand_per_s > 0 && !holds_servers(&self.board)
        {
            self.board.set_zone_demand_per_s(answer.zone_demand_per_s);
        }
        if let Some(proved_us) = answer.proved_us {
            self.mirror.prove(proved_us);
        }
        let age_us = u64::try_from(answer.age.as_micros()).unwrap_or(u64::MAX);
        self.mirror.confirm(now_us().saturating_sub(age_us));
        answer.age <= AGE_MAX
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
                self.prove_in_turn().await;
            }
        }
    }

    async fn check_once(&self) {
        let one = relays(&self.board).into_iter().take(1).collect();
        if !self.ask_all(self.feed, one, ASK_TIMEOUT).await.certain || self.mirror.age() > AGE_MAX {
            self.ask_all(self.feed, near_readers(&self.board), ASK_TIMEOUT).await;
        }
    }
}
