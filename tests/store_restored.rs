//! A store that comes back from an earlier copy: what was written since is gone, and revisions are
//! given out again. In paused time, on an in-memory store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use smallvec::SmallVec;
use sorrelwick::board::Blackboard;
use sorrelwick::gateway::Dispatcher;
use sorrelwick::gateway::Follower;
use sorrelwick::gateway::Mirror;
use sorrelwick::gateway::OperatorSink;
use sorrelwick::gateway::QuarantineStore;
use sorrelwick::gateway::Registry;
use sorrelwick::gateway::Sink;
use sorrelwick::peer::Feed;
use sorrelwick::peer::FeedReply;
use sorrelwick::peer::Links;
use sorrelwick::quarantine::FingerprintScope;
use sorrelwick::quarantine::Fingerprints;
use sorrelwick::quarantine::SuspectRecord;
use sorrelwick::retry::RetryAllowance;
use sorrelwick::store::EventStore;
use sorrelwick::store::Item;
use sorrelwick::store::ItemEvent;
use sorrelwick::store::Revision;
use standins::routed::CONFIG_KEY;
use standins::routed::FleetSize;
use standins::routed::LastWrite;
use standins::routed::MemoryEventStore;
use standins::routed::PlainDialect;
use standins::routed::RelayFleet;
use standins::routed::StoreFault;
use standins::routed::fleet_settings;
use standins::routed::two_routes;
use tokio::time::Instant;

/// Time limit for applying a change, from its acknowledgement by the store.
const APPLY_MAX: Duration = Duration::from_secs(2);
/// Time before the first fault, in which all instances settle.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// How long the store is away before it comes back from a copy.
const OUTAGE: Duration = Duration::from_millis(2_600);

const ALLOWANCE: RetryAllowance =
    RetryAllowance { ratio: 0.2, window_us: 10_000_000, slack_retries: 10.0 };

/// The latest value of each key.
#[derive(Clone, Debug, Default)]
struct Values(Arc<Mutex<BTreeMap<String, Vec<u8>>>>);

impl Sink for Values {
    fn written(&mut self, item: &Item) {
        self.0.lock().insert(item.key.clone(), item.value.clone());
    }

    fn removed(&mut self, key: &str, _: Duration) {
        self.0.lock().remove(key);
    }
}

/// The board of an instance that knows no other.
fn lone_board() -> Arc<Blackboard> {
    Arc::new(Blackboard::new(fleet_settings("a1", "z", &["z"], &[]), 1))
}

/// The record of a request that is quarantined.
fn quarantined_record() -> SuspectRecord {
    let caller = std::net::Ipv4Addr::LOCALHOST;
    let fingerprints = Fingerprints::of(caller.into(), "shop.example", "GET", "/look/a", b"");
    SuspectRecord {
        fingerprint: fingerprints.in_scope(FingerprintScope::Exact),
        service: 1,
        crashes: SmallVec::new(),
        settled_level: 3,
        quarantine_count: 1,
        release_count: 0,
        age_ms: 0,
    }
}

/// Starts a lone instance that follows the configuration in `store`.
fn follow(store: &MemoryEventStore) -> Values {
    let board = lone_board();
    let values = Values::default();
    let mirror = Arc::new(Mirror::new(values.clone()));
    let links = Links::new("a secret of sixteen");
    let follower = Follower::new(store.clone(), links, board, mirror, Feed::Config, "config");
    tokio::spawn(follower.run());
    values
}

fn set_faults(clients: &[MemoryEventStore], fault: StoreFault) {
    for client in clients {
        client.set_fault(fault);
    }
}

fn paid_calls(clients: &[MemoryEventStore]) -> u64 {
    clients.iter().map(|client| client.calls() - client.cheap_calls()).sum()
}

