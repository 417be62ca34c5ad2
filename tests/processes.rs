//! Separate daemon processes that are killed, frozen and stopped by signals.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sorrelwick::operator::service_to_wire;
use standins::bed::ProcessFleet;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::bed::wait_until;
use standins::caller::Call;
use standins::caller::CallResult;
use standins::caller::Caller;
use tokio::task::JoinSet;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sorrelwickd");
const BODY_BYTES: usize = 100;

fn assert_no_double_runs(bed: &TestBed, replies: &HashMap<String, Vec<CallResult>>) {
    let counts = bed.run_counts();
    for (id, answers) in replies {
        let runs = counts.get(id).copied().unwrap_or(0);
        assert!(runs <= 1, "{id} ran {runs} times: {answers:?}");
        let denied = answers.last().is_some_and(|result| result.outcome() == "not-run");
        assert!(runs == 0 || !denied, "{id} ran and was reported as not-run: {answers:?}");
    }
}

/// Sends orders whose keys are owned by the instance at `at`, and repeats each at all others.
async fn send_and_repeat_orders(
    fleet: &ProcessFleet,
    at: usize,
    name: &str,
    count: usize,
) -> HashMap<String, Vec<CallResult>> {
    let addresses = fleet.caller_addresses();
    let caller = Caller::new("orders", "burnaby", &addresses);
    let named = caller.addresses().await;
    let target = addresses[at];
    let prefix = named.iter().find(|n| n.address == target).map(|n| n.key_prefix.clone());
    let prefix = prefix.expect("the instance is named");
    let mut work = JoinSet::new();
    for number in 0..count {
        let id = format!("{name}-{number}");
        let call = Call::post(&format!("/o?bytes={BODY_BYTES}&work_us=20000"), &id)
            .with_key(&format!("{prefix}-{id}"))
            .with_timeout_ms(2_000);
        let (caller, addresses) = (caller.clone(), addresses.clone());
        work.spawn(async move {
            tokio::time::sleep(Duration::from_millis(2 * number as u64)).await;
            let first = tokio::time::timeout(Duration::from_secs(4), caller.call_at(target, &call));
            let mut answers = vec![first.await.unwrap_or(CallResult::Broken)];
            for address in addresses.into_iter().filter(|address| *address != target) {
                answers.push(caller.call_at(address, &call).await);
            }
            (id, answers)
        });
    }
    work.join_all().await.into_iter().collect()
}

/// The instance that owns the keys of running requests is killed while the store goes down. Callers
/// repeat the requests at the other instances: none may run twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_kill_during_a_store_outage_runs_no_request_twice() {
    let mut fleet = ProcessFleet::start(Path::new(PROGRAM), TestBedPlan::default(), 4).await;
    fleet.create_service(&fleet.bed.service("orders")).await;
    let replies = {
        let sending = send_and_repeat_orders(&fleet, 1, "k", 60);
        tokio::pin!(sending);
        let early = tokio::time::timeout(Duration::from_millis(60), &mut sending).await;
        assert!(early.is_err(), "the kill must come in the middle");
        fleet.daemons[1].kill_now();
        fleet.bed.platform().switches.down.store(true, Ordering::Release);
        sending.await
    };
    assert_no_double_runs(&fleet.bed, &replies);
    let cut = replies.values().filter(|answers| answers[0].outcome() != "ran").count();
    assert!(cut > 0, "the kill must hit orders, or it shows nothing");
    wait_until("the others notice", async || fleet.alive_count_at(0).await == 3).await;
    assert!(fleet.daemons[1].exit_code().is_some());
}

