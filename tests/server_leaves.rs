//! Backend servers that announce draining in their responses.

use std::sync::Arc;
use std::time::Duration;

use sorrelwick::task::TaskGuard;
use standins::routed::CONFIG_KEY;
use standins::routed::GatewayFleet;
use standins::routed::RawServer;
use standins::routed::two_routes;
use tokio::time::Instant;

/// Time after which no request may reach a server whose announcement an instance has forwarded.
const DRAIN: Duration = Duration::from_secs(2);

/// Callers of one instance, until dropped.
fn spawn_callers(bed: &Arc<GatewayFleet>) -> Vec<TaskGuard> {
    let caller = |_| {
        let bed = Arc::clone(bed);
        TaskGuard::spawn(async move {
            loop {
                bed.call(0, "GET /look/a", "id", &[]).await;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
    };
    (0..4).map(caller).collect()
}

/// One instance and two servers in use, one of which will drain.
struct Scene {
    bed: Arc<GatewayFleet>,
    draining: RawServer,
    _stays: RawServer,
    callers: Vec<TaskGuard>,
}

impl Scene {
    async fn start() -> Self {
        let bed = Arc::new(GatewayFleet::start(&["a"]).await);
        let (draining, stays) = (RawServer::spawn("s1").await, RawServer::spawn("s2").await);
        bed.store.put(CONFIG_KEY, &two_routes(1));
        bed.store.put("servers/s1", &draining.entry("parts", "a", 4, "ready"));
        bed.store.put("servers/s2", &stays.entry("parts", "a", 4, "ready"));
        bed.wait_until_ready().await;
        let callers = spawn_callers(&bed);
        until("both servers receive requests", || {
            !draining.ran_ids().is_empty() && !stays.ran_ids().is_empty()
        })
        .await;
        Self { bed, draining, _stays: stays, callers }
    }
}

async fn until(what: &str, reached: impl Fn() -> bool) {
    let by = Instant::now() + Duration::from_secs(5);
    while !reached() {
        assert!(Instant::now() < by, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against sending requests to a server that announced draining while the platform's list
/// still says that it is ready: such requests are lost.
#[tokio::test(flavor = "multi_thread")]
async fn announced_draining_overrides_listed_state() {
    let Scene { bed, draining, _stays, callers } = Scene::start().await;
    draining.announce_draining();
    let left_at = Instant::now();
    // A delayed report says that the server is ready.
    tokio::time::sleep(DRAIN / 2).await;
    bed.store.put("servers/s1", &draining.entry("parts", "a", 4, "ready"));
    tokio::time::sleep(DRAIN).await;
    let late = draining.arrival_times().iter().filter(|at| **at > left_at + DRAIN / 2).count();
    assert_eq!(late, 0, "the server received requests after it announced draining");
    // Another process at its address, under the same id, does not drain.
    let next = RawServer::spawn("s1").await;
    bed.store.put("servers/s1", &next.entry_started_at("parts", "a", 4, "ready", 1));
    until("the next start of the server receives requests", || !next.ran_ids().is_empty()).await;
    drop(callers);
}

/// Guards against using a draining server again when its entry expires and reappears, as after an
/// outage of the platform's store.
#[tokio::test(flavor = "multi_thread")]
async fn draining_is_remembered_when_entry_reappears() {
    let Scene { bed, draining, _stays, callers } = Scene::start().await;
    draining.announce_draining();
    tokio::time::sleep(DRAIN / 2).await;
    let known = draining.arrival_times().len();
    bed.store.remove("servers/s1");
    // The server has been removed by then.
    tokio::time::sleep(DRAIN).await;
    bed.store.put("servers/s1", &draining.entry("parts", "a", 4, "ready"));
    tokio::time::sleep(DRAIN / 2).await;
    assert_eq!(
        draining.arrival_times().len(),
        known,
        "the server received requests after it announced draining"
    );
    drop(callers);
}
