//! Forwards requests over real sockets and checks that responses are complete and reach the right
//! caller, that requests run at most once unless idempotent, that refusals are true, and that final
//! replies are immediate.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sorrelwick::gateway::MemoryBudget;
use standins::routed::Behaviour;
use standins::routed::CONFIG_KEY;
use standins::routed::GatewayFleet;
use standins::routed::LARGE_BYTES;
use standins::routed::RawServer;
use standins::routed::raw_call;
use standins::routed::two_routes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

const WAIT: Duration = Duration::from_secs(10);

/// Starts one instance and one server for each service.
async fn start_one_of_each() -> (GatewayFleet, RawServer, RawServer) {
    let bed = GatewayFleet::start(&["z"]).await;
    let parts = RawServer::spawn("p1").await;
    let orders = RawServer::spawn("o1").await;
    bed.store.put(CONFIG_KEY, &two_routes(1));
    bed.store.put("servers/p1", &parts.entry("parts", "z", 4, "ready"));
    bed.store.put("servers/o1", &orders.entry("orders", "z", 4, "ready"));
    bed.wait_until_ready().await;
    until_served(&bed, "GET /look/a").await;
    until_served(&bed, "POST /order/a").await;
    (bed, parts, orders)
}

async fn until_served(bed: &GatewayFleet, line: &str) {
    let until = Instant::now() + WAIT;
    while bed.call(0, line, "first", &[]).await.status != 200 {
        assert!(Instant::now() < until, "{line} is not served");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until a newly listed server receives lookups.
async fn until_used(bed: &GatewayFleet, server: &RawServer) {
    let until = Instant::now() + WAIT;
    while server.ran_ids().is_empty() {
        assert!(Instant::now() < until, "the new server receives no requests");
        bed.call(0, "GET /look/a", "warm", &[]).await;
    }
}

fn run_count(server: &RawServer, id: &str) -> usize {
    server.ran_ids().iter().filter(|ran| *ran == id).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn forwards_complete_response_with_signature() {
    let (bed, _, orders) = start_one_of_each().await;
    let response = bed.call(0, "POST /order/x?y=%20z", "r1", b"body of the order").await;
    assert_eq!((response.status, response.body.as_slice()), (200, b"r1".as_slice()));
    assert_eq!(response.header("signature"), Some("s-r1"));
    assert_eq!(response.header("request-id"), Some("r1"));
    let head = orders.request_heads().pop().expect("the server received the request");
    assert!(head.starts_with("POST /order/x?y=%20z HTTP/1.1"), "{head}");
    assert!(head.contains("expected-server: o1") && head.contains("timeout-ms: 11"), "{head}");
}

#[tokio::test(flavor = "multi_thread")]
async fn forwards_chunked_and_close_delimited_bodies() {
    let (bed, parts, _) = start_one_of_each().await;
    for behaviour in [Behaviour::AnswerInChunks, Behaviour::AnswerByClose] {
        parts.set_behaviour(behaviour);
        let response = bed.call(0, "GET /look/a", "r2", &[]).await;
        assert_eq!(
            (response.status, response.body.as_slice()),
            (200, b"r2".as_slice()),
            "{behaviour:?}"
        );
    }
}

/// Guards against a caller receiving another caller's response. A faulty server sends a response
/// twice, and the duplicate arrives where the next response on the connection is expected.
#[tokio::test(flavor = "multi_thread")]
async fn duplicate_response_is_not_taken_for_the_next() {
    let (bed, _, orders) = start_one_of_each().await;
    orders.set_behaviour(Behaviour::AnswerTwice);
    for number in 0..20 {
        let id = format!("twice-{number}");
        let response = bed.call(0, "POST /order/a", &id, &[]).await;
        assert_eq!((response.status, response.body.as_slice()), (200, id.as_bytes()));
        assert_eq!(run_count(&orders, &id), 1);
    }
}

/// Guards against an order that runs although its caller is told that it did not, or that runs
/// twice: the rejection of a health check has no id, and its duplicate, which arrives where the
/// response to the order is expected, says that the order was not run.
#[tokio::test(flavor = "multi_thread")]
async fn duplicate_rejection_of_a_health_check_is_not_taken_for_a_refusal() {
    let (bed, _, orders) = start_one_of_each().await;
    orders.reject_health_checks_twice(true);
    let until = Instant::now() + Duration::from_secs(5);
    let mut refused = Vec::new();
    for number in 0.. {
        let id = format!("order-{number}");
        let response = bed.call(0, "POST /order/a", &id, &[]).await;
        assert!(run_count(&orders, &id) <= 1, "{id} ran twice");
        if response.status == 503 {
            refused.push(id);
        }
        if Instant::now() > until {
            break;
        }
    }
    assert!(!orders.ran_ids().is_empty());
    for id in refused {
        assert_eq!(run_count(&orders, &id), 0, "{id} ran, and its caller was told otherwise");
    }
}

/// Guards against the rest of a request body being read as the next request, after the server
/// responded before reading the whole body and the connection was reused.
#[tokio::test(flavor = "multi_thread")]
async fn connection_with_unsent_body_is_not_reused() {
    let (bed, _, orders) = start_one_of_each().await;
    orders.set_behaviour(Behaviour::AnswerEarly);
    let long = vec![b'x'; 900_000];
    for number in 0..5 {
        let id = format!("early-{number}");
        let response = bed.call(0, "POST /order/a", &id, &long).await;
        assert_eq!((response.status, response.body.as_slice()), (200, id.as_bytes()));
        assert_eq!(run_count(&orders, &id), 1);
    }
    let heads = orders.request_heads();
    assert!(heads.iter().all(|head| head.starts_with("POST /order/")), "{heads:?}");
}

/// Guards against running an order twice: the server runs it, the response is lost, and the gateway
/// retries.
#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_request_with_lost_response_is_not_retried() {
    let (bed, _, orders) = start_one_of_each().await;
    let second = RawServer::spawn("o2").await;
    bed.store.put("servers/o2", &second.entry("orders", "z", 4, "ready"));
    for behaviour in
        [Behaviour::Close, Behaviour::Truncate, Behaviour::Garble, Behaviour::Unavailable]
    {
        orders.set_behaviour(behaviour);
        second.set_behaviour(behaviour);
        let id = format!("{behaviour:?}");
        let response = bed.call(0, "POST /order/a", &id, &[]).await;
        assert_eq!(response.status, 502, "{behaviour:?}");
        assert_eq!(response.header("signature"), None);
        assert_eq!(run_count(&orders, &id) + run_count(&second, &id), 1, "{behaviour:?}");
    }
}

/// Guards against returning an error for an idempotent request that another server could have
/// answered.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_with_lost_response_is_retried() {
    let (bed, parts, _) = start_one_of_each().await;
    let sound = RawServer::spawn("p2").await;
    bed.store.put("servers/p2", &sound.entry("parts", "z", 4, "ready"));
    until_used(&bed, &sound).await;
    for behaviour in [Behaviour::Close, Behaviour::Truncate, Behaviour::Garble, Behaviour::Fail] {
        parts.set_behaviour(behaviour);
        for number in 0..4 {
            let id = format!("{behaviour:?}-{number}");
            let response = bed.call(0, "GET /look/a", &id, &[]).await;
            assert_eq!((response.status, response.body.as_slice()), (200, id.as_bytes()), "{id}");
        }
    }
}

/// A refusal with proof that the order did not run allows another server to run it, once.
#[tokio::test(flavor = "multi_thread")]
async fn order_refused_with_proof_runs_once_elsewhere() {
    let (bed, _, orders) = start_one_of_each().await;
    orders.set_behaviour(Behaviour::Shed);
    let refused = bed.call(0, "POST /order/a", "shed", &[]).await;
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some_and(|text| text.parse::<f64>().is_ok()));
    assert!(orders.ran_ids().iter().all(|id| id != "shed"));
    let second = RawServer::spawn("o2").await;
    bed.store.put("servers/o2", &second.entry("orders", "z", 4, "ready"));
    until_served(&bed, "POST /order/a").await;
    let response = bed.call(0, "POST /order/a", "again", &[]).await;
    assert_eq!(response.status, 200);
    assert_eq!(run_count(&second, "again"), 1);
}

