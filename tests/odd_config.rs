//! Configurations with numbers that are larger than what is computed with them.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standins::panics::count_panics;
use standins::routed::CONFIG_KEY;
use standins::routed::GatewayFleet;
use standins::routed::RawServer;
use standins::routed::two_routes;
use tokio::time::Instant;

const WAIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A configuration with the largest number in each of these fields.
fn with_largest(version: u64, fields: &[&str]) -> String {
    let mut document: Value = serde_json::from_str(&two_routes(version)).expect("JSON");
    for field in fields {
        *document.pointer_mut(field).unwrap_or_else(|| panic!("{field}")) = u64::MAX.into();
    }
    document.to_string()
}

/// Guards against requests that close without an answer since a time or limit of the configuration is
/// larger than what is computed with it.
#[tokio::test(flavor = "multi_thread")]
async fn largest_numbers_in_a_configuration_end_no_request() {
    let fleet = GatewayFleet::start(&["z"]).await;
    let server = RawServer::spawn("o1").await;
    fleet.list_server(&server, "o1", "orders", "z").await;
    let mut versions = vec![two_routes(0), with_largest(1, &["/routes/1/timeout_ms"])];
    versions.push(with_largest(2, &["/routes/1/aim_ms"]));
    versions.push(with_largest(3, &["/routes/1/timeout_ms", "/routes/1/aim_ms"]));
    for (number, limit) in
        ["header_timeout_ms", "idle_timeout_ms", "body_bytes_max", "header_bytes_max"]
            .iter()
            .enumerate()
    {
        let mut document: Value =
            serde_json::from_str(&two_routes(4 + number as u64)).expect("JSON");
        document["limits"] = json!({ *limit: u64::MAX });
        versions.push(document.to_string());
    }
    let mut split: Value = serde_json::from_str(&two_routes(8)).expect("JSON");
    split["routes"][1]["targets"] = json!([
        { "service": "orders", "weight": u32::MAX }, { "service": "orders", "weight": u32::MAX },
    ]);
    versions.push(split.to_string());
    let mut cold: Value = serde_json::from_str(&two_routes(9)).expect("JSON");
    cold["services"][1]["warmup_s"] = json!(1e15);
    cold["services"][1]["cold_per_s"] = json!(1e300);
    versions.push(cold.to_string());
    let panics = count_panics();
    for (at, config) in versions.iter().enumerate() {
        fleet.store.put(CONFIG_KEY, config);
        fleet.wait_until_ready().await;
        tokio::time::sleep(POLL_INTERVAL * 60).await;
        let until = Instant::now() + WAIT;
        loop {
            let response = fleet.call(0, "POST /order/a", "order", b"x").await;
            assert_ne!(response.status, 0, "{config}");
            let timeout = [("timeout-ms", "18446744073709551615")];
            let other = fleet.call_with(0, "POST /order/a", "order", &timeout).await;
            assert_ne!(other.status, 0, "{config}");
            if (response.status, other.status) == (200, 200) {
                break;
            }
            assert!(Instant::now() < until, "version {at}: {response:?}, {other:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        assert_eq!(panics.load(Ordering::SeqCst), 0, "{config}");
    }
}
