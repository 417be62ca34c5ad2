//! Entries of the stores that name no service or instance, or under names with odd characters.

use std::sync::Arc;

use serde_json::Value;
use serde_json::json;
use sorrelwick::board::Blackboard;
use sorrelwick::catalog::SERVICES_PREFIX;
use sorrelwick::conf::PlatformSettings;
use sorrelwick::errors::Code;
use sorrelwick::gateway::Registry;
use sorrelwick::store::ConsulStore;
use sorrelwick::store::Roster;
use sorrelwick::store::Store;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::platform::ListedMachine;
use standins::platform::Platform;
use standins::platform::PlatformState;
use standins::routed::MemoryEventStore;
use standins::routed::PlainDialect;
use standins::routed::fleet_settings;

/// Guards against a change to another service than the one named, since a name in a path is read as
/// part of its syntax.
#[tokio::test(flavor = "multi_thread")]
async fn change_of_an_unknown_name_changes_no_other_service() {
    let bed = TestBed::start(TestBedPlan::default()).await;
    let service = bed.create_service("orders").await;
    let mut operator = bed.operator(0);
    for odd in ["?x", "#x", "&x", "%", "%2e", " ", "/../orders", "\n", "\u{e9}"] {
        let name = format!("orders{odd}");
        let drained = operator.set_drain(&name, "b0", true).await.expect_err(odd);
        assert_eq!(drained.code, Code::NotFound, "{odd:?}");
        let deleted = operator.delete(&name, 1).await.expect_err(odd);
        assert_eq!(deleted.code, Code::Conflict, "{odd:?}");
    }
    // The next change is the second one, and none was made meanwhile.
    assert_eq!(bed.put_service(0, &service, 1).await.expect("accepted"), 2);
}

/// Guards against an instance that finds no other one since entries of other writers fill the first page
/// of the list.
#[tokio::test]
async fn instances_beyond_the_first_page_are_found() {
    let store = MemoryEventStore::default();
    store.set_page_items(2);
    for name in ["a&b", "a b", "b\n", "c", "d"] {
        store.put(&format!("instances/{name}"), "an entry of another writer");
    }
    store.put("instances/no-port", "127.0.0.1:0");
    store.put("instances/i1", "127.0.0.1:9");
    let settings = fleet_settings("i2", "z", &["z"], &[]);
    let board = Arc::new(Blackboard::new(settings, 1));
    let registry = Registry::new(PlainDialect::default(), store, board);
    let listed = registry.instances().await.expect("the store answers");
    let addresses: Vec<String> = listed.iter().map(|row| row.address.to_string()).collect();
    assert_eq!(addresses, ["127.0.0.1:9"]);
}

/// The row of a service with one server in each of two places, with this value of one of its fields, or
/// of one of the servers' fields.
fn service_row(name: &str, field: &str, value: &Value) -> Value {
    let server = |id: &str, port: u16| {
        let address = format!("127.0.0.1:{port}");
        json!({ "id": id, "address": address, "zone": "burnaby", "slots": 4, "connections_max": 9 })
    };
    let servers = [server("b1", 81), server("b2", 82)];
    let mut service = json!({ "name": name, "backend_servers": servers });
    if service["backend_servers"][0].get(field).is_some() {
        service["backend_servers"][0][field] = value.clone();
        service["backend_servers"][1][field] = value.clone();
    } else {
        service[field] = value.clone();
    }
    json!({ "revision": 1, "change_id": uuid::Uuid::nil(), "service": service })
}

/// Guards against instances that stop following the services, or put one in force that no operator could
/// declare, since the row of another writer has a number out of range or an odd name.
#[tokio::test(flavor = "multi_thread")]
async fn odd_rows_of_services_are_not_in_force_and_hide_none() {
    let bed = TestBed::start(TestBedPlan::default()).await;
    let platform = bed.boards()[0].settings.platform.clone().expect("a platform");
    let store = ConsulStore::open(&platform);
    let mut latest = service_row("latest", "name", &json!("latest"));
    latest["revision"] = u64::MAX.into();
    let rows = [
        ("a&b", service_row("a&b", "name", &json!("a&b")).to_string()),
        ("a b", service_row("a", "name", &json!("a")).to_string()),
        ("line\nbreak", service_row("line\nbreak", "name", &json!("line\nbreak")).to_string()),
        ("nested", "[".repeat(200_000)),
        ("port", service_row("port", "address", &json!("127.0.0.1:70000")).to_string()),
        ("no-port", service_row("no-port", "address", &json!("127.0.0.1:0")).to_string()),
        ("slots", service_row("slots", "slots", &json!(u32::MAX)).to_string()),
        ("budget", service_row("budget", "measuring_budget_per_s", &json!(u32::MAX)).to_string()),
        ("path", service_row("path", "health_path", &json!("/a\r\nx: y")).to_string()),
        ("latest", latest.to_string()),
    ];
    for (name, value) in &rows {
        let key = format!("{SERVICES_PREFIX}{name}");
        assert_eq!(store.put_if(&key, value.as_bytes(), 0).await, Ok(true), "{name}");
    }
    bed.create_service("orders").await;
    for board in bed.boards() {
        let services = board.services();
        let in_force: Vec<&String> = services.keys().collect();
        assert_eq!(in_force, ["orders"]);
    }
}

/// Guards against an instance that finds no other one since one row of the list cannot be read.
#[tokio::test]
async fn odd_rows_of_machines_hide_no_other() {
    let state = PlatformState::default();
    let machine = |id: &str, ip: &str, port| ListedMachine {
        id: id.into(),
        ip: ip.into(),
        port,
        zone: "z".into(),
        leaving: false,
    };
    let machines = vec![
        machine("a", "127.0.0.1", 70_000),
        machine("b", "not an address", 1),
        machine("c", "127.0.0.1", 0),
        machine("i", "127.0.0.1", 9),
        machine("z", "127.0.0.1", u64::MAX),
    ];
    state.set_list("sorrelwick", machines);
    let platform = Platform::bind(([127, 0, 0, 1], 0).into(), state).await.expect("a free port");
    let settings = serde_json::from_value(json!({ "address": platform.address() }));
    let settings: PlatformSettings = settings.expect("settings");
    let listed = ConsulStore::open(&settings).instances().await.expect("the list is read");
    let ids: Vec<&str> = listed.iter().map(|row| row.id.as_str()).collect();
    assert_eq!(ids, ["i"]);
}
