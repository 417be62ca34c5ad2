//! Backend servers that turn requests away and ask for rest.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sorrelwick::balance::SendOutcome;
use sorrelwick::balance::ServicePool;
use sorrelwick::balance::server_key;
use sorrelwick::model::ServerRow;
use sorrelwick::task::TaskGuard;
use standins::bed::Bed;
use standins::bed::BedPlan;
use standins::bed::until;
use standins::caller::Call;
use standins::routed::Behaviour;
use standins::routed::CONFIG_KEY;
use standins::routed::RawServer;
use standins::routed::RoutedBed;
use standins::routed::ask_now;
use standins::routed::ready_row;
use standins::routed::two_routes;

const REST: Duration = Duration::from_secs(3);
/// Requests that are under way when a server asks for rest have arrived by then.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Requests that a server bears in its time of rest.
const BORNE: usize = 2;

const MS: u64 = 1_000;

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

/// Pattern: all servers of a service rest. Callers wait in vain, or come back before anybody serves them.
#[test]
fn while_all_servers_rest_callers_are_told_when_the_first_is_back() {
    let mut pool = ServicePool::default();
    for (id, rest) in [("s0", REST), ("s1", REST / 2)] {
        pool.upsert_server(ready_row(id), 0).start_limits.start_cooldown(rest, 0);
    }
    assert!(pool.acquire_slot(1, &ask_now(MS), "z", MS, &mut || 0.5).is_none());
    let refused = pool.enqueue(1, ask_now(MS), MS).expect_err("nobody may begin on it in time");
    assert!(!refused.no_server);
    assert_eq!(refused.retry_after_ms, 1_499);
    let nearly_us = 1_400 * MS;
    pool.enqueue(2, ask_now(nearly_us), nearly_us).expect("one is back in time");
    let (_, choice) = pool.dispatch_queued("z", 1_501 * MS, &mut || 0.5).expect("it is back");
    assert_eq!(&*choice.server, "s1");
}

/// A request that was given a place before the server asked for rest is handed over all the same.
#[test]
fn a_server_that_begins_to_rest_after_the_choice_is_no_place_any_more() {
    let mut pool = ServicePool::default();
    pool.upsert_server(ready_row("s0"), 0);
    let (first, second) = (ask_now(MS), ask_now(MS));
    let choice = pool.acquire_slot(1, &first, "z", MS, &mut || 0.5).expect("room");
    pool.acquire_slot(2, &second, "z", MS, &mut || 0.5).expect("room");
    let key = server_key(&ready_row("s0"));
    assert!(!pool.is_worse("s0", key, &second, choice.expected_ms, 2 * MS));
    pool.finish_request("s0", 1, &first, SendOutcome::Refused, 2 * MS);
    pool.server_mut("s0").expect("listed").start_limits.start_cooldown(REST, 2 * MS);
    assert!(pool.is_worse("s0", key, &second, 10.0 * choice.expected_ms, 3 * MS));
}

/// A server that starts again under its id is left alone for the rest that its start before asked for.
#[test]
fn a_later_start_of_a_server_does_not_rest() {
    let mut pool = ServicePool::default();
    pool.upsert_server(ready_row("s0"), 0).start_limits.start_cooldown(REST, 0);
    pool.upsert_server(ServerRow { started_ms: 1, ..ready_row("s0") }, MS);
    assert!(pool.acquire_slot(1, &ask_now(2 * MS), "z", 2 * MS, &mut || 0.5).is_some());
}

/// At the product's own interface too, a server that turns requests away is sent to again at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_declared_server_that_asks_for_rest_gets_nothing_until_it_is_over() {
    let bed = Bed::start(BedPlan { backends: 2, ..BedPlan::default() }).await;
    bed.create("catalogue").await;
    let tired = &bed.backends[0];
    let caller = bed.caller("catalogue", 0);
    let rest_s = u32::try_from(REST.as_secs()).expect("some seconds");
    tired.behaviour.rest_s.store(rest_s, Ordering::Release);
    let calls = tokio::spawn(async move {
        for number in 0.. {
            caller.call(&Call::get("/lookup", &format!("n-{number}"))).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    until("it is used", async || !tired.record.turns_away().is_empty()).await;
    let asked_at = tired.record.turns_away()[0];
    tokio::time::sleep_until(asked_at + REST).await;
    let turned_away = tired.record.turns_away();
    let resting = turned_away.iter().filter(|at| **at > asked_at + UNDER_WAY);
    let arrived = resting.filter(|at| **at < asked_at + REST).count();
    assert!(arrived <= BORNE, "{arrived} in {REST:?} of rest");
    tired.behaviour.rest_s.store(0, Ordering::Release);
    let before = tired.record.runs().len();
    until("it is used again", async || tired.record.runs().len() > before).await;
    calls.abort();
}
