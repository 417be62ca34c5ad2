//! Guarantee: a request that is answered `not-run` did not run.

use std::sync::atomic::Ordering;
use std::time::Duration;

use standins::backend::BackendSettings;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::caller::Call;
use standins::caller::CallResult;
use standins::caller::Caller;
use tokio::task::JoinSet;

/// Asserts that no backend server ran a request answered `not-run`; returns how many there were.
fn assert_not_run(bed: &TestBed, results: &[(String, CallResult)]) -> usize {
    let counts = bed.run_counts();
    let not_run = results.iter().filter(|(_, result)| result.outcome() == "not-run");
    let mut checked = 0;
    for (id, result) in not_run {
        assert!(!counts.contains_key(id), "{id} ran, but was answered not-run: {result:?}");
        checked += 1;
    }
    checked
}

async fn send_burst(callers: &[Caller], calls: Vec<Call>) -> Vec<(String, CallResult)> {
    let mut work = JoinSet::new();
    for (at, call) in calls.into_iter().enumerate() {
        let caller = callers[at % callers.len()].clone();
        work.spawn(async move { (call.id.clone(), caller.call(&call).await) });
    }
    work.join_all().await
}

fn orders(name: &str, count: usize, timeout_ms: u64) -> Vec<Call> {
    let order =
        |number| Call::post("/orders", &format!("{name}-{number}")).with_timeout_ms(timeout_ms);
    (0..count).map(order).collect()
}

/// Hundreds of orders reach a small service at the same time: some wait, some are rejected at once,
/// some reach their deadline in the queue. The critical case is a deadline that passes just as the
/// first byte is sent: a server must not have run an order that is answered `not-run`.
#[tokio::test(flavor = "multi_thread")]
async fn refused_and_late_requests_were_not_run() {
    let mut plan = TestBedPlan { backends: 2, ..TestBedPlan::default() };
    plan.backend = BackendSettings { work_us: 20_000, ..plan.backend };
    plan.requests.queue_max = 20;
    let bed = TestBed::start(plan).await;
    bed.create_service("orders").await;
    let callers: Vec<Caller> = (0..3).map(|zone| bed.caller("orders", zone)).collect();
    let mut results = Vec::new();
    for (turn, timeout_ms) in [5, 20, 40, 80, 3_000].into_iter().enumerate() {
        results.extend(send_burst(&callers, orders(&format!("t{turn}"), 200, timeout_ms)).await);
    }
    let not_run = assert_not_run(&bed, &results);
    assert!(not_run > 100, "requests must be rejected, or the test proves nothing: {not_run}");
    for (id, result) in &results {
        assert!(
            matches!(result, CallResult::Answered { .. }),
            "{id} got no final answer: {result:?}"
        );
        if let CallResult::Answered { outcome, retry_after_ms, .. } = result
            && outcome == "not-run"
        {
            assert!(*retry_after_ms > 0, "the answer to {id} has no retry time");
        }
    }
}

/// All backend servers are down. Every order must be answered `not-run`.
#[tokio::test(flavor = "multi_thread")]
async fn with_no_server_to_connect_to_nothing_runs() {
    let mut bed = TestBed::start(TestBedPlan { backends: 2, ..TestBedPlan::default() }).await;
    bed.create_service("orders").await;
    let caller = bed.caller("orders", 0);
    let kept = bed.backends.split_off(0);
    let records: Vec<_> = kept.iter().map(|b| std::sync::Arc::clone(&b.record)).collect();
    drop(kept);
    let results = send_burst(&[caller], orders("down", 20, 2_000)).await;
    assert!(records.iter().all(|record| record.runs().is_empty()));
    for (id, result) in results {
        assert_eq!(result.outcome(), "not-run", "{id}: {result:?}");
    }
}

/// The operator declares 503 to be a refusal. The 503 of an overloaded server then means `not-run`,
/// and the order may run once at another server.
#[tokio::test(flavor = "multi_thread")]
async fn a_declared_refusal_is_retried_and_reported_as_not_run() {
    let mut plan = TestBedPlan { backends: 3, instances: 1, ..TestBedPlan::default() };
    plan.backend = BackendSettings { slots: 1, work_us: 5_000, ..plan.backend };
    let bed = TestBed::start(plan).await;
    let mut service = bed.service("orders");
    for server in &mut service.backend_servers {
        // More slots are declared than the servers have, so that they reject requests.
        server.slots = 3;
    }
    let revision = bed.put_service(0, &service, 0).await.expect("accepted");
    bed.wait_until_applied("orders", revision).await;
    for backend in &bed.backends {
        backend.behaviour.shedding.store(true, Ordering::Release);
    }
    let results = send_burst(&[bed.caller("orders", 0)], orders("shed", 60, 5_000)).await;
    let not_run = assert_not_run(&bed, &results);
    assert!(not_run > 0, "servers must reject requests, or the test proves nothing");
    let counts = bed.run_counts();
    for (id, result) in results.iter().filter(|(_, result)| result.outcome() == "ran") {
        assert_eq!(counts.get(id), Some(&1), "{id}: {result:?}");
    }
}

