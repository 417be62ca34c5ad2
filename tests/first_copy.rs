//! What a starting instance uses while no peer can send it data. In paused time, on an in-memory
//! store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use sorrelwick::board::Blackboard;
use sorrelwick::clock::now_ms;
use sorrelwick::conf::parse_settings;
use sorrelwick::gateway::Follower;
use sorrelwick::gateway::Mirror;
use sorrelwick::gateway::Sink;
use sorrelwick::member::MemberRow;
use sorrelwick::peer::Feed;
use sorrelwick::peer::FeedReply;
use sorrelwick::store::Item;
use sorrelwick::store::Revision;
use standins::routed::MemoryEventStore;
use standins::routed::MemoryLinks;
use standins::routed::StoreFault;

/// The mirrored value of each key.
#[derive(Clone, Debug, Default)]
struct ValuesSink(Arc<Mutex<BTreeMap<String, String>>>);

impl Sink for ValuesSink {
    fn written(&mut self, item: &Item) {
        let value = String::from_utf8_lossy(&item.value).into_owned();
        self.0.lock().insert(item.key.clone(), value);
    }

    fn removed(&mut self, key: &str, _: Duration) {
        self.0.lock().remove(key);
    }
}

impl ValuesSink {
    fn keys(&self) -> Vec<(String, String)> {
        self.0.lock().clone().into_iter().collect()
    }
}

/// Starts a lone instance; the only seed in its settings is not running.
fn start(store: &MemoryEventStore, first_start: bool) -> ValuesSink {
    let text = serde_json::json!({
        "instance": { "name": "a2", "zone": "z" },
        "gateway": {
            "readiness": "127.0.0.1:0", "addresses": "127.0.0.1:0", "store": "127.0.0.1:1",
            "memory_max_mb": 200.0, "zones": ["z"], "first_start": first_start,
        },
        "peers": { "secret": "a secret of sixteen", "seeds": ["127.0.0.1:1"] },
    });
    let settings = parse_settings("t", &text.to_string()).expect("valid");
    let board = Arc::new(Blackboard::new(settings, 1));
    let in_force = ValuesSink::default();
    let mirror = Arc::new(Mirror::new(in_force.clone()));
    let links = MemoryLinks::default().add(&board, Some(Arc::clone(&mirror)), 1_000_000);
    let follower = Follower::new(store.clone(), links, board, mirror, Feed::Servers, "servers/");
    tokio::spawn(follower.run());
    in_force
}

/// An instance of a fleet whose only seed listens on port 7001.
fn fleet_board(port: u16, zone: &str, incarnation: u64, cores: f64) -> Arc<Blackboard> {
    let text = serde_json::json!({
        "instance": { "name": format!("b{port}"), "zone": zone, "cores": cores },
        "listen": { "peer": format!("127.0.0.1:{port}") },
        "gateway": {
            "readiness": "127.0.0.1:0", "addresses": "127.0.0.1:0", "store": "127.0.0.1:1",
            "memory_max_mb": 200.0, "zones": ["y", "z"],
        },
        "peers": { "secret": "a secret of sixteen", "seeds": ["127.0.0.1:7001"] },
    });
    let settings = parse_settings("t", &text.to_string()).expect("valid");
    Arc::new(Blackboard::new(settings, incarnation))
}

/// Makes all instances known to each other.
fn introduce(boards: &[&Arc<Blackboard>]) {
    let rows: Vec<MemberRow> =
        boards.iter().map(|board| board.members.lock().own_row(now_ms())).collect();
    for board in boards {
        for row in &rows {
            board.members.lock().merge_synced(row, now_ms());
        }
        board.publish_members();
    }
}

