//! What instances send each other to pass a change on, in bytes.

use std::time::Duration;

use sorrelwick::gateway::Mirror;
use sorrelwick::gateway::Sink;
use sorrelwick::peer::FeedReply;
use sorrelwick::peer::PeerReply;
use sorrelwick::store::Item;

/// A change each 5.8 s (15,000 a day) within 5 KB a second for control.
const CHANGE_MAX_BYTES: usize = 29_000;
const ROUTES: usize = 1_944;

struct NoSink;

impl Sink for NoSink {
    fn written(&mut self, _: &Item) {}

    fn removed(&mut self, _: &str, _: Duration) {}
}

fn configuration(version: u64) -> Item {
    let routes: Vec<serde_json::Value> = (0..ROUTES)
        .map(|number| {
            serde_json::json!({
                "name": format!("r-{number:07x}"), "host": "shop.example",
                "prefix": format!("/p{:06x}/", number * 7_919), "kind": "idempotent",
                "timeout_ms": 1_500, "aim_ms": 600, "priority": 2, "attempts_max": 2,
                "service": "catalogue",
            })
        })
        .collect();
    let value = serde_json::json!({ "version": version, "routes": routes }).to_string();
    Item { key: "config".into(), value: value.into_bytes(), revision: version }
}

/// Shops are served by a route that was dropped five seconds before: the configuration had grown to
/// two thousand routes, and each change of it travels whole from a home to some fifty neighbours,
/// half a megabyte each, over links of 10 Mbit/s. Calls between instances give up after 0.8 s, so
/// that many of them began again and again.
#[tokio::test]
async fn a_change_of_a_large_configuration_travels_in_few_bytes() {
    let mirror = Mirror::new(NoSink);
    mirror.replace(&[configuration(1)], 1, Duration::ZERO);
    mirror.replace(&[configuration(2)], 2, Duration::ZERO);
    let (reply, age_ms) = mirror.serve(Some(1), Duration::ZERO).await;
    assert!(!matches!(reply, FeedReply::Unknown));
    let message = PeerReply::Feed { reply, age_ms };
    let bytes = sorrelwick::peer::encode(&message).len();
    assert!(bytes < CHANGE_MAX_BYTES, "{bytes} bytes for one change");
}
