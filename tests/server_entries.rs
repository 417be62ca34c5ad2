//! Entries of backend servers: which of them name a usable server, and which start of it.

use std::sync::Arc;
use std::time::Duration;

use arbtest::arbitrary::Arbitrary;
use sorrelwick::balance::RequestSpec;
use sorrelwick::gateway::Dispatcher;
use sorrelwick::gateway::Grant;
use sorrelwick::gateway::Mirror;
use sorrelwick::gateway::ServerSink;
use sorrelwick::peer::ServerLoadRow;
use sorrelwick::peer::ServerLoads;
use sorrelwick::retry::RetryAllowance;
use sorrelwick::store::Item;
use sorrelwick::store::ItemEvent;
use sorrelwick::store::Revision;
use standins::routed::PlainDialect;

mod common;

/// The servers of an instance, and its mirror of the store that lists them.
struct Bed {
    dispatcher: Dispatcher,
    mirror: Mirror<ServerSink<PlainDialect>>,
    revision: Revision,
}

impl Bed {
    fn new() -> Self {
        let allowance = RetryAllowance { ratio: 0.2, window_us: 10_000_000, slack_retries: 10.0 };
        let dispatcher = Dispatcher::new("z", allowance);
        let mirror = Mirror::new(ServerSink::new(PlainDialect::default(), dispatcher.clone()));
        Self { dispatcher, mirror, revision: Revision::default() }
    }

    fn write(&mut self, id: &str, value: &[u8]) {
        self.revision.number += 1;
        let (key, revision) = (format!("servers/{id}"), self.revision);
        let event = ItemEvent::Written(Item { key, value: value.to_vec(), revision });
        self.mirror.apply(&[event], revision, Duration::ZERO);
    }

    fn remove(&mut self, id: &str) {
        self.revision.number += 1;
        let event = ItemEvent::Removed { key: format!("servers/{id}"), revision: self.revision };
        self.mirror.apply(&[event], self.revision, Duration::ZERO);
    }

    /// A slot, if one is free.
    fn try_acquire(&self) -> Option<Grant> {
        let spec = RequestSpec {
            route: "look".into(),
            workspace: None,
            priority: 1,
            target_ms: 500.0,
            arrived_us: sorrelwick::clock::now_us(),
            spent_before_us: 0,
            deadline_us: u64::MAX,
            tried_servers: smallvec::SmallVec::new(),
        };
        self.dispatcher.try_acquire_spare("s", &spec)
    }

    /// Number of free slots.
    fn free_slots(&self) -> usize {
        std::iter::from_fn(|| self.try_acquire()).collect::<Vec<_>>().len()
    }
}

/// The entry of a start with four slots, of which three are used until the last one is known to
/// improve throughput.
fn entry(started_ms: u64, sequence: u64, port: u16, state: &str) -> Vec<u8> {
    serde_json::json!({
        "service": "s", "address": format!("127.0.0.1:{port}"), "zone": "z", "slots": 4,
        "state": state, "started_ms": started_ms, "sequence": sequence,
    })
    .to_string()
    .into_bytes()
}

/// Guards against refusing requests for lack of slots after a server crashed with all slots in use
/// and restarted under the same id.
#[tokio::test]
async fn restarted_server_has_all_slots() {
    let mut bed = Bed::new();
    bed.write("a", &entry(1_000, 1, 81, "ready"));
    let held: Vec<Grant> = std::iter::from_fn(|| bed.try_acquire()).collect();
    assert!(held.len() >= 3 && bed.try_acquire().is_none());
    bed.write("a", &entry(2_000, 1, 81, "ready"));
    assert_eq!(bed.free_slots(), held.len());
    // The end of the earlier start's requests does not affect the new one.
    drop(held);
    assert!(bed.free_slots() >= 3);
}

