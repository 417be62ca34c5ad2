//! Backend servers that say in their answers that they leave.

use std::sync::Arc;
use std::time::Duration;

use sorrelwick::task::TaskGuard;
use standins::routed::CONFIG_KEY;
use standins::routed::RawServer;
use standins::routed::RoutedBed;
use standins::routed::two_routes;
use tokio::time::Instant;

/// Requests that callers send later than this after an instance passed on the word do not reach a
/// server that leaves.
const DRAIN: Duration = Duration::from_secs(2);

/// Callers at one instance, until dropped.
fn callers(bed: &Arc<RoutedBed>) -> Vec<TaskGuard> {
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

/// One instance and two servers in use, of which one is to leave.
struct Scene {
    bed: Arc<RoutedBed>,
    leaving: RawServer,
    _stays: RawServer,
    callers: Vec<TaskGuard>,
}

impl Scene {
    async fn start() -> Self {
        let bed = Arc::new(RoutedBed::start(&["a"]).await);
        let (leaving, stays) = (RawServer::spawn("s1").await, RawServer::spawn("s2").await);
        bed.store.put(CONFIG_KEY, &two_routes(1));
        bed.store.put("servers/s1", &leaving.entry("parts", "a", 4, "ready"));
        bed.store.put("servers/s2", &stays.entry("parts", "a", 4, "ready"));
        bed.settle().await;
        let callers = callers(&bed);
        until("both are used", || !leaving.ran().is_empty() && !stays.ran().is_empty()).await;
        Self { bed, leaving, _stays: stays, callers }
    }
}

async fn until(what: &str, reached: impl Fn() -> bool) {
    let by = Instant::now() + Duration::from_secs(5);
    while !reached() {
        assert!(Instant::now() < by, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The platform's list does not tell in time that a server leaves, and what it gets then is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_says_that_it_leaves_gets_nothing_more_whatever_is_listed() {
    let Scene { bed, leaving, _stays, callers } = Scene::start().await;
    leaving.leave();
    let left_at = Instant::now();
    // A report that was on its way says that it is ready.
    tokio::time::sleep(DRAIN / 2).await;
    bed.store.put("servers/s1", &leaving.entry("parts", "a", 4, "ready"));
    tokio::time::sleep(DRAIN).await;
    let late = leaving.arrived_at().iter().filter(|at| **at > left_at + DRAIN / 2).count();
    assert_eq!(late, 0, "it got requests after it had said that it leaves");
    // Another process at its address, under the same id, does not leave.
    let next = RawServer::spawn("s1").await;
    bed.store.put("servers/s1", &next.entry_of_start("parts", "a", 4, "ready", 1));
    until("its next start is used", || !next.ran().is_empty()).await;
    drop(callers);
}

/// The entry of a server that leaves lapses and comes back, as after an outage of the platform's store, and
/// the server is taken for one that stays.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_leaves_is_not_forgotten_to_leave_when_its_entry_comes_back() {
    let Scene { bed, leaving, _stays, callers } = Scene::start().await;
    leaving.leave();
    tokio::time::sleep(DRAIN / 2).await;
    let known = leaving.arrived_at().len();
    bed.store.remove("servers/s1");
    // By then it is forgotten.
    tokio::time::sleep(DRAIN).await;
    bed.store.put("servers/s1", &leaving.entry("parts", "a", 4, "ready"));
    tokio::time::sleep(DRAIN / 2).await;
    assert_eq!(
        leaving.arrived_at().len(),
        known,
        "it got requests after it had said that it leaves"
    );
    drop(callers);
}
