//! A backend server that drains receives no new requests after a few seconds.

use std::sync::atomic::Ordering;
use std::time::Duration;

use standins::backend::Backend;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::bed::wait_until;
use standins::caller::Call;
use standins::caller::Caller;
use standins::platform::ListedMachine;
use tokio::task::JoinHandle;

/// Upper bound for the last new request; on loopback each way takes far less.
const FEW_SECONDS: Duration = Duration::from_secs(5);

/// Sends lookups through all zones until dropped.
struct BackgroundLoad(JoinHandle<()>);

impl Drop for BackgroundLoad {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn start_background_load(bed: &TestBed, service: &str) -> BackgroundLoad {
    let callers: Vec<Caller> = (0..3).map(|zone| bed.caller(service, zone)).collect();
    BackgroundLoad(tokio::spawn(async move {
        for number in 0_usize.. {
            let caller = callers[number % 3].clone();
            tokio::spawn(async move {
                caller.call(&Call::get("/lookup", &format!("n-{number}"))).await
            });
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }))
}

/// Minimum number of requests that the other servers receive while the draining one receives none.
const OTHERS_REQUESTS_MIN: usize = 150;

/// Waits until the draining server receives nothing while the others receive so many requests that
/// its share would have been dozens. Returns the time from `since` to its last request.
async fn time_to_last_request(
    bed: &TestBed,
    draining: &Backend,
    since: tokio::time::Instant,
) -> Duration {
    let runs = |backend: &Backend| backend.record.runs().len();
    let all = || bed.backends.iter().map(runs).sum::<usize>();
    let mut seen = (runs(draining), all());
    wait_until("the draining server receives no more requests", async || {
        if runs(draining) != seen.0 {
            seen = (runs(draining), all());
        }
        all() - seen.1 >= OTHERS_REQUESTS_MIN
    })
    .await;
    let last = draining.record.runs().last().map_or(since, |run| run.at);
    last.saturating_duration_since(since)
}

/// An operator drains a server through an instance that is not its keeper.
#[tokio::test(flavor = "multi_thread")]
async fn drained_by_operator() {
    let bed = TestBed::start(TestBedPlan::default()).await;
    bed.create_service("catalogue").await;
    let load = start_background_load(&bed, "catalogue");
    wait_until("the server receives requests", async || !bed.backends[0].record.runs().is_empty())
        .await;
    let since = tokio::time::Instant::now();
    bed.operator(2).set_drain("catalogue", "b0", true).await.expect("drained");
    let took = time_to_last_request(&bed, &bed.backends[0], since).await;
    assert!(took < FEW_SECONDS, "{took:?}");
    println!("drained by operator: last new request after {took:?}");
    bed.operator(1).set_drain("catalogue", "b0", false).await.expect("undrained");
    let before = bed.backends[0].record.runs().len();
    wait_until("the server receives requests again", async || {
        bed.backends[0].record.runs().len() > before
    })
    .await;
    drop(load);
}

/// A server announces draining in its responses, with the store down and no probes allowed. The
/// announcement alone must suffice, and must last.
#[tokio::test(flavor = "multi_thread")]
async fn announced_draining_suffices_with_store_down() {
    let mut bed = TestBed::start(TestBedPlan::default()).await;
    bed.create_service("catalogue").await;
    bed.stop_platform();
    let load = start_background_load(&bed, "catalogue");
    wait_until("the server receives requests", async || !bed.backends[1].record.runs().is_empty())
        .await;
    let since = tokio::time::Instant::now();
    bed.backends[1].behaviour.draining.store(true, Ordering::Release);
    let took = time_to_last_request(&bed, &bed.backends[1], since).await;
    assert!(took < FEW_SECONDS, "{took:?}");
    println!("announced by the server: last new request after {took:?}");
    drop(load);
}

/// A server that announced draining becomes available again. Probes within the budget discover
/// that, but not while the server still announces draining.
#[tokio::test(flavor = "multi_thread")]
async fn probes_find_a_server_that_is_available_again() {
    let bed = TestBed::start(TestBedPlan::default()).await;
    let mut service = bed.service("catalogue");
    service.measuring_budget_per_s = 32;
    let revision = bed.put_service(0, &service, 0).await.expect("accepted");
    bed.wait_until_applied("catalogue", revision).await;
    let load = start_background_load(&bed, "catalogue");
    let backend = &bed.backends[2];
    wait_until("the server receives requests", async || !backend.record.runs().is_empty()).await;
    backend.behaviour.draining.store(true, Ordering::Release);
    time_to_last_request(&bed, backend, tokio::time::Instant::now()).await;
    let probed = backend.record.probe_times().len();
    let before = backend.record.runs().len();
    wait_until("the server is probed while it drains", async || {
        backend.record.probe_times().len() > probed + 1
    })
    .await;
    assert_eq!(
        backend.record.runs().len(),
        before,
        "the server received requests although its probes report draining"
    );
    backend.behaviour.draining.store(false, Ordering::Release);
    wait_until("the server receives requests again", async || backend.record.runs().len() > before)
        .await;
    drop(load);
}

/// The platform's list marks a server as leaving. The list lags, but suffices.
#[tokio::test(flavor = "multi_thread")]
async fn listed_as_leaving() {
    let bed = TestBed::start(TestBedPlan::default()).await;
    bed.create_service("catalogue").await;
    let load = start_background_load(&bed, "catalogue");
    let backend = &bed.backends[3];
    wait_until("the server receives requests", async || !backend.record.runs().is_empty()).await;
    let since = tokio::time::Instant::now();
    let listed = |leaving| ListedMachine {
        id: "b3".into(),
        ip: "127.0.0.1".into(),
        port: backend.address().port().into(),
        zone: "burnaby".into(),
        leaving,
    };
    bed.state.set_list("backend-servers", vec![listed(true)]);
    let took = time_to_last_request(&bed, backend, since).await;
    assert!(took < FEW_SECONDS, "{took:?}");
    println!("listed as leaving: last new request after {took:?}");
    let before = backend.record.runs().len();
    bed.state.set_list("backend-servers", vec![listed(false)]);
    wait_until("the server receives requests again", async || backend.record.runs().len() > before)
        .await;
    drop(load);
}