/// Guards against sending requests to the old address of a server that restarted elsewhere.
#[tokio::test]
async fn restarted_server_is_used_at_its_new_address() {
    let mut bed = Bed::new();
    bed.write("a", &entry(1_000, 9, 81, "ready"));
    let before = Arc::clone(&bed.try_acquire().expect("a free slot").server);
    bed.write("a", &entry(2_000, 1, 82, "ready"));
    let server = Arc::clone(&bed.try_acquire().expect("a free slot").server);
    assert_eq!(server.conns.address().port(), 82);
    // A response showing that another server has the old address does not concern the new one.
    bed.dispatcher.unlist_displaced(&before);
    assert!(bed.try_acquire().is_some());
}

/// Guards against a delayed draining report of the earlier process stopping requests to the new
/// one.
#[tokio::test(start_paused = true)]
async fn delayed_report_of_earlier_start_is_ignored() {
    let mut bed = Bed::new();
    bed.write("a", &entry(2_000, 1, 82, "ready"));
    for state in ["draining", "ready"] {
        bed.write("a", &entry(1_000, 50, 81, state));
        let server = Arc::clone(&bed.try_acquire().expect("the server is still used").server);
        assert_eq!(server.conns.address().port(), 82);
    }
}

/// Guards against sending requests to a draining server after a delayed report from before the
/// drain.
#[tokio::test]
async fn delayed_report_does_not_undo_draining() {
    let mut bed = Bed::new();
    bed.write("a", &entry(1_000, 5, 81, "ready"));
    bed.write("a", &entry(1_000, 7, 81, "draining"));
    assert!(bed.try_acquire().is_none());
    bed.write("a", &entry(1_000, 6, 81, "ready"));
    assert!(bed.try_acquire().is_none());
}

/// Guards against a delayed report listing a removed server again.
#[tokio::test]
async fn delayed_report_does_not_list_removed_server() {
    let mut bed = Bed::new();
    bed.write("a", &entry(2_000, 5, 81, "ready"));
    bed.remove("a");
    bed.write("a", &entry(1_000, 9, 81, "ready"));
    assert!(bed.try_acquire().is_none());
}

