//! Promise: a backend server that is leaving receives no new work after a few seconds.

use std::sync::atomic::Ordering;
use std::time::Duration;

use standins::backend::Backend;
use standins::bed::Bed;
use standins::bed::BedPlan;
use standins::bed::until;
use standins::caller::Call;
use standins::caller::Caller;
use standins::platform::ListedMachine;
use tokio::task::JoinHandle;

/// A few seconds, as promised; on loopback each way takes far less.
const FEW_SECONDS: Duration = Duration::from_secs(5);

/// Lookups through all zones until it is dropped.
struct Steady(JoinHandle<()>);

impl Drop for Steady {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn steady(bed: &Bed, service: &str) -> Steady {
    let callers: Vec<Caller> = (0..3).map(|zone| bed.caller(service, zone)).collect();
    Steady(tokio::spawn(async move {
        for number in 0_usize.. {
            let caller = callers[number % 3].clone();
            tokio::spawn(async move {
                caller.call(&Call::get("/lookup", &format!("n-{number}"))).await
            });
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }))
}

/// Fewest requests that the others get while the leaving one gets none.
const OTHERS_MIN: usize = 150;

/// Waits until the server got nothing while the others got so much that its own share would have
/// been dozens, and tells how long after `since` its last work began.
async fn last_work(bed: &Bed, leaving: &Backend, since: tokio::time::Instant) -> Duration {
    let runs = |backend: &Backend| backend.record.runs().len();
    let all = || bed.backends.iter().map(runs).sum::<usize>();
    let mut seen = (runs(leaving), all());
    until("the leaving server gets nothing more", async || {
        if runs(leaving) != seen.0 {
            seen = (runs(leaving), all());
        }
        all() - seen.1 >= OTHERS_MIN
    })
    .await;
    let last = leaving.record.runs().last().map_or(since, |run| run.at);
    last.saturating_duration_since(since)
}

/// Story: an operator drains a server by a call, at an instance that is not its keeper.
#[tokio::test(flavor = "multi_thread")]
async fn drained_by_call() {
    let bed = Bed::start(BedPlan::default()).await;
    bed.create("catalogue").await;
    let load = steady(&bed, "catalogue");
    until("it works", async || !bed.backends[0].record.runs().is_empty()).await;
    let since = tokio::time::Instant::now();
    bed.operator(2).set_drain("catalogue", "b0", true).await.expect("drained");
    let took = last_work(&bed, &bed.backends[0], since).await;
    assert!(took < FEW_SECONDS, "{took:?}");
    println!("drained by call: last new work after {took:?}");
    bed.operator(1).set_drain("catalogue", "b0", false).await.expect("undrained");
    let before = bed.backends[0].record.runs().len();
    until("it gets work again", async || bed.backends[0].record.runs().len() > before).await;
    drop(load);
}

/// Story: a server says in its answers that it drains, with the store down and no probe allowed:
/// its own word must be enough, and it must last.
#[tokio::test(flavor = "multi_thread")]
async fn told_by_its_own_answer_with_the_store_down() {
    let mut bed = Bed::start(BedPlan::default()).await;
    bed.create("catalogue").await;
    bed.stop_platform();
    let load = steady(&bed, "catalogue");
    until("it works", async || !bed.backends[1].record.runs().is_empty()).await;
    let since = tokio::time::Instant::now();
    bed.backends[1].behaviour.draining.store(true, Ordering::Release);
    let took = last_work(&bed, &bed.backends[1], since).await;
    assert!(took < FEW_SECONDS, "{took:?}");
    println!("told by its own answer: last new work after {took:?}");
    drop(load);
}

/// Story: a server that left by its own word comes back. Probes within the budget find that out;
/// while it still says that it drains, they do not.
#[tokio::test(flavor = "multi_thread")]
async fn one_that_comes_back_is_found_by_probes_within_the_budget() {
    let bed = Bed::start(BedPlan::default()).await;
    let mut service = bed.service("catalogue");
    service.measuring_budget_per_s = 32;
    let revision = bed.put(0, &service, 0).await.expect("accepted");
    bed.until_in_force("catalogue", revision).await;
    let load = steady(&bed, "catalogue");
    let backend = &bed.backends[2];
    until("it works", async || !backend.record.runs().is_empty()).await;
    backend.behaviour.draining.store(true, Ordering::Release);
    last_work(&bed, backend, tokio::time::Instant::now()).await;
    let probed = backend.record.measuring().len();
    let before = backend.record.runs().len();
    until("it is probed while it leaves", async || backend.record.measuring().len() > probed + 1)
        .await;
    assert_eq!(backend.record.runs().len(), before, "a probe that says draining brings no work");
    backend.behaviour.draining.store(false, Ordering::Release);
    until("it gets work again", async || backend.record.runs().len() > before).await;
    drop(load);
}

/// Story: the platform's list says that a server leaves. The list lags, but is enough.
#[tokio::test(flavor = "multi_thread")]
async fn listed_as_leaving() {
    let bed = Bed::start(BedPlan::default()).await;
    bed.create("catalogue").await;
    let load = steady(&bed, "catalogue");
    let backend = &bed.backends[3];
    until("it works", async || !backend.record.runs().is_empty()).await;
    let since = tokio::time::Instant::now();
    let listed = |leaving| ListedMachine {
        id: "b3".into(),
        ip: "127.0.0.1".into(),
        port: backend.address().port(),
        zone: "burnaby".into(),
        leaving,
    };
    bed.state.set_list("backend-servers", vec![listed(true)]);
    let took = last_work(&bed, backend, since).await;
    assert!(took < FEW_SECONDS, "{took:?}");
    println!("listed as leaving: last new work after {took:?}");
    let before = backend.record.runs().len();
    bed.state.set_list("backend-servers", vec![listed(false)]);
    until("it gets work again", async || backend.record.runs().len() > before).await;
    drop(load);
}
