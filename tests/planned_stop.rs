//! Guarantee: a planned stop of an instance, backend server or the platform cuts off no request in
//! flight.

use std::time::Duration;

use standins::backend::BackendSettings;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::caller::Call;
use standins::caller::CallResult;
use standins::caller::Caller;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

/// Sends requests at a steady rate from callers that use each address list as long as they may;
/// returns every result that is not a complete answer.
fn spawn_steady_load(bed: &TestBed, service: &str, requests: usize) -> JoinHandle<Vec<CallResult>> {
    let callers: Vec<Caller> = (0..6).map(|at| bed.caller(service, at)).collect();
    tokio::spawn(async move {
        let mut work = JoinSet::new();
        for number in 0..requests {
            let caller = callers[number % callers.len()].clone();
            let method = if number % 2 == 0 { "GET" } else { "POST" };
            let call = Call {
                method: method.into(),
                ..Call::get("/x?bytes=300", &format!("{method}-{number}"))
            };
            work.spawn(async move { caller.call(&call).await });
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        work.join_all().await.into_iter().filter(|result| result.outcome() != "ran").collect()
    })
}

fn plan(instances: usize) -> TestBedPlan {
    let backend = BackendSettings { work_us: 5_000, ..BackendSettings::default() };
    TestBedPlan { instances, backend, ..TestBedPlan::default() }
}

/// Two instances stop at the same time and then a third, while callers still use the addresses that
/// they fetched before. Every request gets its answer.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_instances_cuts_off_and_refuses_nothing() {
    let mut bed = TestBed::start(plan(5)).await;
    bed.create_service("orders").await;
    let load = spawn_steady_load(&bed, "orders", 1_500);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let first = bed.daemons[0].take().expect("runs");
    let second = bed.daemons[1].take().expect("runs");
    tokio::join!(first.stop(), second.stop());
    let third = bed.daemons[2].take().expect("runs");
    third.stop().await;
    let faults = load.await.expect("the load ran");
    assert!(faults.is_empty(), "{} requests without a good answer: {:?}", faults.len(), faults[0]);
}

/// A backend server is drained, finishes its requests, and is then shut down. No request is lost.
#[tokio::test(flavor = "multi_thread")]
async fn draining_and_stopping_a_backend_server_loses_nothing() {
    let mut bed = TestBed::start(plan(3)).await;
    bed.create_service("orders").await;
    let load = spawn_steady_load(&bed, "orders", 800);
    tokio::time::sleep(Duration::from_millis(300)).await;
    bed.operator(1).set_drain("orders", "b0", true).await.expect("drained");
    bed.wait_until_applied("orders", 2).await;
    let record = std::sync::Arc::clone(&bed.backends[0].record);
    // Its requests take far less than this; it may be shut down only after they have finished.
    tokio::time::sleep(Duration::from_millis(700)).await;
    drop(bed.backends.remove(0));
    let ran = record.runs().len();
    let faults = load.await.expect("the load ran");
    assert!(faults.is_empty(), "{} requests without a good answer: {:?}", faults.len(), faults[0]);
    assert_eq!(record.runs().len(), ran);
}

/// The platform restarts under load, and an instance stops while the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn a_restart_of_the_platform_and_a_stop_in_the_middle_of_it_lose_nothing() {
    let mut bed = TestBed::start(plan(4)).await;
    bed.create_service("orders").await;
    let load = spawn_steady_load(&bed, "orders", 1_000);
    tokio::time::sleep(Duration::from_millis(200)).await;
    bed.stop_platform();
    let stopping = bed.daemons[3].take().expect("runs");
    stopping.stop().await;
    bed.start_platform().await;
    let faults = load.await.expect("the load ran");
    assert!(faults.is_empty(), "{} requests without a good answer: {:?}", faults.len(), faults[0]);
}

/// A request is in flight when its instance is stopped, and takes longer than callers may use an
/// address. Its answer must still arrive complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_outlives_the_address_lifetime_is_finished() {
    let mut bed = TestBed::start(plan(3)).await;
    bed.create_service("orders").await;
    for method in ["GET", "POST"] {
        let at = bed.daemons.iter().position(Option::is_some).expect("one runs");
        let address = bed.daemon(at).board().settings.listen.caller;
        let caller = bed.caller("orders", at);
        let call = Call {
            method: method.into(),
            ..Call::get("/x?bytes=300&work_us=1500000", &format!("long-{method}"))
        };
        let long = tokio::spawn(async move { caller.call_at(address, &call).await });
        standins::bed::wait_until("it is at a server", async || {
            bed.run_counts().contains_key(&format!("long-{method}"))
        })
        .await;
        bed.daemons[at].take().expect("runs").stop().await;
        let result = long.await.expect("no panic");
        assert_eq!(result.outcome(), "ran", "{method}: {result:?}");
    }
}

/// A caller's connection breaks while its order runs, and then the instance is stopped. The order
/// must finish, and its outcome must be handed over, because the caller repeats the order.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_disconnected_caller_is_finished_before_the_stop() {
    let mut bed = TestBed::start(plan(4)).await;
    bed.create_service("orders").await;
    let caller = bed.caller("orders", 0);
    let listed = caller.addresses().await;
    let owner = listed[0].address;
    let at = bed.caller_addresses().iter().position(|address| *address == owner).expect("known");
    let key = format!("{}-left", listed[0].key_prefix);
    let call = Call::post("/x?bytes=300&work_us=1500000", "left").with_key(&key);
    let leaving = tokio::time::timeout(Duration::from_millis(300), caller.call_at(owner, &call));
    assert!(leaving.await.is_err(), "the caller must leave in the middle");
    bed.daemons[at].take().expect("runs").stop().await;
    let repeat = bed.caller("orders", 1).call(&call).await;
    assert_eq!(repeat.outcome(), "ran", "{repeat:?}");
    assert_eq!(repeat.code(), 0);
    assert_eq!(bed.run_counts().get("left"), Some(&1));
}