/// An instance is frozen until the others declare it dead, and then resumes. Its requests are
/// repeated at the others in the meantime: none may run twice. Afterwards it must be alive again and
/// serve requests.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_frozen_until_declared_dead_runs_no_request_twice_and_rejoins() {
    let fleet = ProcessFleet::start(Path::new(PROGRAM), TestBedPlan::default(), 4).await;
    fleet.create_service(&fleet.bed.service("orders")).await;
    let sending = send_and_repeat_orders(&fleet, 2, "z", 40);
    tokio::pin!(sending);
    let early = tokio::time::timeout(Duration::from_millis(40), &mut sending).await;
    assert!(early.is_err(), "the freeze must come in the middle");
    fleet.daemons[2].freeze();
    wait_until("the others declare it dead", async || fleet.alive_count_at(0).await == 3).await;
    fleet.daemons[2].resume();
    let replies = sending.await;
    assert_no_double_runs(&fleet.bed, &replies);
    wait_until("it is alive again", async || {
        fleet.alive_count_at(0).await == 4 && fleet.alive_count_at(2).await == 4
    })
    .await;
    let replies = send_and_repeat_orders(&fleet, 2, "after", 10).await;
    assert_no_double_runs(&fleet.bed, &replies);
    let ran = replies.values().filter(|answers| answers[0].outcome() == "ran").count();
    assert_eq!(ran, 10, "{replies:?}");
}

/// An instance under steady load gets a second stop signal during its graceful shutdown. It must
/// exit with code 0 and cut off no request.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_stop_signal_cuts_off_no_request() {
    let mut fleet = ProcessFleet::start(Path::new(PROGRAM), TestBedPlan::default(), 4).await;
    fleet.create_service(&fleet.bed.service("orders")).await;
    let callers: Vec<Caller> = ["burnaby", "surrey", "richmond"]
        .iter()
        .map(|zone| Caller::new("orders", zone, &fleet.caller_addresses()))
        .collect();
    let load = tokio::spawn(async move {
        let mut work = JoinSet::new();
        for number in 0..800 {
            let caller = callers[number % 3].clone();
            let call = Call::post("/o?bytes=50&work_us=10000", &format!("t-{number}"));
            work.spawn(async move { caller.call(&call).await });
            tokio::time::sleep(Duration::from_millis(3)).await;
        }
        work.join_all().await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.daemons[0].terminate();
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.daemons[0].terminate();
    wait_until("it has ended", async || fleet.daemons[0].exit_code().is_some()).await;
    assert_eq!(fleet.daemons[0].exit_code(), Some(0));
    let replies = load.await.expect("the load ran");
    let faults: Vec<&CallResult> =
        replies.iter().filter(|result| result.outcome() != "ran").collect();
    assert!(faults.is_empty(), "{} of {}: {:?}", faults.len(), replies.len(), faults[0]);
    assert!(fleet.bed.run_counts().values().all(|count| *count == 1));
}

/// All instances are frozen for ten seconds while they have a probe budget. After they resume, they
/// must not send the probes missed in the meantime on top of the budget.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_process_does_not_burst_probes() {
    const BUDGET: u32 = 8;
    let mut plan = TestBedPlan::default();
    plan.measuring.shards = 4;
    let fleet = ProcessFleet::start(Path::new(PROGRAM), plan, 3).await;
    let mut service = fleet.bed.service("orders");
    service.measuring_budget_per_s = BUDGET;
    fleet.operator(0).put(&service_to_wire(&service), 0).await.expect("accepted");
    let seen = || {
        let backends = fleet.bed.backends.iter();
        backends.flat_map(|backend| backend.record.probe_times()).collect::<Vec<_>>()
    };
    wait_until("probes are sent", async || seen().len() > 10).await;
    for daemon in &fleet.daemons {
        daemon.freeze();
    }
    tokio::time::sleep(Duration::from_secs(10)).await;
    let before = seen().len();
    for daemon in &fleet.daemons {
        daemon.resume();
    }
    wait_until("probes go on", async || seen().len() > before + 16).await;
    let mut at = seen();
    at.sort_unstable();
    let second = Duration::from_secs(1);
    let most = (0..at.len())
        .map(|from| at[from..].iter().take_while(|t| **t - at[from] < second).count())
        .max()
        .unwrap_or(0);
    println!("budget {BUDGET}, most in a second {most}, in all {}", at.len());
    assert!(most <= BUDGET as usize, "{most} probes in a second");
}
