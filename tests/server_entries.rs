//! Entries of backend servers: what names a server to use, and which start of it.

use std::sync::Arc;
use std::time::Duration;

use arbtest::arbitrary::Arbitrary;
use sorrelwick::balance::RequestSpec;
use sorrelwick::balance::RetryAllowance;
use sorrelwick::gateway::Dispatcher;
use sorrelwick::gateway::Grant;
use sorrelwick::gateway::Mirror;
use sorrelwick::gateway::ServerSink;
use sorrelwick::peer::ServerLoadRow;
use sorrelwick::peer::ServerLoads;
use sorrelwick::store::Item;
use sorrelwick::store::ItemEvent;
use standins::routed::PlainDialect;

mod common;

/// An instance's servers, and the copy of the store that lists them.
struct Bed {
    dispatcher: Dispatcher,
    mirror: Mirror<ServerSink<PlainDialect>>,
    revision: u64,
}

impl Bed {
    fn new() -> Self {
        let allowance = RetryAllowance { ratio: 0.2, window_us: 10_000_000, slack: 10.0 };
        let dispatcher = Dispatcher::new("z", allowance);
        let mirror = Mirror::new(ServerSink::new(PlainDialect::default(), dispatcher.clone()));
        Self { dispatcher, mirror, revision: 0 }
    }

    fn write(&mut self, id: &str, value: &[u8]) {
        self.revision += 1;
        let (key, revision) = (format!("servers/{id}"), self.revision);
        let event = ItemEvent::Written(Item { key, value: value.to_vec(), revision });
        self.mirror.apply(&[event], revision, Duration::ZERO);
    }

    fn remove(&mut self, id: &str) {
        self.revision += 1;
        let event = ItemEvent::Removed { key: format!("servers/{id}"), revision: self.revision };
        self.mirror.apply(&[event], self.revision, Duration::ZERO);
    }

    /// A slot, if one is free now.
    fn slot(&self) -> Option<Grant> {
        let ask = RequestSpec {
            route: "look".into(),
            workspace: None,
            priority: 1,
            target_ms: 500.0,
            arrived_us: sorrelwick::clock::now_us(),
            spent_before_us: 0,
            deadline_us: u64::MAX,
            tried_servers: smallvec::SmallVec::new(),
        };
        self.dispatcher.try_acquire_spare("s", &ask)
    }

    /// All slots that are free now.
    fn free(&self) -> usize {
        std::iter::from_fn(|| self.slot()).collect::<Vec<_>>().len()
    }
}

/// Entry of a start with four slots, of which three are used until the last is known to pay.
fn entry(started_ms: u64, sequence: u64, port: u16, state: &str) -> Vec<u8> {
    serde_json::json!({
        "service": "s", "address": format!("127.0.0.1:{port}"), "zone": "z", "slots": 4,
        "state": state, "started_ms": started_ms, "sequence": sequence,
    })
    .to_string()
    .into_bytes()
}

/// A server crashes with all of its slots in use and starts again under its id. Requests are
/// refused for want of a slot, although the new process has nothing to do.
#[tokio::test]
async fn a_server_that_starts_again_has_all_its_slots() {
    let mut bed = Bed::new();
    bed.write("a", &entry(1_000, 1, 81, "ready"));
    let held: Vec<Grant> = std::iter::from_fn(|| bed.slot()).collect();
    assert!(held.len() >= 3 && bed.slot().is_none());
    bed.write("a", &entry(2_000, 1, 81, "ready"));
    assert_eq!(bed.free(), held.len());
    // The end of what ran at the start before changes nothing of the new one.
    drop(held);
    assert!(bed.free() >= 3);
}

/// The same at another address: requests must not go to the old one.
#[tokio::test]
async fn a_server_that_starts_again_elsewhere_is_used_there() {
    let mut bed = Bed::new();
    bed.write("a", &entry(1_000, 9, 81, "ready"));
    let before = Arc::clone(&bed.slot().expect("a slot").server);
    bed.write("a", &entry(2_000, 1, 82, "ready"));
    let server = Arc::clone(&bed.slot().expect("a slot").server);
    assert_eq!(server.conns.address().port(), 82);
    // An answer that tells that another server has the old address says nothing of the new one.
    bed.dispatcher.unlist_displaced(&before);
    assert!(bed.slot().is_some());
}

/// The last word of the process before, held up on its way, says that the server leaves. The new
/// process gets no work for it.
#[tokio::test(start_paused = true)]
async fn a_late_word_of_the_start_before_changes_nothing() {
    let mut bed = Bed::new();
    bed.write("a", &entry(2_000, 1, 82, "ready"));
    for state in ["draining", "ready"] {
        bed.write("a", &entry(1_000, 50, 81, state));
        let server = Arc::clone(&bed.slot().expect("still used").server);
        assert_eq!(server.conns.address().port(), 82);
    }
}

/// A report of before the drain comes after it: the server that leaves would get work again.
#[tokio::test]
async fn a_late_report_does_not_take_a_drain_back() {
    let mut bed = Bed::new();
    bed.write("a", &entry(1_000, 5, 81, "ready"));
    bed.write("a", &entry(1_000, 7, 81, "draining"));
    assert!(bed.slot().is_none());
    bed.write("a", &entry(1_000, 6, 81, "ready"));
    assert!(bed.slot().is_none());
}

