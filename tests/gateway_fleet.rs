//! Several instances on one store: changes of the configuration reach all of them, whichever the
//! store serves.

use std::time::Duration;
use std::time::Instant;

use standins::routed::CONFIG_KEY;
use standins::routed::GatewayFleet;
use standins::routed::RawServer;
use standins::routed::StoreFault;
use standins::routed::two_routes;

/// Time limit for applying a change, from its acknowledgement by the store.
const APPLY_MAX: Duration = Duration::from_secs(2);
/// Time after which no instance reads the store for its start any more, not even the last reader in
/// turn.
const START_MAX: Duration = Duration::from_secs(1);
const ZONES: [&str; 6] = ["a", "a", "b", "b", "c", "c"];

fn without_order(version: u64) -> String {
    let mut config: serde_json::Value = serde_json::from_str(&two_routes(version)).expect("JSON");
    config["routes"].as_array_mut().expect("routes").remove(1);
    config.to_string()
}

/// Waits until every instance of `asked` answers a removed route with 404; returns how long it
/// took.
async fn until_dropped(bed: &GatewayFleet, asked: &[usize], since: Instant) -> Duration {
    for at in asked {
        while bed.call(*at, "POST /order/a", "dropped", &[]).await.status != 404 {
            assert!(since.elapsed() < APPLY_MAX * 3, "instance {at} still has the route");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    since.elapsed()
}

async fn fleet() -> GatewayFleet {
    let bed = GatewayFleet::start(&ZONES).await;
    bed.store.put(CONFIG_KEY, &two_routes(1));
    bed.wait_until_ready().await;
    bed
}

#[tokio::test(flavor = "multi_thread")]
async fn change_is_applied_everywhere_with_few_store_callers() {
    let bed = fleet().await;
    tokio::time::sleep(START_MAX).await;
    let before: Vec<u64> =
        bed.store_clients.iter().map(standins::routed::MemoryEventStore::calls).collect();
    let since = Instant::now();
    bed.store.put(CONFIG_KEY, &without_order(2));
    let took = until_dropped(&bed, &[0, 1, 2, 3, 4, 5], since).await;
    assert!(took < APPLY_MAX, "{took:?}");
    let after = bed.store_clients.iter().map(standins::routed::MemoryEventStore::calls);
    let called = after.zip(&before).filter(|(after, before)| after > *before).count();
    assert!(called <= 3, "{called} instances called the store");
}

/// Guards against relying on rejected watchers: the store rejects all watchers, and the other
/// instances trust their outdated data.
#[tokio::test(flavor = "multi_thread")]
async fn served_instances_do_not_rely_on_rejected_watchers() {
    for fault in [StoreFault::Busy, StoreFault::Silent] {
        let bed = fleet().await;
        for watching in [0, 2, 4] {
            bed.store_clients[watching].set_fault(fault);
        }
        let since = Instant::now();
        bed.store.put(CONFIG_KEY, &without_order(2));
        let took = until_dropped(&bed, &[1, 3, 5], since).await;
        assert!(took < APPLY_MAX, "{fault:?}: {took:?}");
    }
}

/// Instances that the store rejects learn of a change from the others.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_instance_learns_changes_from_peers() {
    let bed = fleet().await;
    bed.store_clients[0].set_fault(StoreFault::Busy);
    bed.store_clients[1].set_fault(StoreFault::Silent);
    let since = Instant::now();
    bed.store.put(CONFIG_KEY, &without_order(2));
    let took = until_dropped(&bed, &[0, 1], since).await;
    assert!(took < APPLY_MAX, "{took:?}");
}

/// Guards against restoring a removed route: a late answer with an old version arrives after a
/// newer one.
#[tokio::test(flavor = "multi_thread")]
async fn config_version_never_regresses() {
    let bed = fleet().await;
    bed.store.put(CONFIG_KEY, &without_order(5));
    until_dropped(&bed, &[0, 1, 2, 3, 4, 5], Instant::now()).await;
    bed.store.put(CONFIG_KEY, &two_routes(4));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    for at in 0..ZONES.len() {
        assert_eq!(bed.call(at, "POST /order/a", "old", &[]).await.status, 404, "instance {at}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_history_triggers_snapshot() {
    let bed = fleet().await;
    for view in &bed.store_clients {
        view.set_fault(StoreFault::Busy);
    }
    let server = RawServer::spawn("p1").await;
    bed.store.put("servers/p1", &server.entry("parts", "a", 4, "ready"));
    bed.store.put(CONFIG_KEY, &without_order(2));
    bed.store.compact_history();
    for view in &bed.store_clients {
        view.set_fault(StoreFault::None);
    }
    let since = Instant::now();
    until_dropped(&bed, &[0, 1, 2, 3, 4, 5], since).await;
    // Servers are synced separately from the configuration and may arrive later.
    while bed.call(0, "GET /look/a", "served", &[]).await.status != 200 {
        assert!(since.elapsed() < APPLY_MAX, "the server is still unknown");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Callers are directed to the homes of their zone, and to another instance once a home is dead.
#[tokio::test(flavor = "multi_thread")]
async fn address_answers_name_homes_and_omit_dead_instances() {
    let mut bed = fleet().await;
    let home = bed.board(2).settings.listen.caller;
    for at in 0..ZONES.len() {
        assert_eq!(bed.addresses(at, "b").await, [home]);
    }
    let next = bed.board(3).settings.listen.caller;
    bed.instances.remove(2).kill();
    let since = Instant::now();
    while bed.addresses(0, "b").await != [next] {
        assert!(since.elapsed() < Duration::from_secs(5), "the dead home is still named");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against refusing all callers of a zone when its home restarts during a store outage: it
/// ranks first again at once, and waited for the store although each neighbour has the
/// configuration.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_home_learns_from_peers_during_store_outage() {
    let mut bed = fleet().await;
    let server = RawServer::spawn("p1").await;
    bed.store.put("servers/p1", &server.entry("parts", "a", 4, "ready"));
    while bed.call(1, "GET /look/a", "before", &[]).await.status != 200 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    bed.instances.remove(0).kill();
    bed.add_with_store_fault("i0", "a", &ZONES, StoreFault::Silent).await;
    let restarted = bed.instances.len() - 1;
    let since = Instant::now();
    while bed.call(restarted, "GET /look/a", "after", &[]).await.status != 200 {
        assert!(
            since.elapsed() < Duration::from_millis(600),
            "the restarted home still has no configuration"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
