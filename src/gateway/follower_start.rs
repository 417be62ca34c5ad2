//! How an instance that starts gets its first copy of a part of the store.
//!
//! Hundreds of instances may start at the same moment, after a loss of all power. Each that reads
//! the store pays some calls for what its neighbours read as well, so only the first of each zone
//! do, and those that all settings name; they hand it on. Each other instance asks one at a time,
//! and who has no copy yet answers as soon as it has one.

use std::net::SocketAddr;
use std::time::Duration;

use log::info;
use rand::RngExt;
use tokio::time::Instant;

use super::feed_source::FeedSource;
use super::follower::Follower;
use super::mirror::Sink;
use super::relays::PeerAddresses;
use super::relays::reader_index;
use super::relays::zone_readers;
use super::relays::zone_readers_and_watchers;
use crate::clock::now_us;
use crate::peer::Feed;
use crate::store::EventStore;
use crate::store::Freshness;
use crate::store::Item;
use crate::store::StoreError;

/// Time that others have to hand a copy to an instance that starts, before it goes by one that may be
/// old; and the time more once it knows another instance, which probably has one.
const PEER_COPY_TIMEOUT: Duration = Duration::from_millis(60);
const JOINED_PEER_COPY_TIMEOUT: Duration = Duration::from_millis(200);
/// Time to find another instance before this one takes itself for the only one. Seeds start some
/// 0.3 s apart, and one that is not there refuses at once.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time from the first other instance to most of those that started with it.
const DISCOVERY_SETTLE_TIME: Duration = Duration::from_millis(40);
/// Between the instances of a zone that read the store when they have no copy yet: reading it and
/// handing it on takes the one before about as long.
const READER_STAGGER: Duration = Duration::from_millis(150);
/// How long an instance that leaves reading to others waits for them; without any configuration it
/// turns away all callers that it still gets.
const STORE_FALLBACK_DELAY: Duration = Duration::from_millis(1_500);
/// Time between two tries of its own after that: in an outage of the store each is paid for and
/// brings nothing, and who reads it hands it on.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(2);
/// How long another instance may hold the question for a first copy, and the time for its answer
/// with all that it brings over a slow link.
const HOLD_TIME: Duration = Duration::from_millis(400);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause while nobody is known who could be asked.
const NO_PEER_DELAY: Duration = Duration::from_millis(50);
/// Instances of the own zone that are asked before those of others.
const SAME_ZONE_TRIES: u32 = 2;

impl<S: EventStore, K: Sink, P: FeedSource> Follower<S, K, P> {
    /// Whether all settings name this instance, so that others turn to it before they know anybody.
    fn is_seed(&self) -> bool {
        let settings = &self.board.settings;
        settings.peers.seeds.is_empty() || settings.peers.seeds.contains(&settings.listen.peer)
    }

    /// Gets a first copy: from the store or from another instance.
    ///
    /// An instance that restarts while the store does not answer would otherwise be a home again
    /// at once, by its name, and refuse all of its zone's callers for want of a configuration that
    /// each of its neighbours has.
    pub(super) async fn load_initial(&self) {
        let began = Instant::now();
        if !self.is_seed() {
            self.load_from_peer_or_stale_read().await;
            let _ = tokio::time::timeout(DISCOVERY_TIMEOUT, self.wait_for_any_peer()).await;
            let _ = tokio::time::timeout(DISCOVERY_SETTLE_TIME, self.load_from_peers()).await;
        }
        let mut places_passed = 0;
        let mut due = began + STORE_FALLBACK_DELAY;
        while self.mirror.revision().is_none() && self.needs_full_mirror() {
            let in_turn = reader_index(&self.board).is_some_and(|at| at <= places_passed);
            if in_turn || self.is_seed() || Instant::now() >= due {
                tokio::select! {
                    () = self.sync_from_store() => {}
                    () = self.load_from_peers() => {}
                }
                due = Instant::now() + STORE_RETRY_DELAY;
            } else {
                let _ = tokio::time::timeout(READER_STAGGER, self.load_from_peers()).await;
                places_passed += 1;
            }
        }
    }

    /// Gives others a moment to hand a copy on; without one, this instance goes by a cheap reading
    /// that may be seconds old.
    ///
    /// After a loss of all power callers wait, and those that all settings name may come last: who
    /// comes first would turn callers away until then. Seconds old is good enough for a moment: a
    /// process that was away for longer than that is not relied on for the newest version at once.
    async fn load_from_peer_or_stale_read(&self) {
        let _ = tokio::time::timeout(PEER_COPY_TIMEOUT, self.load_from_peers()).await;
        let first_start = self.board.settings.gateway.as_ref().is_some_and(|one| one.first_start);
        // Where hundreds start together, each takes itself for a home until it knows another one.
        if first_start || self.mirror.revision().is_some() || !self.needs_full_mirror() {
            return;
        }
        if self.board.members_view().serving() > 1 {
            let _ = tokio::time::timeout(JOINED_PEER_COPY_TIMEOUT, self.load_from_peers()).await;
        }
        tokio::select! {
            () = self.apply_stale_read() => {}
            () = self.load_from_peers() => {}
        }
    }

    /// What there was a moment ago; of the backend servers, the first page is enough for a moment, and who
    /// read all of it would read as much more as there are servers.
    async fn read_stale(&self) -> Result<Vec<Item>, StoreError> {
        if self.feed == Feed::Servers {
            let page = self.store.page(self.prefix, None, Freshness::MaybeOld).await?;
            return Ok(page.items.into_iter().map(|item| self.mirror.redacted(item)).collect());
        }
        Ok(self.read_pages(Freshness::MaybeOld).await?.0)
    }

    async fn apply_stale_read(&self) {
        let began_us = now_us();
        match self.read_stale().await {
            Ok(items) => {
                info!(event = "old-reading", prefix = self.prefix, items = items.len(); "");
                self.mirror.apply_provisional(&items);
                self.board.note_store(None);
            }
            Err(error) => self.back_off(&error, began_us).await,
        }
    }

    /// Returns once another instance has told what it knows, however old.
    pub(super) async fn load_from_peers(&self) {
        let mut tries = 0;
        while self.mirror.revision().is_none() {
            let peers = if tries < SAME_ZONE_TRIES {
                zone_readers(&self.board)
            } else {
                PeerAddresses::new()
            };
            let peers =
                if peers.is_empty() { zone_readers_and_watchers(&self.board) } else { peers };
            tries += 1;
            match pick_random(&peers) {
                Some(peer) => self.load_from(peer).await,
                None => tokio::time::sleep(NO_PEER_DELAY).await,
            }
        }
    }

    /// Asks one instance for its copy.
    async fn load_from(&self, peer: SocketAddr) {
        let answer = self.peers.ask(peer, self.feed, None, HOLD_TIME, REQUEST_TIMEOUT).await;
        match answer {
            Some(answer) => {
                self.apply_answer(answer);
            }
            // Refused at once, as by one that does not listen yet.
            None => tokio::time::sleep(NO_PEER_DELAY).await,
        }
    }
}

/// One of them, by chance, so that those who start together do not all ask the same one.
fn pick_random(peers: &PeerAddresses) -> Option<SocketAddr> {
    let at = rand::rng().random_range(0..peers.len().max(1));
    peers.get(at).copied()
}