/// The machine's clock was set back before the server restarted, so that its reports look older
/// than those of the earlier process. They must be used once nothing has contradicted them for some
/// seconds.
#[tokio::test]
async fn server_with_clock_set_back_is_used_after_hold_time() {
    let mut bed = Bed::new();
    bed.write("a", &entry(9_000, 1, 81, "ready"));
    bed.write("a", &entry(3_000, 1, 82, "ready"));
    tokio::spawn(bed.dispatcher.clone().run());
    let until = std::time::Instant::now() + Duration::from_secs(9);
    while bed.try_acquire().is_some_and(|slot| slot.server.conns.address().port() != 82) {
        assert!(std::time::Instant::now() < until, "the server was never used");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against the in-flight requests that peers reported for an earlier start filling the slots
/// of the new one.
#[tokio::test]
async fn peer_load_of_earlier_start_is_ignored() {
    let mut bed = Bed::new();
    bed.write("a", &entry(1_000, 1, 81, "ready"));
    let before = bed.try_acquire().expect("a free slot").server.key;
    let row = ServerLoadRow { server_hash: before, in_flight: 4, slowdown_percent: 100 };
    let loads = ServerLoads { from: 7, rows: vec![row] };
    bed.dispatcher.record_peer_loads(&loads);
    assert_eq!(bed.free_slots(), 0);
    bed.write("a", &entry(2_000, 1, 81, "ready"));
    bed.dispatcher.record_peer_loads(&loads);
    assert!(bed.free_slots() >= 3);
}

/// Guards against using or panicking on values that another program writes below the servers' keys.
#[tokio::test]
async fn foreign_entries_name_no_server() {
    let foreign: [&[u8]; 10] = [
        b"",
        b"\xff\xfe\x00",
        b"not base64: Invalid symbol 33, offset 0.",
        b"7",
        b"{}",
        br#"{"service":"s","address":"127.0.0.1:83","zone":"z","slots":4,"state":"parked"}"#,
        br#"{"service":"s","address":"127.0.0.1:83","zone":"z","slots":"4","state":"ready"}"#,
        br#"{"service":"s","address":"127.0.0.1:83","zone":"z","slots":0,"state":"ready"}"#,
        br#"{"service":"s","address":"127.0.0.1:0","zone":"z","slots":4,"state":"ready"}"#,
        br#"{"service":"s","address":"host:83","zone":"z","slots":4,"state":"ready"}"#,
    ];
    let mut bed = Bed::new();
    bed.write("a", &entry(1_000, 1, 81, "ready"));
    let whole = bed.free_slots();
    for (number, value) in foreign.iter().enumerate() {
        bed.write(&format!("x{number}"), value);
    }
    assert_eq!((bed.dispatcher.servers().len(), bed.free_slots()), (1, whole));
    // Written over a server's entry, such a value removes the server until it writes its entry
    // again.
    bed.write("a", foreign[0]);
    assert_eq!(bed.free_slots(), 0);
    bed.write("a", &entry(1_000, 2, 81, "ready"));
    assert_eq!(bed.free_slots(), whole);
}

/// Guards against an instance that stops following the list, or uses a server at once or never, since a
/// number of an entry is larger than what is computed with it.
#[tokio::test]
async fn largest_numbers_name_no_server_or_do_no_harm() {
    let mut bed = Bed::new();
    bed.write("start", &entry(u64::MAX, u64::MAX, 81, "ready"));
    assert_eq!(bed.dispatcher.servers().len(), 1);
    let warmup = |warmup_ms: u64| {
        let mut value: serde_json::Value =
            serde_json::from_slice(&entry(1_000, 1, 82, "ready")).expect("JSON");
        value["warmup_ms"] = warmup_ms.into();
        value.to_string().into_bytes()
    };
    for too_long_ms in [u64::MAX, u64::MAX / 1_000, 86_400_001] {
        bed.write("warmup", &warmup(too_long_ms));
        assert_eq!(bed.dispatcher.servers().len(), 1, "{too_long_ms}");
    }
    bed.write("warmup", &warmup(86_400_000));
    assert_eq!(bed.dispatcher.servers().len(), 2);
}

/// Guards against requests whose head another writer extends: the name of an entry is sent to its server
/// in a header.
#[tokio::test]
async fn names_that_no_header_carries_name_no_server() {
    let mut bed = Bed::new();
    for unfit in ["", "a\nb", "a\r\nx: y", "a\0", "\u{1b}[a", "a\u{7f}", " a", "a ", "\ta"] {
        bed.write(unfit, &entry(1_000, 1, 81, "ready"));
        assert!(bed.dispatcher.servers().is_empty(), "{unfit:?}");
    }
    for (number, fit) in ["a&b", "a b", "a%0ab", "a\"b", "\u{e9}"].iter().enumerate() {
        bed.write(fit, &entry(1_000, 1, 81 + u16::try_from(number).expect("few"), "ready"));
        assert_eq!(bed.dispatcher.servers().len(), number + 1, "{fit:?}");
    }
}

/// Corrupted entries must neither cause a panic nor name a server that no valid entry names.
#[test]
fn corrupted_entries_name_no_unwritten_server() {
    common::property(1_500, |u| {
        let mut bed = Bed::new();
        for _ in 0..u.int_in_range(1..=20)? {
            let id = *u.choose(&["a", "b", "c"])?;
            let state = *u.choose(&["ready", "draining"])?;
            let mut value = entry(u.int_in_range(0..=3)?, u.int_in_range(0..=3)?, 81, state);
            match u.int_in_range(0..=3)? {
                0 => value.truncate(u.int_in_range(0..=value.len())?),
                1 => {
                    let at = u.int_in_range(0..=value.len() - 1)?;
                    value[at] = u8::arbitrary(u)?;
                }
                2 => bed.remove(id),
                _ => {}
            }
            bed.write(id, &value);
        }
        for server in bed.dispatcher.servers() {
            assert!(server.row.validate().is_ok());
            assert!(["a", "b", "c"].contains(&&*server.row.id));
        }
        Ok(())
    });
}

/// Guards against sending half of the requests to ids that no longer exist, when restarted servers
/// are listed twice at one address.
#[tokio::test]
async fn later_server_at_an_address_is_used() {
    let mut bed = Bed::new();
    bed.write("before", &entry(0, 1, 1, "ready"));
    bed.write("elsewhere", &entry(0, 1, 2, "draining"));
    bed.write("after", &entry(0, 1, 1, "ready"));
    let grants: Vec<Grant> = std::iter::from_fn(|| bed.try_acquire()).collect();
    assert!(!grants.is_empty() && grants.iter().all(|grant| &*grant.server.row.id == "after"));
    drop(grants);
    // The later entry was wrong: the server at the address responds under the first id.
    let server = bed.try_acquire().map(|grant| Arc::clone(&grant.server)).expect("a free slot");
    bed.dispatcher.unlist_displaced(&server);
    assert_eq!(&*bed.try_acquire().expect("a free slot").server.row.id, "before");
    bed.write("again", &entry(0, 1, 1, "ready"));
    bed.remove("again");
    assert_eq!(&*bed.try_acquire().expect("a free slot").server.row.id, "before");
}

/// Guards against excluding a server permanently after the later one listed at its address has
/// expired.
#[tokio::test]
async fn earlier_server_is_used_again_after_later_one_expires() {
    let mut bed = Bed::new();
    let running = tokio::spawn(bed.dispatcher.clone().run());
    bed.write("before", &entry(0, 1, 1, "ready"));
    bed.write("after", &entry(0, 1, 1, "ready"));
    bed.revision.number += 1;
    let event = ItemEvent::Removed { key: "servers/after".into(), revision: bed.revision };
    bed.mirror.apply(&[event], bed.revision, Duration::from_millis(50));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(&*bed.try_acquire().expect("a free slot").server.row.id, "before");
    running.abort();
}

/// Guards against choosing between two servers at one address by their order in a copy.
#[tokio::test]
async fn order_of_copied_entries_does_not_matter() {
    for number in 0..20 {
        let bed = Bed::new();
        let ids = [format!("a{number}"), format!("b{number}")];
        let item = |id: &str, revision| Item {
            key: format!("servers/{id}"),
            value: entry(0, 1, 1, "ready"),
            revision: Revision::new(0, revision),
        };
        bed.mirror.replace(
            &[item(&ids[1], 2), item(&ids[0], 1)],
            Revision::new(0, 2),
            Duration::ZERO,
        );
        assert_eq!(*bed.try_acquire().expect("a free slot").server.row.id, *ids[1]);
    }
}

/// Guards against sending requests to a server that has left: a restored store lists it again until
/// its entry expires.
#[tokio::test(start_paused = true)]
async fn removed_server_is_not_used_while_restored_store_lists_it() {
    /// An entry that is not renewed is removed before.
    const ENTRY_HELD: Duration = Duration::from_secs(5);
    let mut bed = Bed::new();
    let running = tokio::spawn(bed.dispatcher.clone().run());
    bed.write("a", &entry(1_000, 4, 81, "ready"));
    bed.remove("a");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let item = |sequence, number| Item {
        key: "servers/a".into(),
        value: entry(1_000, sequence, 81, "ready"),
        revision: Revision::new(1, number),
    };
    bed.mirror.replace(&[item(4, 1)], Revision::new(1, 1), Duration::ZERO);
    assert!(bed.try_acquire().is_none());
    // The server runs after all and reports anew.
    let event = ItemEvent::Written(item(5, 2));
    bed.mirror.apply(&[event], Revision::new(1, 2), Duration::ZERO);
    assert!(bed.try_acquire().is_some());
    tokio::time::sleep(ENTRY_HELD * 2).await;
    assert!(bed.try_acquire().is_some());
    running.abort();
}