/// Guards against a caller waiting until its own deadline after the route's timeout has passed.
#[tokio::test(flavor = "multi_thread")]
async fn replies_immediately_at_route_timeout() {
    let (bed, _, orders) = start_one_of_each().await;
    orders.set_behaviour(Behaviour::Silent);
    let began = Instant::now();
    let response = bed.call(0, "POST /order/a", "silent", &[]).await;
    assert_eq!(response.status, 504);
    let took = began.elapsed();
    assert!((1_150..1_700).contains(&took.as_millis()), "{took:?}");
}

/// Guards against a server continuing to work for a caller that has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_cancelled_when_caller_disconnects() {
    let (bed, parts, _) = start_one_of_each().await;
    parts.set_work_time(Duration::from_secs(1));
    let call = bed.call(0, "GET /look/a", "left", &[]);
    assert!(tokio::time::timeout(Duration::from_millis(200), call).await.is_err());
    let until = Instant::now() + WAIT;
    while parts.cancelled() == 0 {
        assert!(Instant::now() < until, "the server is still working");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a starting instance rejecting valid requests permanently because it has no
/// configuration yet.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_retryable_without_configuration() {
    let bed = GatewayFleet::start(&["z"]).await;
    assert_eq!(bed.readiness(0).await, 503);
    let response = bed.call(0, "GET /look/a", "early", &[]).await;
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    bed.store.put(CONFIG_KEY, &two_routes(1));
    bed.wait_until_ready().await;
    assert_eq!(bed.call(0, "GET /other/", "late", &[]).await.status, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_or_removed_server_receives_no_requests() {
    let (bed, parts, _) = start_one_of_each().await;
    let other = RawServer::spawn("p2").await;
    bed.store.put("servers/p2", &other.entry("parts", "z", 4, "ready"));
    bed.store.put("servers/p1", &parts.entry("parts", "z", 4, "draining"));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = parts.ran_ids().len();
    for number in 0..20 {
        let response = bed.call(0, "GET /look/a", &format!("drain-{number}"), &[]).await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(parts.ran_ids().len(), before);
    bed.store.remove("servers/p2");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(bed.call(0, "GET /look/a", "none", &[]).await.status, 503);
}

/// Guards against losing a request that is in flight when its instance is told to stop.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_serves_in_flight_and_late_requests() {
    let (mut bed, _, orders) = start_one_of_each().await;
    orders.set_work_time(Duration::from_millis(600));
    let to = bed.board(0).settings.listen.caller;
    let fields = [("host", "shop.example"), ("request-id", "stopping")];
    let call =
        tokio::spawn(
            async move { standins::routed::raw_call(to, "POST /order/a", &fields, &[]).await },
        );
    tokio::time::sleep(Duration::from_millis(100)).await;
    let stopped = tokio::spawn(bed.instances.remove(0).stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let late = [("host", "shop.example"), ("request-id", "after")];
    let after = standins::routed::raw_call(to, "POST /order/a", &late, &[]).await;
    assert_eq!(after.status, 200, "callers with a cached address list are served");
    assert_eq!(call.await.expect("no panic").status, 200);
    stopped.await.expect("no panic");
    assert_eq!((run_count(&orders, "stopping"), run_count(&orders, "after")), (1, 1));
}

/// Guards against refusing all requests to a service whose servers report no load while they are
/// busy. Health checks wait there like requests, and a server that misses one must not be taken to
/// be gone.
#[tokio::test(flavor = "multi_thread")]
async fn busy_server_without_load_reports_stays_available() {
    let bed = GatewayFleet::start(&["z"]).await;
    let parts = RawServer::spawn("p1").await;
    parts.set_slowdown_percent(0);
    bed.store.put(CONFIG_KEY, &two_routes(1));
    bed.store.put("servers/p1", &parts.entry("parts", "z", 4, "ready"));
    bed.wait_until_ready().await;
    until_served(&bed, "GET /look/a").await;
    parts.set_work_time(Duration::from_millis(1_400));
    let first = bed.call(0, "GET /look/a", "long", &[]);
    let second = async {
        tokio::time::sleep(Duration::from_millis(900)).await;
        parts.set_work_time(Duration::from_millis(20));
        let began = Instant::now();
        let response = bed.call(0, "GET /look/a", "short", &[]).await;
        (response.status, began.elapsed())
    };
    let (first, (status, took)) = tokio::join!(first, second);
    assert_eq!((first.status, status), (200, 200));
    // Within the latency target: a server that has been silent for so long is tried after a wait.
    assert!(took < Duration::from_millis(600), "{took:?}");
}

/// Guards against a lookup of 200 ms taking a second, because it began on a server that had turned
/// slow after its last health check while another one was idle and fast.
#[tokio::test(flavor = "multi_thread")]
async fn request_avoids_server_that_just_turned_slow() {
    let (bed, parts, _) = start_one_of_each().await;
    let other = RawServer::spawn("p2").await;
    bed.store.put("servers/p2", &other.entry("parts", "z", 4, "ready"));
    until_used(&bed, &other).await;
    for number in 0..40 {
        let (slow, fast) = if number % 2 == 0 { (&parts, &other) } else { (&other, &parts) };
        // Both are known to be fast: health checks run eight times a second.
        slow.set_slowdown_percent(100);
        fast.set_slowdown_percent(100);
        tokio::time::sleep(Duration::from_millis(200)).await;
        slow.set_slowdown_percent(500);
        // The last response reported the earlier slowdown, which is relied on for some
        // milliseconds.
        tokio::time::sleep(Duration::from_millis(10)).await;
        let before = slow.ran_ids().len();
        let response = bed.call(0, "GET /look/a", &format!("pace-{number}"), &[]).await;
        assert_eq!(response.status, 200);
        assert_eq!(slow.ran_ids().len(), before, "request {number} began on the slow server");
    }
}

/// Guards against starting a request on a slow server despite a preflight check: a duplicate of an
/// earlier response, which reports the earlier slowdown, must not be taken for the response to the
/// check.
#[tokio::test(flavor = "multi_thread")]
async fn duplicate_response_is_not_taken_for_a_health_check() {
    let (bed, parts, _) = start_one_of_each().await;
    let other = RawServer::spawn("p2").await;
    bed.store.put("servers/p2", &other.entry("parts", "z", 4, "ready"));
    until_used(&bed, &other).await;
    for number in 0..10 {
        parts.set_slowdown_percent(100);
        other.set_slowdown_percent(100);
        parts.set_behaviour(Behaviour::AnswerTwice);
        other.set_behaviour(Behaviour::AnswerTwice);
        tokio::time::sleep(Duration::from_millis(200)).await;
        for warm in 0..4 {
            bed.call(0, "GET /look/a", &format!("warm-{number}-{warm}"), &[]).await;
        }
        parts.set_behaviour(Behaviour::Answer);
        parts.set_slowdown_percent(500);
        tokio::time::sleep(Duration::from_millis(10)).await;
        let before = parts.ran_ids().len();
        let response = bed.call(0, "GET /look/a", &format!("again-{number}"), &[]).await;
        assert_eq!(response.status, 200);
        assert_eq!(parts.ran_ids().len(), before, "request {number} began on the slow server");
    }
}

/// Guards against exceeding the connections that a server accepts, as it resets the excess ones
/// with their requests. Each instance keeps to its share of the declared limit and queues requests
/// instead.
#[tokio::test(flavor = "multi_thread")]
async fn connections_stay_within_server_limit() {
    let bed = GatewayFleet::start(&["z"]).await;
    let parts = RawServer::spawn("p1").await;
    parts.set_work_time(Duration::from_millis(20));
    let config = two_routes(1).replace("\"connections_max\":200", "\"connections_max\":4");
    bed.store.put(CONFIG_KEY, &config);
    bed.store.put("servers/p1", &parts.entry("parts", "z", 16, "ready"));
    bed.wait_until_ready().await;
    until_served(&bed, "GET /look/a").await;
    // The share of each instance is recalculated several times a second.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let to = bed.board(0).settings.listen.caller;
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..40 {
        calls.spawn(async move {
            let id = format!("many-{number}");
            let fields = [("host", "shop.example"), ("request-id", id.as_str())];
            raw_call(to, "GET /look/a", &fields, &[]).await.status
        });
    }
    let statuses = calls.join_all().await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(parts.peak_connections() <= 4, "{} connections at once", parts.peak_connections());
}

/// Guards against a failed request waiting for another server that does not exist: the only server
/// of the service truncates its response, and the caller must be told at once.
#[tokio::test(flavor = "multi_thread")]
async fn failure_of_the_only_server_is_reported_at_once() {
    for behaviour in [Behaviour::Close, Behaviour::Truncate, Behaviour::Garble] {
        let (bed, parts, _) = start_one_of_each().await;
        parts.set_behaviour(behaviour);
        let since = Instant::now();
        let response = bed.call(0, "GET /look/a", "only", &[]).await;
        let took = since.elapsed();
        assert_eq!(response.status, 502, "{behaviour:?}");
        assert!(took < Duration::from_millis(100), "{behaviour:?}: {took:?}");
    }
}

/// A request through a forward proxy names its host in the target. Guards against routing it by the
/// `host` header instead, to another service.
#[tokio::test(flavor = "multi_thread")]
async fn absolute_target_is_routed_by_its_host() {
    let (bed, parts, _) = start_one_of_each().await;
    let to = bed.board(0).settings.listen.caller;
    let fields = [("host", "nobody.example"), ("request-id", "absolute")];
    let response = raw_call(to, "GET http://shop.example/look/a", &fields, &[]).await;
    assert_eq!(response.status, 200);
    assert!(
        parts.request_heads().pop().is_some_and(|head| head.starts_with("GET /look/a HTTP/1.1"))
    );
}

/// Guards against waiting for the slots of a crashed server, or sending to its old address, after
/// it has restarted under the same id at another address.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_server_is_used_at_once() {
    let bed = GatewayFleet::start(&["z"]).await;
    let before = RawServer::spawn("p1").await;
    bed.store.put(CONFIG_KEY, &two_routes(1));
    bed.store.put("servers/p1", &before.entry_started_at("parts", "z", 4, "ready", 1_000));
    bed.wait_until_ready().await;
    until_served(&bed, "GET /look/a").await;
    before.set_behaviour(Behaviour::Silent);
    let lost = async {
        tokio::join!(
            bed.call(0, "GET /look/b", "l1", &[]),
            bed.call(0, "GET /look/b", "l2", &[]),
            bed.call(0, "GET /look/b", "l3", &[]),
        )
    };
    let served = async {
        while before.ran_ids().len() < 4 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let after = RawServer::spawn("p1").await;
        bed.store.put("servers/p1", &after.entry_started_at("parts", "z", 4, "ready", 2_000));
        until_used(&bed, &after).await;
        let since = Instant::now();
        for number in 0..20 {
            let response = bed.call(0, "GET /look/c", &format!("n{number}"), &[]).await;
            assert_eq!(response.status, 200);
        }
        assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    };
    tokio::join!(lost, served);
}

/// Guards against buffering more of a large response than its slow caller has read: a few such
/// callers would fill the memory of the instance.
#[tokio::test(flavor = "multi_thread")]
async fn large_response_is_streamed_as_fast_as_the_caller_reads() {
    let (bed, parts, _) = start_one_of_each().await;
    parts.set_behaviour(Behaviour::AnswerLarge);
    let to = bed.board(0).settings.listen.caller;
    let mut stream = tokio::net::TcpStream::connect(to).await.expect("connected");
    let call = b"GET /look/a HTTP/1.1\r\nhost: shop.example\r\nrequest-id: d1\r\n\r\n";
    stream.write_all(call).await.expect("sent");
    let mut bytes = vec![0; 64 << 10];
    let mut taken = stream.read(&mut bytes).await.expect("the response begins");
    tokio::time::sleep(Duration::from_millis(500)).await;
    // Loopback sockets buffer some megabytes each.
    assert!(parts.large_bytes() < LARGE_BYTES as u64 / 2, "{} bytes", parts.large_bytes());
    while taken < LARGE_BYTES {
        match stream.read(&mut bytes).await {
            Ok(read) if read > 0 => taken += read,
            ended => panic!("ended after {taken} bytes: {ended:?}"),
        }
    }
}

/// A full memory budget for buffered responses admits no more bytes.
#[tokio::test]
async fn full_memory_budget_reserves_no_more() {
    let room = Arc::new(MemoryBudget::new(100));
    let mut first = room.reservation();
    let mut second = room.reservation();
    assert!(first.try_grow(60) && !second.try_grow(50) && second.try_grow(40));
    assert_eq!(room.used_bytes(), 100);
    drop(first);
    assert_eq!(room.used_bytes(), 40);
}