/// A late report lists a server again that was removed.
#[tokio::test]
async fn a_late_report_does_not_list_a_server_that_is_gone() {
    let mut bed = Bed::new();
    bed.write("a", &entry(2_000, 5, 81, "ready"));
    bed.remove("a");
    bed.write("a", &entry(1_000, 9, 81, "ready"));
    assert!(bed.slot().is_none());
}

/// The machine's clock was set back before the server started again: its reports look older than
/// those of the process before, and nobody contradicts them.
#[tokio::test]
async fn a_server_whose_clock_was_set_back_is_used_after_some_seconds() {
    let mut bed = Bed::new();
    bed.write("a", &entry(9_000, 1, 81, "ready"));
    bed.write("a", &entry(3_000, 1, 82, "ready"));
    tokio::spawn(bed.dispatcher.clone().run());
    let until = std::time::Instant::now() + Duration::from_secs(9);
    while bed.slot().is_some_and(|slot| slot.server.conns.address().port() != 82) {
        assert!(std::time::Instant::now() < until, "never used");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Homes tell each other what they have at each server. What they told of the start before must
/// not fill the slots of the new one.
#[tokio::test]
async fn what_peers_have_at_the_start_before_does_not_count() {
    let mut bed = Bed::new();
    bed.write("a", &entry(1_000, 1, 81, "ready"));
    let before = bed.slot().expect("a slot").server.key;
    let row = ServerLoadRow { server: before, in_flight: 4, pace_percent: 100 };
    let loads = ServerLoads { from: 7, rows: vec![row] };
    bed.dispatcher.record_peer_loads(&loads);
    assert_eq!(bed.free(), 0);
    bed.write("a", &entry(2_000, 1, 81, "ready"));
    bed.dispatcher.record_peer_loads(&loads);
    assert!(bed.free() >= 3);
}

/// Somebody else writes below the servers' keys: nothing of that is used, and the servers hold.
#[tokio::test]
async fn entries_of_another_writer_name_no_server() {
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
    let whole = bed.free();
    for (number, value) in foreign.iter().enumerate() {
        bed.write(&format!("x{number}"), value);
    }
    assert_eq!((bed.dispatcher.servers().len(), bed.free()), (1, whole));
    // Over the entry of a server, they name none until the server writes again.
    bed.write("a", foreign[0]);
    assert_eq!(bed.free(), 0);
    bed.write("a", &entry(1_000, 2, 81, "ready"));
    assert_eq!(bed.free(), whole);
}

/// A day of entries of which any may be spoiled: never a panic, and never a server that no whole
/// entry names.
#[test]
fn spoiled_entries_never_name_a_server_that_nobody_wrote() {
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
            assert!(server.row.check().is_ok());
            assert!(["a", "b", "c"].contains(&&*server.row.id));
        }
        Ok(())
    });
}

/// Servers that crashed and are back are listed twice, and half of the requests go to names that are gone.
#[tokio::test]
async fn of_two_servers_listed_at_one_address_the_later_one_is_used() {
    let mut bed = Bed::new();
    bed.write("before", &entry(0, 1, 1, "ready"));
    bed.write("elsewhere", &entry(0, 1, 2, "draining"));
    bed.write("after", &entry(0, 1, 1, "ready"));
    let grants: Vec<Grant> = std::iter::from_fn(|| bed.slot()).collect();
    assert!(!grants.is_empty() && grants.iter().all(|grant| &*grant.server.row.id == "after"));
    drop(grants);
    // Its entry was of a stranger: the address answers under the first name.
    let server = bed.slot().map(|grant| Arc::clone(&grant.server)).expect("a slot");
    bed.dispatcher.unlist_displaced(&server);
    assert_eq!(&*bed.slot().expect("a slot").server.row.id, "before");
    bed.write("again", &entry(0, 1, 1, "ready"));
    bed.remove("again");
    assert_eq!(&*bed.slot().expect("a slot").server.row.id, "before");
}

/// A server stays passed over for good after the later one at its address lapsed.
#[tokio::test]
async fn a_server_is_used_again_once_the_later_one_at_its_address_is_forgotten() {
    let mut bed = Bed::new();
    let running = tokio::spawn(bed.dispatcher.clone().run());
    bed.write("before", &entry(0, 1, 1, "ready"));
    bed.write("after", &entry(0, 1, 1, "ready"));
    bed.revision += 1;
    let event = ItemEvent::Removed { key: "servers/after".into(), revision: bed.revision };
    bed.mirror.apply(&[event], bed.revision, Duration::from_millis(50));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(&*bed.slot().expect("a slot").server.row.id, "before");
    running.abort();
}

/// Which of two servers at one address is used hangs on the order of a copy.
#[tokio::test]
async fn a_copy_in_any_order_names_the_later_server() {
    for number in 0..20 {
        let bed = Bed::new();
        let ids = [format!("a{number}"), format!("b{number}")];
        let item = |id: &str, revision| Item {
            key: format!("servers/{id}"),
            value: entry(0, 1, 1, "ready"),
            revision,
        };
        bed.mirror.replace(&[item(&ids[1], 2), item(&ids[0], 1)], 2, Duration::ZERO);
        assert_eq!(*bed.slot().expect("a slot").server.row.id, *ids[1]);
    }
}
