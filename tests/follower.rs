//! Servers that the store no longer lists: removed at once, unless their entries expired in a store
//! outage; and servers of which an instance hears no more. In paused time, on an in-memory store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use sorrelwick::board::Blackboard;
use sorrelwick::conf::parse_settings;
use sorrelwick::gateway::FeedAnswer;
use sorrelwick::gateway::FeedSource;
use sorrelwick::gateway::Follower;
use sorrelwick::gateway::Mirror;
use sorrelwick::gateway::Sink;
use sorrelwick::member::MemberRow;
use sorrelwick::peer::Feed;
use sorrelwick::peer::FeedReply;
use sorrelwick::peer::Links;
use sorrelwick::peer::PeerError;
use sorrelwick::store::Item;
use sorrelwick::store::Revision;
use standins::routed::MemoryEventStore;
use standins::routed::StoreFault;
use standins::routed::fleet_settings;
use standins::routed::member_row;

/// Records removals with the grace given to each.
#[derive(Clone, Debug, Default)]
struct Removals(Arc<Mutex<Vec<(String, Duration)>>>);

impl Sink for Removals {
    fn written(&mut self, _: &Item) {}

    fn removed(&mut self, key: &str, grace: Duration) {
        self.0.lock().push((key.to_owned(), grace));
    }
}

/// Starts a lone instance that follows the servers of `store`.
fn follow(store: &MemoryEventStore) -> Removals {
    follow_feed(store, Feed::Servers, "servers/")
}

fn follow_feed(store: &MemoryEventStore, feed: Feed, prefix: &'static str) -> Removals {
    let text = r#"{ instance: { name: "a1", zone: "z" } }"#;
    let board = Arc::new(Blackboard::new(parse_settings("t", text).expect("valid"), 1));
    let removals = Removals::default();
    let mirror = Arc::new(Mirror::new(removals.clone()));
    let links = Links::new("a secret of sixteen");
    let follower = Follower::new(store.clone(), links, board, mirror, feed, prefix);
    tokio::spawn(follower.run());
    removals
}

/// How the other instances of a fleet answer those that hold a sample of the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerState {
    Fresh,
    /// The store serves none of them.
    Outdated,
    Silent,
}

/// Other instances, all in the same state.
#[derive(Clone, Debug)]
struct Peers(Arc<Mutex<PeerState>>);

impl FeedSource for Peers {
    async fn ask(
        &self,
        _: SocketAddr,
        feed: Feed,
        after: Option<Revision>,
        hold: Duration,
        within: Duration,
    ) -> Result<FeedAnswer, PeerError> {
        if !matches!(feed, Feed::SomeServers { .. }) {
            return Err(PeerError::NotSent);
        }
        let state = *self.0.lock();
        tokio::time::sleep(if state == PeerState::Silent { within } else { hold }).await;
        let age = match state {
            PeerState::Fresh => Duration::ZERO,
            PeerState::Outdated => Duration::from_secs(10),
            PeerState::Silent => return Err(PeerError::ResponseLost),
        };
        let revision = Revision::new(0, 1);
        let item = Item { key: "servers/s1".into(), value: Vec::new(), revision };
        let reply = if after.is_some() {
            FeedReply::Events { events: Vec::new().into(), revision }
        } else {
            FeedReply::Snapshot { items: vec![item].into(), revision }
        };
        Ok(FeedAnswer { reply, age, proved_us: None, zone_demand_per_s: 0 })
    }
}

/// Starts an instance of a large fleet that holds only a sample of the servers.
fn follow_sample(peers: &Peers) -> Removals {
    const INSTANCES: u64 = 200;
    let settings =
        fleet_settings("last", "z", &["z"], &["127.0.0.1:1".parse().expect("an address")]);
    let board = Arc::new(Blackboard::new(settings, 1));
    for incarnation in 2..=INSTANCES {
        let capacity_per_s = board.own_capacity_per_s();
        let row = MemberRow { capacity_per_s, ..member_row(incarnation) };
        board.members.lock().merge(&row, 1_000);
    }
    board.publish_members();
    let removals = Removals::default();
    let mirror = Arc::new(Mirror::new(removals.clone()));
    let store = MemoryEventStore::default();
    let follower = Follower::new(store, peers.clone(), board, mirror, Feed::Servers, "servers/");
    tokio::spawn(follower.run());
    removals
}

