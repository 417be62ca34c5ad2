//! How a starting instance loads its mirror for the first time.
//!
//! Hundreds of instances may start at the same moment, after a power loss. A full read takes
//! several paid store calls, so only the readers of each zone and the seeds read the store, and
//! pass the result on. The other instances ask one peer at a time; a peer without data answers as
//! soon as it has some.

use std::net::SocketAddr;
use std::time::Duration;

use log::info;
use rand::RngExt;
use tokio::time::Instant;

use super::feed_source::FeedSource;
use super::follower::Follower;
use super::mirror_sink::Sink;
use super::relays::PeerAddresses;
use super::relays::fallback_peers;
use super::relays::known_seeds;
use super::relays::reader_index;
use super::relays::zone_readers;
use crate::clock::now_us;
use crate::peer::Feed;
use crate::store::EventStore;
use crate::store::Freshness;
use crate::store::Item;
use crate::store::StoreError;

/// How long a starting instance waits for a peer's mirror before it uses a possibly stale read.
const PEER_MIRROR_TIMEOUT: Duration = Duration::from_millis(60);
/// How much longer it waits if it knows another instance, which probably has a mirror.
const JOINED_PEER_MIRROR_TIMEOUT: Duration = Duration::from_millis(200);
/// How long an instance looks for others before it assumes that it is alone. Seeds start some 0.3 s
/// apart, and a seed that is not running refuses the connection at once.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time from finding the first instance to knowing most of those that started with it.
const DISCOVERY_SETTLE_TIME: Duration = Duration::from_millis(40);
/// Delay between the readers of a zone that have no data yet: about the time that the previous one
/// needs to read the store and pass the result on.
const READER_STAGGER: Duration = Duration::from_millis(150);
/// How long an instance that is not a reader waits for peers before it calls the store. Without a
/// configuration it refuses all callers that reach it.
const STORE_FALLBACK_DELAY: Duration = Duration::from_millis(1_500);
/// Interval of the store calls of an instance that is not a reader, after the first one. During a
/// store outage each is paid for and brings nothing, and the readers pass on what they read.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(2);
/// How long a peer may hold a request for the initial data.
const HOLD_TIME: Duration = Duration::from_millis(400);
/// How long it may hold that of the first reader of a zone, for which the rest of the zone may
/// wait.
const FIRST_READER_HOLD_TIME: Duration = Duration::from_millis(50);
/// Timeout of a request for the initial data, which covers a full transfer over a slow link.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause while no peer is known or the peer refused the connection.
const NO_PEER_DELAY: Duration = Duration::from_millis(50);
/// Number of attempts that prefer peers of the own zone.
const SAME_ZONE_TRIES: u32 = 2;

impl<S: EventStore, K: Sink, P: FeedSource> Follower<S, K, P> {
    /// Whether this instance is one of the seeds, which other instances contact before they know
    /// any.
    fn is_seed(&self) -> bool {
        let settings = &self.board.settings;
        settings.peers.seeds.is_empty() || settings.peers.seeds.contains(&settings.listen.peer)
    }

    /// Loads the mirror from the store or from another instance.
    ///
    /// Without the peers, an instance that restarts while the store is down would become a home
    /// again at once, by its rank, and refuse all callers of its zone for lack of a configuration
    /// that each of its neighbours has.
    pub(super) async fn load_initial(&self) {
        let started = Instant::now();
        if !self.is_seed() {
            self.load_from_peer_or_stale_read().await;
            let _ = tokio::time::timeout(DISCOVERY_TIMEOUT, self.wait_for_any_peer()).await;
            let _ = tokio::time::timeout(DISCOVERY_SETTLE_TIME, self.load_from_peers()).await;
        }
        let mut reader_turn = 0;
        let mut store_due = started + STORE_FALLBACK_DELAY;
        while self.mirror.revision().is_none() && self.needs_full_mirror() {
            let in_turn = reader_index(&self.board).is_some_and(|at| at <= reader_turn);
            if in_turn || self.is_seed() || Instant::now() >= store_due {
                tokio::select! {
                    () = self.sync_from_store() => {}
                    () = self.load_from_peers() => {}
                }
                store_due = Instant::now() + STORE_RETRY_DELAY;
            } else {
                let _ = tokio::time::timeout(READER_STAGGER, self.load_from_peers()).await;
                reader_turn += 1;
            }
        }
    }

