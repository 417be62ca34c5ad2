//! Backend servers that refuse requests and ask for a cooldown.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sorrelwick::balance::SendOutcome;
use sorrelwick::balance::ServicePool;
use sorrelwick::balance::server_key;
use sorrelwick::model::ServerRow;
use sorrelwick::task::TaskGuard;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::bed::wait_until;
use standins::caller::Call;
use standins::routed::Behaviour;
use standins::routed::CONFIG_KEY;
use standins::routed::GatewayFleet;
use standins::routed::RawServer;
use standins::routed::ready_row;
use standins::routed::spec_now;
use standins::routed::two_routes;

const COOLDOWN: Duration = Duration::from_secs(3);
/// Requests on the way to a server when it asks for a cooldown arrive within this time.
const IN_FLIGHT_TIME_MAX: Duration = Duration::from_millis(500);
/// Requests that a server tolerates in its cooldown.
const TOLERATED: usize = 2;

const MS: u64 = 1_000;

/// Callers at one instance, until dropped.
fn callers(bed: &Arc<GatewayFleet>, line: &'static str) -> Vec<TaskGuard> {
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

/// Guards against a server that refuses requests at once, looks idle, and gets more although it
/// asked for none.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_in_cooldown_gets_no_requests_until_it_is_over() {
    for (line, service) in [("GET /look/a", "parts"), ("POST /order/a", "orders")] {
        let bed = Arc::new(GatewayFleet::start(&["a"]).await);
        let (busy, other) = (RawServer::spawn("s1").await, RawServer::spawn("s2").await);
        bed.store.put(CONFIG_KEY, &two_routes(1));
        bed.store.put("servers/s1", &busy.entry(service, "a", 4, "ready"));
        bed.store.put("servers/s2", &other.entry(service, "a", 4, "ready"));
        bed.wait_until_ready().await;
        busy.set_retry_after(Some(COOLDOWN));
        busy.set_behaviour(Behaviour::Shed);
        let callers = callers(&bed, line);
        while busy.arrival_times().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let asked_at = busy.arrival_times()[0];
        tokio::time::sleep_until(asked_at + COOLDOWN).await;
        let arrived_at = busy.arrival_times();
        let in_cooldown = arrived_at.iter().filter(|at| **at > asked_at + IN_FLIGHT_TIME_MAX);
        let arrived = in_cooldown.filter(|at| **at < asked_at + COOLDOWN).count();
        assert!(arrived <= TOLERATED, "{arrived} in {COOLDOWN:?} of cooldown, {line}");
        let before = busy.ran_ids().len();
        busy.set_behaviour(Behaviour::Answer);
        tokio::time::sleep(COOLDOWN).await;
        assert!(busy.ran_ids().len() > before, "not used again after its cooldown: {line}");
        drop(callers);
    }
}

/// Guards against callers that wait in vain, or retry too early, while all servers of a service are
/// in cooldown.
#[test]
fn while_all_servers_are_in_cooldown_callers_are_told_when_the_first_is_back() {
    let mut pool = ServicePool::default();
    for (id, cooldown) in [("s0", COOLDOWN), ("s1", COOLDOWN / 2)] {
        pool.upsert_server(ready_row(id), 0).start_limits.start_cooldown(cooldown, 0);
    }
    assert!(pool.acquire_slot(1, &spec_now(MS), "z", MS, &mut || 0.5).is_none());
    let refused = pool.enqueue(1, spec_now(MS), MS).expect_err("no server may start it in time");
    assert!(!refused.no_server);
    assert_eq!(refused.retry_after_ms, 1_499);
    let nearly_us = 1_400 * MS;
    pool.enqueue(2, spec_now(nearly_us), nearly_us).expect("a server is back in time");
    let (_, choice) = pool.dispatch_queued("z", 1_501 * MS, &mut || 0.5).expect("s1 is back");
    assert_eq!(&*choice.server, "s1");
}

/// Guards against sending a request whose slot was acquired before its server asked for a cooldown.
#[test]
fn a_server_whose_cooldown_starts_after_selection_is_rejected() {
    let mut pool = ServicePool::default();
    pool.upsert_server(ready_row("s0"), 0);
    let (first, second) = (spec_now(MS), spec_now(MS));
    let choice = pool.acquire_slot(1, &first, "z", MS, &mut || 0.5).expect("room");
    pool.acquire_slot(2, &second, "z", MS, &mut || 0.5).expect("room");
    let key = server_key(&ready_row("s0"));
    assert!(!pool.is_worse("s0", key, &second, choice.expected_ms, 2 * MS));
    pool.finish_request("s0", 1, &first, SendOutcome::Refused, 2 * MS);
    pool.server_mut("s0").expect("listed").start_limits.start_cooldown(COOLDOWN, 2 * MS);
    assert!(pool.is_worse("s0", key, &second, 10.0 * choice.expected_ms, 3 * MS));
}

/// Guards against a restarted server that is still avoided because its previous start asked for a
/// cooldown.
#[test]
fn a_restarted_server_is_not_in_cooldown() {
    let mut pool = ServicePool::default();
    pool.upsert_server(ready_row("s0"), 0).start_limits.start_cooldown(COOLDOWN, 0);
    pool.upsert_server(ServerRow { started_ms: 1, ..ready_row("s0") }, MS);
    assert!(pool.acquire_slot(1, &spec_now(2 * MS), "z", 2 * MS, &mut || 0.5).is_some());
}

/// Guards against a declared server that refuses requests, asks for a cooldown and gets more at
/// once.
#[tokio::test(flavor = "multi_thread")]
async fn a_declared_server_in_cooldown_gets_no_requests_until_it_is_over() {
    let bed = TestBed::start(TestBedPlan { backends: 2, ..TestBedPlan::default() }).await;
    bed.create_service("catalogue").await;
    let busy = &bed.backends[0];
    let caller = bed.caller("catalogue", 0);
    let cooldown_s = u32::try_from(COOLDOWN.as_secs()).expect("some seconds");
    busy.behaviour.retry_after_s.store(cooldown_s, Ordering::Release);
    let calls = tokio::spawn(async move {
        for number in 0.. {
            caller.call(&Call::get("/lookup", &format!("n-{number}"))).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    wait_until("it is used", async || !busy.record.rejection_times().is_empty()).await;
    let asked_at = busy.record.rejection_times()[0];
    tokio::time::sleep_until(asked_at + COOLDOWN).await;
    let turned_away = busy.record.rejection_times();
    let in_cooldown = turned_away.iter().filter(|at| **at > asked_at + IN_FLIGHT_TIME_MAX);
    let arrived = in_cooldown.filter(|at| **at < asked_at + COOLDOWN).count();
    assert!(arrived <= TOLERATED, "{arrived} in {COOLDOWN:?} of cooldown");
    busy.behaviour.retry_after_s.store(0, Ordering::Release);
    let before = busy.record.runs().len();
    wait_until("it is used again", async || busy.record.runs().len() > before).await;
    calls.abort();
}
