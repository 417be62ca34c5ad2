//! API keys and workspaces: which requests are served, as which workspace, and where keys must not
//! appear.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use sorrelwick::errors::Code;
use sorrelwick::gateway::RouteTable;
use sorrelwick::workspace::KeyAccess;
use sorrelwick::workspace::KeyHash;
use sorrelwick::workspace::redact_keys;
use standins::routed::CONFIG_KEY;
use standins::routed::GatewayFleet;
use standins::routed::RawServer;
use standins::routed::routes_with_workspaces;

const WAIT: Duration = Duration::from_secs(10);
const MILL_KEY: &str = "key-of-the-mill";
const FARM_KEY: &str = "key-of-the-farm";

fn two_workspaces() -> serde_json::Value {
    json!([
        { "name": "mill", "api_keys": [MILL_KEY], "priority": 1 },
        { "name": "farm", "api_keys": [FARM_KEY, "second-key-of-the-farm"] },
    ])
}

/// Starts one instance and a server for lookups.
async fn start_bed(workspaces: &serde_json::Value) -> (GatewayFleet, RawServer) {
    let bed = GatewayFleet::start(&["z"]).await;
    let parts = RawServer::spawn("p1").await;
    bed.store.put(CONFIG_KEY, &routes_with_workspaces(1, workspaces));
    bed.store.put("servers/p1", &parts.entry("parts", "z", 4, "ready"));
    bed.wait_until_ready().await;
    let until = Instant::now() + WAIT;
    while bed.call(0, "GET /open/a", "first", &[]).await.status != 200 {
        assert!(Instant::now() < until, "the route without keys is not served");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (bed, parts)
}

fn request_head(server: &RawServer, id: &str) -> String {
    let heads = server.request_heads();
    heads
        .into_iter()
        .find(|head| head.contains(&format!("request-id: {id}\r")))
        .expect("the server received the request")
}

fn read_routes(document: &serde_json::Value, before: Option<&RouteTable>) -> RouteTable {
    let redacted = redact_keys(document.to_string().into_bytes());
    RouteTable::parse(&redacted, before).expect("readable routes").table
}

fn key_access(table: &RouteTable, key: &str) -> Option<KeyAccess> {
    let workspaces = table.workspaces.as_ref().expect("workspaces are configured");
    workspaces.access(KeyHash::of(key.as_bytes())).cloned()
}

fn key_belongs_to(table: &RouteTable, key: &str, name: &str) -> bool {
    matches!(key_access(table, key), Some(KeyAccess::Granted(workspace)) if &*workspace.name == name)
}

/// Guards against a customer acting as another workspace by naming it in a header.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_workspace_comes_from_the_key_not_the_caller() {
    let (bed, parts) = start_bed(&two_workspaces()).await;
    let fields = [("api-key", MILL_KEY), ("workspace", "farm")];
    assert_eq!(bed.call_with(0, "GET /look/a", "r1", &fields).await.status, 200);
    let head = request_head(&parts, "r1");
    assert!(head.contains("workspace: mill\r"), "{head}");
    assert!(!head.contains("farm") && !head.contains(MILL_KEY), "{head}");
}

/// Guards against servers receiving keys on routes that need none.
#[tokio::test(flavor = "multi_thread")]
async fn keyless_route_forwards_neither_key_nor_workspace() {
    let (bed, parts) = start_bed(&two_workspaces()).await;
    let fields = [("api-key", MILL_KEY), ("workspace", "mill")];
    assert_eq!(bed.call_with(0, "GET /open/a", "r1", &fields).await.status, 200);
    let head = request_head(&parts, "r1");
    assert!(!head.contains("mill"), "{head}");
}

/// Guards against serving requests without a valid key, and against malformed keys that crash or
/// hang an instance.
#[tokio::test(flavor = "multi_thread")]
async fn request_without_exactly_one_valid_key_is_rejected() {
    let (bed, parts) = start_bed(&two_workspaces()).await;
    let long = "k".repeat(8_000);
    let cases: [&[(&str, &str)]; 6] = [
        &[],
        &[("api-key", "nobody's")],
        &[("api-key", "")],
        &[("api-key", long.as_str())],
        &[("api-key", "\u{fffd}\u{e9}")],
        &[("api-key", MILL_KEY), ("api-key", FARM_KEY)],
    ];
    for (number, fields) in cases.iter().enumerate() {
        let answer = bed.call_with(0, "GET /look/a", &format!("none-{number}"), fields).await;
        assert_eq!(answer.status, 401, "case {number}: {answer:?}");
        assert_eq!(answer.header("retry-after"), None);
    }
    assert!(parts.ran_ids().iter().all(|id| !id.starts_with("none-")));
}