    /// Waits briefly for a peer's mirror, then uses a cheap read that may be seconds old.
    ///
    /// After a power loss callers are waiting, and the seeds may start last; the first instances
    /// would refuse callers until then. Data that is seconds old is acceptable briefly: nobody
    /// relies on a process that was down for longer than that to have the newest version at once.
    async fn load_from_peer_or_stale_read(&self) {
        let _ = tokio::time::timeout(PEER_MIRROR_TIMEOUT, self.load_from_peers()).await;
        let first_start = self.board.settings.gateway.as_ref().is_some_and(|one| one.first_start);
        // When hundreds of instances start together, each considers itself a home until it knows
        // another one.
        if first_start || self.mirror.revision().is_some() || !self.needs_full_mirror() {
            return;
        }
        if self.board.members_view().running_count() > 1 {
            let _ = tokio::time::timeout(JOINED_PEER_MIRROR_TIMEOUT, self.load_from_peers()).await;
        }
        tokio::select! {
            () = self.apply_stale_read() => {}
            () = self.load_from_peers() => {}
        }
    }

    /// Reads possibly stale data. For backend servers only the first page: it is enough until the
    /// full read, and reading all pages would cost in proportion to the number of servers.
    async fn read_stale(&self) -> Result<Vec<Item>, StoreError> {
        if self.feed == Feed::Servers {
            let page = self.store.list_page(self.prefix, None, Freshness::Stale).await?;
            self.check_era(page.revision.era)?;
            return Ok(page.items.into_iter().map(|item| self.mirror.redacted(item)).collect());
        }
        Ok(self.read_pages(Freshness::Stale).await?.0)
    }

    /// Reads possibly stale data and applies it until the mirror is loaded.
    async fn apply_stale_read(&self) {
        let started_us = now_us();
        match self.read_stale().await {
            Ok(items) => {
                info!(event = "old-reading", prefix = self.prefix, items = items.len(); "");
                self.mirror.apply_provisional(&items);
                self.board.record_store_result(None);
            }
            Err(error) => self.back_off(&error, started_us).await,
        }
    }

    /// Returns when a peer has sent its data, however old.
    pub(super) async fn load_from_peers(&self) {
        let mut tries = 0;
        while self.mirror.revision().is_none() {
            let (peers, hold) = if reader_index(&self.board) == Some(0) {
                (self.peers_of_first_reader(tries), FIRST_READER_HOLD_TIME)
            } else {
                (self.peers_of_others(tries), HOLD_TIME)
            };
            let peers = if peers.is_empty() { fallback_peers(&self.board) } else { peers };
            tries += 1;
            match pick_random(&peers) {
                Some(peer) => self.load_from(peer, hold).await,
                None => tokio::time::sleep(NO_PEER_DELAY).await,
            }
        }
    }

    /// The peers that the first reader of a zone asks; empty for the fallback peers. Instances of
    /// its zone that have started with it wait for it themselves, so it asks the seeds, which read
    /// the store, at every other try, the first included.
    fn peers_of_first_reader(&self, tries: u32) -> PeerAddresses {
        if tries.is_multiple_of(2) { known_seeds(&self.board) } else { PeerAddresses::new() }
    }

    /// The peers that any other instance asks; empty for the fallback peers.
    fn peers_of_others(&self, tries: u32) -> PeerAddresses {
        if tries < SAME_ZONE_TRIES { zone_readers(&self.board) } else { PeerAddresses::new() }
    }

    /// Requests a peer's data once; the peer may hold the request until it has some.
    async fn load_from(&self, peer: SocketAddr, hold: Duration) {
        let answer = self.peers.ask(peer, self.feed, None, hold, REQUEST_TIMEOUT).await;
        match answer {
            Ok(answer) => {
                self.apply_answer(answer);
            }
            // The connection may have been refused at once because the peer does not listen yet.
            Err(_) => tokio::time::sleep(NO_PEER_DELAY).await,
        }
    }
}

/// Picks a random peer, so that instances that start together do not all ask the same one.
fn pick_random(peers: &PeerAddresses) -> Option<SocketAddr> {
    let at = rand::rng().random_range(0..peers.len().max(1));
    peers.get(at).copied()
}