/// Guards against instances that ignore changes after a restore because they know higher revisions
/// from before it, and against watchers that read everything again and again meanwhile.
#[tokio::test(start_paused = true)]
async fn changes_after_restore_reach_every_instance_in_time() {
    let store = MemoryEventStore::default();
    store.put("config", "1");
    let fleet = RelayFleet::start(&store, FleetSize::SMALL);
    tokio::time::sleep(SETTLE_TIME).await;
    let copy = store.copy();
    for version in 2..8 {
        store.put("config", &version.to_string());
    }
    tokio::time::sleep(SETTLE_TIME).await;
    set_faults(&fleet.store_clients, StoreFault::Busy);
    tokio::time::sleep(OUTAGE).await;
    store.restore(&copy);
    set_faults(&fleet.store_clients, StoreFault::None);
    let calls_before = paid_calls(&fleet.store_clients);
    store.put("config", "7");
    tokio::time::sleep(APPLY_MAX).await;
    store.put("config", "8");
    tokio::time::sleep(APPLY_MAX).await;
    let learned =
        |sink: &&LastWrite| sink.0.lock().is_some_and(|(seen, _)| seen == store.revision());
    let learned = fleet.sinks.iter().filter(learned).count();
    assert_eq!(learned, FleetSize::SMALL.instances);
    // One reading of everything for each watcher, and the watches of two changes and four seconds.
    let calls = paid_calls(&fleet.store_clients) - calls_before;
    assert!(calls <= 3 * 8, "{calls} calls");
}

/// Guards against a watch that resumes after the restored store has passed the revision that it
/// asks from: it would miss the changes before that revision.
#[tokio::test(start_paused = true)]
async fn changes_below_known_revision_are_not_missed_after_restore() {
    let store = MemoryEventStore::default();
    store.put("config", "1");
    let values = follow(&store);
    tokio::time::sleep(SETTLE_TIME).await;
    let copy = store.copy();
    store.put("config", "2");
    store.put("config", "3");
    tokio::time::sleep(SETTLE_TIME).await;
    store.set_fault(StoreFault::Busy);
    tokio::time::sleep(OUTAGE).await;
    store.restore(&copy);
    for key in ["config", "config/a", "config/b", "config/c"] {
        store.put(key, "4");
    }
    store.set_fault(StoreFault::None);
    tokio::time::sleep(APPLY_MAX).await;
    let expected =
        ["config", "config/a", "config/b", "config/c"].map(|key| (key.to_owned(), b"4".to_vec()));
    assert_eq!(*values.0.lock(), BTreeMap::from(expected));
}

/// Guards against instances that start right after a restore and go by an older configuration than
/// all others: what a peer hands on is the newest that it knows.
#[tokio::test(start_paused = true)]
async fn peers_hand_on_newest_configuration_over_restore() {
    let mirror = Mirror::new(OperatorSink {
        dialect: PlainDialect::default(),
        table: Arc::default(),
        board: lone_board(),
        dispatcher: Dispatcher::new("z", ALLOWANCE),
        age: Arc::default(),
    });
    let version = |version, revision| Item {
        key: CONFIG_KEY.into(),
        value: two_routes(version).into_bytes(),
        revision,
    };
    let (lost, restored) = (Revision::new(0, 9), Revision::new(1, 4));
    mirror.replace(&[version(5, lost)], lost, Duration::ZERO);
    mirror.replace(&[version(3, restored)], restored, Duration::ZERO);
    let reply = mirror.serve(None, Duration::ZERO).await.reply;
    let items = vec![version(5, restored)].into();
    assert_eq!(reply, FeedReply::Snapshot { items, revision: restored });
    let next = Revision::new(1, 5);
    mirror.apply(&[ItemEvent::Written(version(6, next))], next, Duration::ZERO);
    let reply = mirror.serve(Some(restored), Duration::ZERO).await.reply;
    let events = vec![ItemEvent::Written(version(6, next))].into();
    assert_eq!(reply, FeedReply::Events { events, revision: next });
}

