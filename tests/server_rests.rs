//! Backend servers that turn requests away and ask for rest.

use std::sync::Arc;
use std::time::Duration;

use sorrelwick::task::TaskGuard;
use standins::routed::Behaviour;
use standins::routed::CONFIG_KEY;
use standins::routed::RawServer;
use standins::routed::RoutedBed;
use standins::routed::two_routes;

const REST: Duration = Duration::from_secs(3);
/// Requests that are under way when a server asks for rest have arrived by then.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Requests that a server bears in its time of rest.
const BORNE: usize = 2;

/// Callers at one instance, until dropped.
fn callers(bed: &Arc<RoutedBed>, line: &'static str) -> Vec<TaskGuard> {
    let caller = |_| {
        let bed = Arc::clone(bed);
        TaskGuard::spawn(async move {
            loop {
                bed.call(0, line, "id", &[]).await;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
    };
    (0..8).map(caller).collect()
}

/// A server that turns requests away at once looks idle, and is sent to again though it wants nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_asks_for_rest_gets_nothing_until_it_is_over() {
    for (line, service) in [("GET /look/a", "parts"), ("POST /order/a", "orders")] {
        let bed = Arc::new(RoutedBed::start(&["a"]).await);
        let (tired, well) = (RawServer::spawn("s1").await, RawServer::spawn("s2").await);
        bed.store.put(CONFIG_KEY, &two_routes(1));
        bed.store.put("servers/s1", &tired.entry(service, "a", 4, "ready"));
        bed.store.put("servers/s2", &well.entry(service, "a", 4, "ready"));
        bed.settle().await;
        tired.ask_rest(Some(REST));
        tired.behave(Behaviour::Shed);
        let callers = callers(&bed, line);
        while tired.arrived_at().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let asked_at = tired.arrived_at()[0];
        tokio::time::sleep_until(asked_at + REST).await;
        let arrived_at = tired.arrived_at();
        let resting = arrived_at.iter().filter(|at| **at > asked_at + UNDER_WAY);
        let arrived = resting.filter(|at| **at < asked_at + REST).count();
        assert!(arrived <= BORNE, "{arrived} in {REST:?} of rest, {line}");
        let before = tired.ran().len();
        tired.behave(Behaviour::Answer);
        tokio::time::sleep(REST).await;
        assert!(tired.ran().len() > before, "it is well, and is not used again: {line}");
        drop(callers);
    }
}
