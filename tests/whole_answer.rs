//! Promise: every caller gets the whole answer to its own request, and no one else's.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use standins::backend::BackendSettings;
use standins::backend::body_for;
use standins::bed::Bed;
use standins::bed::BedPlan;
use standins::caller::Call;
use standins::caller::Caller;
use standins::caller::Told;
use standins::load::LoadPlan;
use standins::load::run_load;

const LARGE_BYTES: usize = 300_000;

/// Story: shops at three counters look parts up at once. Servers answer late and out of order,
/// some connections break halfway, and one server is slow. Each shop must read its own part's
/// data, whole, or be told that it got none.
#[tokio::test(flavor = "multi_thread")]
async fn answers_are_whole_and_the_callers_own_while_servers_cut_them() {
    let bed = Bed::start(BedPlan::default()).await;
    bed.create("catalogue").await;
    bed.backends[0].behaviour.cut_bodies.store(30, Ordering::Release);
    bed.backends[1].behaviour.lose_answers.store(30, Ordering::Release);
    bed.backends[2].behaviour.slow_factor.store(20, Ordering::Release);
    let callers: Vec<Caller> = (0..3).map(|zone| bed.caller("catalogue", zone)).collect();
    let crowd = LoadPlan {
        requests: 1_500,
        rate_per_s: 1_000.0,
        body_max_bytes: 150_000,
        timeout_ms: 20_000,
        ..LoadPlan::default()
    };
    // A busy machine does not carry this rate and refuses some, but mixes up none.
    let summary = run_load(&crowd, &callers).await;
    assert_eq!(summary.calls(), crowd.requests);
    assert_eq!(summary.wrong, 0, "somebody got another's or a partial answer");
    // At a rate that any machine carries, nearly all are answered.
    let calm = LoadPlan { requests: 600, rate_per_s: 60.0, ..crowd };
    let summary = run_load(&calm, &callers).await;
    assert_eq!(summary.calls(), calm.requests);
    assert_eq!(summary.wrong, 0, "somebody got another's or a partial answer");
    assert!(summary.right >= calm.requests * 9 / 10, "right: {}", summary.right);
}

/// Story: an adviser downloads a large comparables list; the server dies in the middle of it.
/// The list must not look complete. Cause: a proxy that ends its own chunked answer normally
/// when the answer it passes on breaks.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_cut_short_never_looks_whole() {
    let bed = Bed::start(BedPlan { backends: 1, ..BedPlan::default() }).await;
    bed.create("portal").await;
    let target = format!("/list?bytes={LARGE_BYTES}&work_us=100");
    for (at, chunked) in [(0, false), (1, false), (2, false), (0, true), (1, true), (2, true)] {
        bed.backends[0].behaviour.cut_chunked.store(chunked, Ordering::Release);
        let caller = bed.caller("portal", at);
        let whole = caller.call(&Call::get(&target, "whole")).await;
        assert_eq!(whole.body(), &body_for("whole", LARGE_BYTES)[..]);
        bed.backends[0].behaviour.cut_bodies.store(1, Ordering::Release);
        let cut = caller.call(&Call::post(&target, "cut")).await;
        assert_eq!(cut, Told::Broken, "through instance {at}");
    }
}

/// Story: a caller hangs up on a slow answer and the next caller uses the same instance. It must
/// not read the rest of the first one's answer. Cause: a backend connection that goes back to
/// the pool with an answer still on it.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_midway_leaves_nothing_behind() {
    let bed = Bed::start(BedPlan { backends: 1, ..BedPlan::default() }).await;
    bed.create("portal").await;
    let caller = bed.caller("portal", 0);
    for turn in 0..20 {
        let slow =
            Call::get(&format!("/a?bytes={LARGE_BYTES}&work_us=20000"), &format!("left-{turn}"));
        let leaving = Caller::new("portal", "burnaby", &bed.caller_addresses());
        let patience = std::time::Duration::from_millis(5 + turn);
        let left = tokio::time::timeout(patience, leaving.call(&slow)).await.is_err();
        let id = format!("next-{turn}");
        let told = caller.call(&Call::get("/b?bytes=500&work_us=100", &id)).await;
        assert_eq!(told.body(), &body_for(&id, 500)[..], "after a caller left: {left}");
    }
}

/// Story: a lookup's first server is slow, a second is asked as well, and both answer. The
/// caller must get one whole answer, and the late one must not reach the next caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_second_answer_reaches_nobody() {
    let backend = BackendSettings { work_us: 2_000, ..BackendSettings::default() };
    let bed = Bed::start(BedPlan { backend, ..BedPlan::default() }).await;
    bed.create("catalogue").await;
    for backend in &bed.backends[..2] {
        backend.behaviour.slow_factor.store(30, Ordering::Release);
    }
    let callers = [bed.caller("catalogue", 0), bed.caller("catalogue", 1)];
    let plan =
        LoadPlan { requests: 1_000, rate_per_s: 300.0, timeout_ms: 20_000, ..LoadPlan::default() };
    let summary = run_load(&plan, &callers).await;
    assert_eq!((summary.right, summary.wrong), (plan.requests, 0));
    let hedges: u64 =
        bed.boards().iter().map(|b| b.counters.get(sorrelwick::board::Counter::Hedges)).sum();
    assert!(hedges > 0, "the scene must hedge, or it shows nothing");
}

/// Story: a backend server ends its answer by closing the connection and sends no length. Half
/// an answer then looks like a whole one to everybody. It is told to be unknown instead.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_whose_end_cannot_be_told_is_not_passed_on() {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut seen = [0; 4096];
            let _ = stream.read(&mut seen).await;
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf an answ").await;
        }
    });
    let bed = Bed::start(BedPlan { backends: 1, ..BedPlan::default() }).await;
    let mut service = bed.service("odd");
    service.backend_servers[0].address = address;
    let revision = bed.put(0, &service, 0).await.expect("accepted");
    bed.until_in_force("odd", revision).await;
    let told =
        bed.caller("odd", 0).call(&Call { body: Bytes::from("x"), ..Call::post("/", "p") }).await;
    assert_eq!((told.outcome(), told.code()), ("unknown", 2202));
}

/// Story: a server sends the first half of a large list and then nothing, for ever. The caller
/// must not wait for ever, nor take the half for the whole, and the slot must come back.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_that_stops_in_the_middle_ends_with_its_deadline() {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut held = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut seen = [0; 4096];
            let _ = stream.read(&mut seen).await;
            let start = format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BYTES}\r\n\r\nhalf");
            let _ = stream.write_all(start.as_bytes()).await;
            held.push(stream);
        }
    });
    let bed = Bed::start(BedPlan { backends: 1, instances: 1, ..BedPlan::default() }).await;
    let mut service = bed.service("odd");
    service.backend_servers[0].address = address;
    let revision = bed.put(0, &service, 0).await.expect("accepted");
    bed.until_in_force("odd", revision).await;
    let told = bed.caller("odd", 0).call(&Call::post("/", "s").within_ms(300)).await;
    assert_eq!(told, Told::Broken);
    let state = bed.boards()[0].services().get("odd").cloned().expect("in force");
    standins::bed::until("the slot is back", async || {
        state.runtime.slot_queue.free_slots_and_waiting().0 == 4
    })
    .await;
}