/// Guards against plain-text keys in the memory of instances or in messages between them.
#[test]
fn redacted_configuration_contains_no_key() {
    let misplaced = json!([
        { "name": "mill", "api_keys": [MILL_KEY], "api_key": FARM_KEY, "rate_per_s": FARM_KEY },
        { "name": "farm", "api_keys": FARM_KEY },
        { "name": "gin", "api_keys": [[FARM_KEY]] },
        FARM_KEY,
    ]);
    let redacted = redact_keys(routes_with_workspaces(1, &misplaced).into_bytes());
    let text = String::from_utf8(redacted.clone()).expect("UTF-8");
    assert!(!text.contains(MILL_KEY) && !text.contains(FARM_KEY), "{text}");
    let read = RouteTable::parse(&redacted, None).expect("readable routes");
    assert_eq!(read.faults.len(), 4, "{:?}", read.faults);
    assert!(read.faults.iter().all(|fault| fault.code == Code::WorkspaceUnreadable));
    assert!(read.faults.iter().all(|fault| !fault.why.contains(FARM_KEY)), "{:?}", read.faults);
    let cut = &routes_with_workspaces(1, &two_workspaces()).into_bytes()[..700];
    assert!(
        redact_keys([cut, MILL_KEY.as_bytes()].concat()).is_empty(),
        "a truncated configuration may contain a key anywhere"
    );
}

/// Guards against one unreadable workspace making all others unusable.
#[test]
fn unreadable_workspace_does_not_affect_others() {
    let before: serde_json::Value =
        serde_json::from_str(&routes_with_workspaces(1, &two_workspaces())).expect("JSON");
    let table = read_routes(&before, None);
    let mut after = before.clone();
    after["workspaces"][0]["priority"] = "first".into();
    after["workspaces"][0]["api_keys"] = json!(["a new key"]);
    let table = read_routes(&after, Some(&table));
    assert!(key_belongs_to(&table, FARM_KEY, "farm"));
    assert!(
        key_belongs_to(&table, "a new key", "mill"),
        "its keys are readable, and the rest is kept from the version before"
    );
    assert_eq!(key_access(&table, MILL_KEY), None, "the key was revoked");
}

/// Guards against serving a key that was revoked in a version whose list of keys cannot be read.
#[test]
fn keys_of_an_unreadable_list_are_suspended() {
    let before: serde_json::Value =
        serde_json::from_str(&routes_with_workspaces(1, &two_workspaces())).expect("JSON");
    let table = read_routes(&before, None);
    let mut after = before;
    after["workspaces"][0]["api_keys"] = 7.into();
    let table = read_routes(&after, Some(&table));
    assert_eq!(key_access(&table, MILL_KEY), Some(KeyAccess::Suspended));
    assert!(key_belongs_to(&table, FARM_KEY, "farm"));
}

/// Guards against a malformed list of workspaces making all routes accessible without a key.
#[test]
fn malformed_workspace_list_grants_no_access() {
    for wrong in [json!(null), json!("mill"), json!({ "mill": [MILL_KEY] }), json!(7)] {
        let document = serde_json::from_str(&routes_with_workspaces(1, &wrong)).expect("JSON");
        let table = read_routes(&document, None);
        assert_eq!(key_access(&table, MILL_KEY), None, "{wrong}");
    }
}

/// Guards against running the requests of one customer as another.
#[test]
fn key_shared_by_two_workspaces_is_suspended() {
    let workspaces = json!([
        { "name": "mill", "api_keys": [MILL_KEY] },
        { "name": "farm", "api_keys": [MILL_KEY, FARM_KEY] },
        { "name": "gin", "api_keys": [MILL_KEY] },
    ]);
    let document = serde_json::from_str(&routes_with_workspaces(1, &workspaces)).expect("JSON");
    let table = read_routes(&document, None);
    assert_eq!(key_access(&table, MILL_KEY), Some(KeyAccess::Suspended));
    assert!(key_belongs_to(&table, FARM_KEY, "farm"));
}

/// Guards against instances that keep rejecting a new key, or keep accepting an old one, after the
/// configuration changed.
#[tokio::test(flavor = "multi_thread")]
async fn key_rotation_takes_effect_with_the_configuration() {
    let (bed, _parts) = start_bed(&two_workspaces()).await;
    let rotated = json!([{ "name": "mill", "api_keys": ["new-key-of-the-mill"] }]);
    bed.store.put(CONFIG_KEY, &routes_with_workspaces(2, &rotated));
    let until = Instant::now() + WAIT;
    let call = async |key| bed.call_with(0, "GET /look/a", "k", &[("api-key", key)]).await.status;
    while call("new-key-of-the-mill").await != 200 {
        let rejected = call("new-key-of-the-mill").await;
        assert!(Instant::now() < until, "the new key is still rejected with status {rejected}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!((call(MILL_KEY).await, call(FARM_KEY).await), (401, 401));
}