/// Guards against a first reading that outranks the store: a replica of a restored store may answer
/// with old contents and the new era.
#[test]
fn stale_read_of_restored_store_is_replaced_by_load() {
    let values = Values::default();
    let mirror = Mirror::new(values.clone());
    let item = |key: &str, value: &str, number| Item {
        key: key.into(),
        value: value.into(),
        revision: Revision::new(1, number),
    };
    mirror.apply_provisional(&[item("config", "lost", 43), item("config/a", "lost", 42)]);
    mirror.replace(&[item("config", "restored", 40)], Revision::new(1, 41), Duration::ZERO);
    let expected = [("config".to_owned(), b"restored".to_vec())];
    assert_eq!(*values.0.lock(), BTreeMap::from(expected));
}

/// Guards against instances that newcomers do not find for a renewal interval: the restored store
/// has lost their entry and given their lease's id to another.
#[tokio::test(start_paused = true)]
async fn instance_registers_again_after_restore() {
    let store = MemoryEventStore::default();
    let board = lone_board();
    let dialect = PlainDialect::default();
    let registry = Registry::new(dialect, store.clone(), Arc::clone(&board));
    let copy = store.copy();
    tokio::spawn(registry.run());
    tokio::time::sleep(SETTLE_TIME * 2).await;
    assert_eq!(store.count_keys("instances/"), 1);
    store.restore(&copy);
    let other = store.new_client();
    let taken = other.open_lease(Duration::from_mins(1)).await.expect("the store answers");
    other.write_leased("other", b"1", taken).await.expect("the store answers");
    board.record_store_era(taken.era);
    tokio::time::sleep(SETTLE_TIME * 2).await;
    assert_eq!(store.count_keys("instances/"), 1);
}

/// Guards against accepting a revoked key for longer than the limit: a restored store may have lost
/// the revocation until the operators repeat it, so reading it proves nothing.
#[tokio::test(start_paused = true)]
async fn configuration_is_not_proved_until_writers_repeated_their_writes() {
    const REPEAT_TIME: Duration = Duration::from_secs(2);
    const REVOCATION_BOUND: Duration = Duration::from_secs(5);
    let store = MemoryEventStore::default();
    store.put("config", "1");
    let size = FleetSize { key_revocation_ms: Some(5_000), ..FleetSize::SMALL };
    let fleet = RelayFleet::start(&store, size);
    tokio::time::sleep(SETTLE_TIME).await;
    let copy = store.copy();
    store.put("config", "2");
    tokio::time::sleep(SETTLE_TIME).await;
    set_faults(&fleet.store_clients, StoreFault::Busy);
    tokio::time::sleep(OUTAGE).await;
    store.restore(&copy);
    let restored = Instant::now();
    set_faults(&fleet.store_clients, StoreFault::None);
    while restored.elapsed() < REPEAT_TIME {
        tokio::time::sleep(Duration::from_millis(50)).await;
        for mirror in &fleet.net.mirrors {
            assert!(mirror.proof_age().is_none_or(|age| age >= restored.elapsed()));
        }
    }
    store.put("config", "2");
    tokio::time::sleep(REVOCATION_BOUND / 2).await;
    let ages = fleet.net.mirrors.iter().filter_map(|mirror| mirror.proof_age());
    let proved = ages.filter(|age| *age < REVOCATION_BOUND / 2).count();
    assert_eq!(proved, FleetSize::SMALL.instances);
}

/// Guards against serving again, after a restart of all instances, requests that crash servers: the
/// restored store has lost the quarantine.
#[tokio::test(start_paused = true)]
async fn quarantine_is_written_again_after_restore() {
    let store = MemoryEventStore::default();
    let board = lone_board();
    let dialect = PlainDialect::default();
    let kept = QuarantineStore { dialect, store: store.clone(), board: Arc::clone(&board) };
    board.record_store_era(0);
    let copy = store.copy();
    tokio::spawn(kept.clone().run_writer());
    tokio::spawn(kept.rewrite_after_restores());
    board.quarantine.merge(&[quarantined_record()]);
    tokio::time::sleep(SETTLE_TIME).await;
    store.restore(&copy);
    assert_eq!(store.count_keys("suspects/"), 0);
    board.record_store_era(1);
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(store.count_keys("suspects/"), 1);
}