/// A server runs an order, but its answer is lost. The outcome must be `unknown`, never `not-run`,
/// and the order must not be retried.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_unknown_and_not_repeated() {
    let bed = TestBed::start(TestBedPlan { backends: 3, ..TestBedPlan::default() }).await;
    bed.create_service("orders").await;
    for backend in &bed.backends {
        backend.behaviour.responses_to_drop.store(100, Ordering::Release);
    }
    let callers: Vec<Caller> = (0..3).map(|zone| bed.caller("orders", zone)).collect();
    let results = send_burst(&callers, orders("lost", 30, 5_000)).await;
    let counts = bed.run_counts();
    let unknown = results.iter().filter(|(_, result)| result.outcome() == "unknown").count();
    assert!(unknown >= 10, "answers must be lost, or the test proves nothing: {unknown}");
    assert_not_run(&bed, &results);
    for (id, _) in results {
        assert!(counts.get(&id).copied().unwrap_or(0) <= 1, "{id} ran twice");
    }
}

/// A lookup runs on a server whose answer is lost, and is retried on another server, which refuses
/// it. The last attempt did not run, but the first one did, so the answer must not be `not-run`.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_retry_does_not_hide_an_attempt_that_may_have_run() {
    let mut plan = TestBedPlan { backends: 2, instances: 1, ..TestBedPlan::default() };
    plan.backend = BackendSettings { slots: 1, work_us: 3_000, ..plan.backend };
    let bed = TestBed::start(plan).await;
    let mut service = bed.service("lookups");
    for server in &mut service.backend_servers {
        // More slots are declared than there are, so that the second server rejects requests.
        server.slots = 4;
    }
    let revision = bed.put_service(0, &service, 0).await.expect("accepted");
    bed.wait_until_applied("lookups", revision).await;
    bed.backends[0].behaviour.responses_to_drop.store(1_000, Ordering::Release);
    bed.backends[1].behaviour.shedding.store(true, Ordering::Release);
    bed.backends[1].behaviour.slow_factor.store(50, Ordering::Release);
    let lookups =
        (0..60).map(|n| Call::get("/l", &format!("l-{n}")).with_timeout_ms(4_000)).collect();
    let results = send_burst(&[bed.caller("lookups", 0)], lookups).await;
    assert_not_run(&bed, &results);
    let unknown = results.iter().filter(|(_, result)| result.outcome() == "unknown").count();
    assert!(unknown > 0, "answers must be lost, or the test proves nothing");
}

/// A caller cancels requests at different moments around their dispatch. Each runs at most once,
/// and no slot is leaked.
#[tokio::test(flavor = "multi_thread")]
async fn cancelling_around_dispatch_runs_nothing_twice_and_leaks_no_slot() {
    let mut plan = TestBedPlan { backends: 1, instances: 1, ..TestBedPlan::default() };
    plan.backend = BackendSettings { slots: 2, work_us: 3_000, ..plan.backend };
    let bed = TestBed::start(plan).await;
    bed.create_service("orders").await;
    for turn in 0..40 {
        let caller = bed.caller("orders", 0);
        let call = Call {
            method: if turn % 2 == 0 { "GET" } else { "POST" }.into(),
            ..Call::get("/x", &format!("c-{turn}"))
        };
        let _ = tokio::time::timeout(Duration::from_micros(300 * turn), caller.call(&call)).await;
    }
    let result = bed.caller("orders", 0).call(&Call::get("/after", "after")).await;
    assert_eq!(result.outcome(), "ran");
    let board = &bed.boards()[0];
    let state = board.services().get("orders").cloned().expect("in force");
    standins::bed::wait_until("all slots are back", async || {
        state.runtime.slot_queue.free_slots_and_waiting() == (2, 0)
    })
    .await;
    assert!(bed.run_counts().values().all(|count| *count == 1));
}

/// The only server of a service loses the answer to a lookup. The final answer is known at once:
/// the lookup must not wait until its deadline for another server.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_lookup_on_the_only_server_is_answered_at_once() {
    let bed =
        TestBed::start(TestBedPlan { backends: 1, instances: 1, ..TestBedPlan::default() }).await;
    bed.create_service("lookups").await;
    let caller = bed.caller("lookups", 0);
    bed.backends[0].behaviour.responses_to_drop.store(1, Ordering::Release);
    let since = std::time::Instant::now();
    let result = caller.call(&Call::get("/part", "only").with_timeout_ms(2_000)).await;
    assert_eq!(result.outcome(), "unknown", "{result:?}");
    assert!(since.elapsed().as_millis() < 400, "{:?}", since.elapsed());
}

/// A caller behind a forward proxy sends an absolute target. Its host names the service and takes
/// precedence over the `host` header.
#[tokio::test(flavor = "multi_thread")]
async fn an_absolute_target_names_the_service_by_its_own_host() {
    let bed =
        TestBed::start(TestBedPlan { backends: 1, instances: 1, ..TestBedPlan::default() }).await;
    bed.create_service("lookups").await;
    let to = bed.caller_addresses()[0];
    let line = "GET http://lookups/part?work_us=100";
    let answer = standins::routed::raw_call(to, line, &[("host", "other")], &[]).await;
    assert_eq!(answer.status, 200, "{}", answer.head);
}
