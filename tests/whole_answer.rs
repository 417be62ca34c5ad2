//! Every caller receives the complete response to its own request and no other.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use standins::backend::BackendSettings;
use standins::backend::body_for;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::caller::Call;
use standins::caller::CallResult;
use standins::caller::Caller;
use standins::load::LoadPlan;
use standins::load::run_load;

const LARGE_BYTES: usize = 300_000;

/// Guards against mixed-up or truncated responses while servers respond late and out of order, some
/// connections break midway and one server is slow.
#[tokio::test(flavor = "multi_thread")]
async fn responses_are_complete_and_reach_their_callers() {
    let bed = TestBed::start(TestBedPlan::default()).await;
    bed.create_service("catalogue").await;
    bed.backends[0].behaviour.bodies_to_truncate.store(30, Ordering::Release);
    bed.backends[1].behaviour.responses_to_drop.store(30, Ordering::Release);
    bed.backends[2].behaviour.slow_factor.store(20, Ordering::Release);
    let callers: Vec<Caller> = (0..3).map(|zone| bed.caller("catalogue", zone)).collect();
    let crowd = LoadPlan {
        requests: 1_500,
        rate_per_s: 1_000.0,
        body_max_bytes: 150_000,
        timeout_ms: 20_000,
        ..LoadPlan::default()
    };
    // A busy machine may not sustain this rate and may refuse requests, but must mix up none.
    let summary = run_load(&crowd, &callers).await;
    assert_eq!(summary.calls(), crowd.requests);
    assert_eq!(summary.mismatched, 0, "a response was truncated or reached the wrong caller");
    // At a rate that any machine sustains, nearly all requests succeed.
    let calm = LoadPlan { requests: 600, rate_per_s: 60.0, ..crowd };
    let summary = run_load(&calm, &callers).await;
    assert_eq!(summary.calls(), calm.requests);
    assert_eq!(summary.mismatched, 0, "a response was truncated or reached the wrong caller");
    assert!(summary.correct >= calm.requests * 9 / 10, "right: {}", summary.correct);
}

/// Guards against a truncated large response looking complete to the caller, as happens if a proxy
/// ends its own chunked response normally when the response that it forwards breaks.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_large_response_never_looks_complete() {
    let bed = TestBed::start(TestBedPlan { backends: 1, ..TestBedPlan::default() }).await;
    bed.create_service("portal").await;
    let target = format!("/list?bytes={LARGE_BYTES}&work_us=100");
    for (at, chunked) in [(0, false), (1, false), (2, false), (0, true), (1, true), (2, true)] {
        bed.backends[0].behaviour.truncate_chunked.store(chunked, Ordering::Release);
        let caller = bed.caller("portal", at);
        let whole = caller.call(&Call::get(&target, "whole")).await;
        assert_eq!(whole.body(), &body_for("whole", LARGE_BYTES)[..]);
        bed.backends[0].behaviour.bodies_to_truncate.store(1, Ordering::Release);
        let cut = caller.call(&Call::post(&target, "cut")).await;
        assert_eq!(cut, CallResult::Broken, "through instance {at}");
    }
}

/// Guards against a caller reading the rest of another caller's response, as happens if a backend
/// connection returns to the pool with unread data after the caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn disconnected_callers_response_reaches_no_other_caller() {
    let bed = TestBed::start(TestBedPlan { backends: 1, ..TestBedPlan::default() }).await;
    bed.create_service("portal").await;
    let caller = bed.caller("portal", 0);
    for turn in 0..20 {
        let slow =
            Call::get(&format!("/a?bytes={LARGE_BYTES}&work_us=20000"), &format!("left-{turn}"));
        let leaving = Caller::new("portal", "burnaby", &bed.caller_addresses());
        let wait = std::time::Duration::from_millis(5 + turn);
        let disconnected = tokio::time::timeout(wait, leaving.call(&slow)).await.is_err();
        let id = format!("next-{turn}");
        let told = caller.call(&Call::get("/b?bytes=500&work_us=100", &id)).await;
        assert_eq!(
            told.body(),
            &body_for(&id, 500)[..],
            "after a caller disconnected: {disconnected}"
        );
    }
}

/// Guards against a hedged request delivering two responses, or its late response reaching the next
/// caller.
#[tokio::test(flavor = "multi_thread")]
async fn late_hedged_response_reaches_no_caller() {
    let backend = BackendSettings { work_us: 2_000, ..BackendSettings::default() };
    let bed = TestBed::start(TestBedPlan { backend, ..TestBedPlan::default() }).await;
    bed.create_service("catalogue").await;
    for backend in &bed.backends[..2] {
        backend.behaviour.slow_factor.store(30, Ordering::Release);
    }
    let callers = [bed.caller("catalogue", 0), bed.caller("catalogue", 1)];
    let plan =
        LoadPlan { requests: 1_000, rate_per_s: 300.0, timeout_ms: 20_000, ..LoadPlan::default() };
    let summary = run_load(&plan, &callers).await;
    assert_eq!((summary.correct, summary.mismatched), (plan.requests, 0));
    let hedges: u64 =
        bed.boards().iter().map(|b| b.counters.get(sorrelwick::board::Counter::Hedges)).sum();
    assert!(hedges > 0, "no request was hedged, so the test shows nothing");
}