async fn pass(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

#[tokio::test(start_paused = true)]
async fn removed_server_gets_no_grace() {
    let store = MemoryEventStore::default();
    store.put("servers/s1", "{}");
    let removals = follow(&store);
    pass(1_000).await;
    store.remove("servers/s1");
    pass(1_000).await;
    assert_eq!(*removals.0.lock(), [("servers/s1".to_owned(), Duration::ZERO)]);
}

/// Guards against refusing every request for two seconds after a store outage: all entries had
/// expired although the servers were running.
#[tokio::test(start_paused = true)]
async fn entry_expired_in_outage_gets_grace_after_store_returns() {
    let store = MemoryEventStore::default();
    store.put("servers/s1", "{}");
    let removals = follow(&store);
    pass(1_000).await;
    store.set_fault(StoreFault::Busy);
    pass(6_000).await;
    store.remove("servers/s1");
    store.set_fault(StoreFault::None);
    pass(2_000).await;
    let removed = removals.0.lock().clone();
    assert_eq!(removed.len(), 1);
    assert!((500..=2_400).contains(&removed[0].1.as_millis()), "{removed:?}");
}

/// Guards against requests to a server that left long ago: an instance that was disconnected
/// learned of the removal 3.3 s after the connection was restored, and mistook it for an expiry.
#[tokio::test(start_paused = true)]
async fn grace_is_counted_from_outage_not_from_notification() {
    let store = MemoryEventStore::default();
    store.put("servers/s1", "{}");
    let removals = follow(&store);
    pass(1_000).await;
    store.set_fault(StoreFault::Silent);
    pass(6_000).await;
    store.set_fault(StoreFault::None);
    // The first calls after the outage return no change; the removal follows later.
    pass(3_000).await;
    store.remove("servers/s1");
    pass(1_000).await;
    let removed = removals.0.lock().clone();
    assert_eq!(removed, [("servers/s1".to_owned(), Duration::ZERO)]);
}

/// Guards against a zone that stays evacuated after an outage although the operators readmitted it:
/// what they write has no lease that could have expired.
#[tokio::test(start_paused = true)]
async fn removal_by_operators_gets_no_grace_after_outage() {
    let store = MemoryEventStore::default();
    store.put("operators/evacuations/z", "{}");
    let removals = follow_feed(&store, Feed::Config, "operators/");
    pass(1_000).await;
    store.set_fault(StoreFault::Busy);
    pass(6_000).await;
    store.remove("operators/evacuations/z");
    store.set_fault(StoreFault::None);
    pass(2_000).await;
    let removed = removals.0.lock().clone();
    assert_eq!(removed, [("operators/evacuations/z".to_owned(), Duration::ZERO)]);
}

/// Guards against servers that are used for good by an instance that hears of no change any more, and
/// against callers that are refused because the store, or some instances, are away for a while.
#[tokio::test(start_paused = true)]
async fn sample_is_dropped_only_in_lasting_isolation() {
    let peers = Peers(Arc::new(Mutex::new(PeerState::Fresh)));
    let removals = follow_sample(&peers);
    pass(2_000).await;
    *peers.0.lock() = PeerState::Outdated;
    pass(20_000).await;
    *peers.0.lock() = PeerState::Silent;
    pass(3_000).await;
    *peers.0.lock() = PeerState::Fresh;
    pass(2_000).await;
    assert!(removals.0.lock().is_empty());
    *peers.0.lock() = PeerState::Silent;
    pass(7_000).await;
    assert_eq!(*removals.0.lock(), [("servers/s1".to_owned(), Duration::ZERO)]);
}

/// Guards against a reading of the list without end, and against a memory that grows with it, while the
/// store answers with the same page again and again.
#[tokio::test(start_paused = true)]
async fn pages_that_do_not_move_on_end_the_reading() {
    let store = MemoryEventStore::default();
    store.set_page_items(2);
    for number in 0..5 {
        store.put(&format!("servers/s{number}"), "{}");
    }
    store.set_fault(StoreFault::RepeatsPages);
    let removals = follow(&store);
    pass(5_000).await;
    // Each attempt checks the store and reads two pages; the shortest pause after one is 200 ms.
    let calls_max = 5_000 / 200 * 3;
    assert!((4..=calls_max).contains(&store.calls()), "{} calls in five seconds", store.calls());
    store.set_fault(StoreFault::None);
    // Long enough that what is missing then did not expire in an outage.
    pass(4_000).await;
    store.remove("servers/s4");
    pass(1_000).await;
    assert_eq!(*removals.0.lock(), [("servers/s4".to_owned(), Duration::ZERO)]);
}