/// Guards against refusing all callers of a zone without a seed after all instances were killed:
/// its first instance asked another of its zone, which waited for the first one.
#[tokio::test(start_paused = true)]
async fn first_of_zone_asks_a_seed_while_its_zone_waits() {
    let seed = fleet_board(7001, "z", 1, 1.0);
    let first = fleet_board(7002, "y", 2, 4.0);
    let second = fleet_board(7003, "y", 3, 2.0);
    let loaded = Arc::new(Mirror::new(ValuesSink::default()));
    let links = MemoryLinks::default();
    let _seed_links = links.add(&seed, Some(Arc::clone(&loaded)), 1_000_000);
    let waiting = Arc::new(Mirror::new(ValuesSink::default()));
    let _second_links = links.add(&second, Some(waiting), 1_000_000);
    introduce(&[&seed, &first, &second]);
    let item =
        Item { key: "op/config".into(), value: b"v1".to_vec(), revision: Revision::new(0, 1) };
    loaded.replace(&[item], Revision::new(0, 1), Duration::ZERO);

    let store = MemoryEventStore::default();
    store.set_fault(StoreFault::Silent);
    let in_force = ValuesSink::default();
    let mirror = Arc::new(Mirror::new(in_force.clone()));
    let first_links = links.add(&first, Some(Arc::clone(&mirror)), 1_000_000);
    let follower = Follower::new(store, first_links, first, mirror, Feed::Config, "op/");
    tokio::spawn(follower.run());
    pass(50).await;
    assert_eq!(in_force.keys(), pairs(&[("op/config", "v1")]));
}

fn pairs(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    pairs.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect()
}

async fn pass(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Guards against refusing all callers after a power loss although the store is up: an instance
/// waited for peers, which started half a second later, to save the cost of a read.
#[tokio::test(start_paused = true)]
async fn lone_instance_uses_stale_read_at_once() {
    let store = MemoryEventStore::default();
    store.put("servers/s1", "one");
    let in_force = start(&store, false);
    pass(100).await;
    assert_eq!(in_force.keys(), pairs(&[("servers/s1", "one")]));
    assert_eq!((store.calls(), store.cheap_calls()), (1, 1), "one call at a tenth of the price");
}

/// Guards against keeping outdated data from the stale read: since then one server had left, one
/// had changed and one had been added.
#[tokio::test(start_paused = true)]
async fn stale_read_is_replaced_by_fresh_snapshot() {
    let store = MemoryEventStore::default();
    store.put("servers/s1", "one");
    store.put("servers/s2", "two");
    store.freeze_stale_reads();
    store.remove("servers/s1");
    store.put("servers/s2", "two anew");
    store.put("servers/s3", "three");
    let in_force = start(&store, false);
    pass(100).await;
    assert_eq!(in_force.keys(), pairs(&[("servers/s1", "one"), ("servers/s2", "two")]));
    pass(700).await;
    let now = pairs(&[("servers/s2", "two anew"), ("servers/s3", "three")]);
    assert_eq!(in_force.keys(), now);
}

/// Guards against giving up after the store did not answer the stale read.
#[tokio::test(start_paused = true)]
async fn store_is_read_after_failed_stale_read() {
    let store = MemoryEventStore::default();
    store.put("servers/s1", "one");
    store.set_fault(StoreFault::Silent);
    let in_force = start(&store, false);
    pass(2_000).await;
    assert!(in_force.keys().is_empty());
    store.set_fault(StoreFault::None);
    pass(2_500).await;
    assert_eq!(in_force.keys(), pairs(&[("servers/s1", "one")]));
}

/// At the first start of a deployment there are no callers yet, so instances give their peers time
/// before they read.
#[tokio::test(start_paused = true)]
async fn first_start_waits_for_peers_before_reading() {
    let store = MemoryEventStore::default();
    store.put("servers/s1", "one");
    let in_force = start(&store, true);
    pass(200).await;
    assert_eq!(store.calls(), 0);
    pass(600).await;
    assert_eq!(in_force.keys(), pairs(&[("servers/s1", "one")]));
}

/// Guards against treating an empty store as not loaded: the mirror was served only once its
/// revision was above 0, so each waiting peer timed out and read the store itself.
#[tokio::test(start_paused = true)]
async fn mirror_of_empty_store_is_served_at_once() {
    let mirror = Mirror::new(ValuesSink::default());
    let asked = mirror.serve(None, Duration::from_millis(400));
    let began = tokio::time::Instant::now();
    let read = async {
        pass(20).await;
        mirror.replace(&[], Revision::default(), Duration::ZERO);
    };
    let (response, ()) = tokio::join!(asked, read);
    let revision = Revision::default();
    assert_eq!(response.reply, FeedReply::Snapshot { items: Vec::new().into(), revision });
    assert!(began.elapsed() < Duration::from_millis(30), "{:?}", began.elapsed());
}