/// Sends an order to a server that answers with a part of a body after this head, and closes.
async fn order_answered_by(head: &'static str) -> CallResult {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut seen = [0; 4096];
            let _ = stream.read(&mut seen).await;
            let answer = format!("{head}\r\n\r\nhalf an answ");
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    let bed = TestBed::start(TestBedPlan { backends: 1, ..TestBedPlan::default() }).await;
    let mut service = bed.service("odd");
    service.backend_servers[0].address = address;
    let revision = bed.put_service(0, &service, 0).await.expect("accepted");
    bed.wait_until_applied("odd", revision).await;
    bed.caller("odd", 0).call(&Call { body: Bytes::from("x"), ..Call::post("/", "p") }).await
}

/// A response without a length ends when its connection closes, so a truncated one cannot be told
/// from a complete one. Guards against forwarding it: the outcome must be reported as unknown.
#[tokio::test(flavor = "multi_thread")]
async fn response_without_length_is_not_forwarded() {
    let told = order_answered_by("HTTP/1.1 200 OK").await;
    assert_eq!((told.outcome(), told.code()), ("unknown", 2202));
}

/// Guards against the same where the response has a transfer coding that does not end by itself.
#[tokio::test(flavor = "multi_thread")]
async fn response_that_is_coded_without_chunks_is_not_forwarded() {
    for coding in [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, gzip",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: identity",
    ] {
        let told = order_answered_by(coding).await;
        assert_eq!((told.outcome(), told.code()), ("unknown", 2202), "{coding}: {told:?}");
    }
}

/// Guards against callers that get as an answer what is none: a status that does not exist, or a field
/// whose name holds a blank or a control character.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_is_no_answer_is_not_forwarded() {
    for head in [
        "HTTP/1.1 000 OK\r\ncontent-length: 12",
        "HTTP/1.1 099 OK\r\ncontent-length: 12",
        "HTTP/1.1 200 OK\r\nodd name: 1\r\ncontent-length: 12",
        "HTTP/1.1 200 OK\r\nodd : 1\r\ncontent-length: 12",
        "HTTP/1.1 200 OK\r\nodd\u{1}: 1\r\ncontent-length: 12",
        "HTTP/1.1 200 OK\r\nodd\0: 1\r\ncontent-length: 12",
    ] {
        let told = order_answered_by(head).await;
        assert_eq!((told.outcome(), told.code()), ("unknown", 2201), "{head:?}: {told:?}");
    }
}

/// Guards against a slot that stays taken forever because its caller stopped reading: the deadline
/// was checked only while the response was read.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_stops_reading_releases_its_slot_at_the_deadline() {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;
    // More than the sockets buffer.
    const STREAMED_BYTES: usize = 24 << 20;
    let bed =
        TestBed::start(TestBedPlan { backends: 1, instances: 1, ..TestBedPlan::default() }).await;
    bed.create_service("portal").await;
    let to = bed.caller_addresses()[0];
    let mut stream = tokio::net::TcpStream::connect(to).await.expect("connected");
    let head = format!(
        "GET /list?bytes={STREAMED_BYTES}&work_us=100 HTTP/1.1\r\nhost: portal\r\n\
         sorrelwick-service: portal\r\nx-request-id: stopped\r\n\
         sorrelwick-timeout-ms: 3000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let begun = stream.read(&mut [0; 1_024]).await.expect("the response begins");
    assert!(begun > 0);
    let state = bed.boards()[0].services().get("portal").cloned().expect("in force");
    let free_slots = || state.runtime.slot_queue.free_slots_and_waiting().0;
    assert_eq!(free_slots(), 3);
    standins::bed::wait_until("the slot is released", async || free_slots() == 4).await;
}

/// A server sends half of a large response and then nothing. Guards against the caller waiting
/// forever or taking the half for the whole, and against the slot staying in use.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_large_response_ends_at_deadline() {
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
    let bed =
        TestBed::start(TestBedPlan { backends: 1, instances: 1, ..TestBedPlan::default() }).await;
    let mut service = bed.service("odd");
    service.backend_servers[0].address = address;
    let revision = bed.put_service(0, &service, 0).await.expect("accepted");
    bed.wait_until_applied("odd", revision).await;
    let told = bed.caller("odd", 0).call(&Call::post("/", "s").with_timeout_ms(300)).await;
    assert_eq!(told, CallResult::Broken);
    let state = bed.boards()[0].services().get("odd").cloned().expect("in force");
    standins::bed::wait_until("the slot is released", async || {
        state.runtime.slot_queue.free_slots_and_waiting().0 == 4
    })
    .await;
}
