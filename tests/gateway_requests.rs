//! Requests by routes over real sockets: whole answers to whoever asked, at most once, true
//! refusals, and final answers at once.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sorrelwick::gateway::MemoryBudget;
use standins::routed::Behaviour;
use standins::routed::CONFIG_KEY;
use standins::routed::LARGE_BYTES;
use standins::routed::RawServer;
use standins::routed::RoutedBed;
use standins::routed::raw_call;
use standins::routed::two_routes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

const WAIT: Duration = Duration::from_secs(10);

/// One instance, and one server for each service.
async fn one_of_each() -> (RoutedBed, RawServer, RawServer) {
    let bed = RoutedBed::start(&["z"]).await;
    let parts = RawServer::spawn("p1").await;
    let orders = RawServer::spawn("o1").await;
    bed.store.put(CONFIG_KEY, &two_routes(1));
    bed.store.put("servers/p1", &parts.entry("parts", "z", 4, "ready"));
    bed.store.put("servers/o1", &orders.entry("orders", "z", 4, "ready"));
    bed.settle().await;
    until_served(&bed, "GET /look/a").await;
    until_served(&bed, "POST /order/a").await;
    (bed, parts, orders)
}

async fn until_served(bed: &RoutedBed, line: &str) {
    let until = Instant::now() + WAIT;
    while bed.call(0, line, "first", &[]).await.status != 200 {
        assert!(Instant::now() < until, "{line} is not served");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until a server that was just listed gets its part of the lookups.
async fn until_used(bed: &RoutedBed, server: &RawServer) {
    let until = Instant::now() + WAIT;
    while server.ran().is_empty() {
        assert!(Instant::now() < until, "the new server gets nothing");
        bed.call(0, "GET /look/a", "warm", &[]).await;
    }
}

fn runs(server: &RawServer, id: &str) -> usize {
    server.ran().iter().filter(|ran| *ran == id).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_passed_on_whole_with_its_signature() {
    let (bed, _, orders) = one_of_each().await;
    let answer = bed.call(0, "POST /order/x?y=%20z", "r1", b"body of the order").await;
    assert_eq!((answer.status, answer.body.as_slice()), (200, b"r1".as_slice()));
    assert_eq!(answer.field("signature"), Some("s-r1"));
    assert_eq!(answer.field("request-id"), Some("r1"));
    let head = orders.heads().pop().expect("the request came");
    assert!(head.starts_with("POST /order/x?y=%20z HTTP/1.1"), "{head}");
    assert!(head.contains("expected-server: o1") && head.contains("timeout-ms: 11"), "{head}");
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_and_bodies_ended_by_their_connection_are_whole() {
    let (bed, parts, _) = one_of_each().await;
    for behaviour in [Behaviour::AnswerInChunks, Behaviour::AnswerByClose] {
        parts.behave(behaviour);
        let answer = bed.call(0, "GET /look/a", "r2", &[]).await;
        assert_eq!(
            (answer.status, answer.body.as_slice()),
            (200, b"r2".as_slice()),
            "{behaviour:?}"
        );
    }
}

/// A shop sees the answer to another shop's order.
/// A faulty server answers an order twice; the second answer lies on the connection when the next
/// order is sent there, and comes where its own answer is due.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_comes_again_is_never_taken_for_the_next() {
    let (bed, _, orders) = one_of_each().await;
    orders.behave(Behaviour::AnswerTwice);
    for number in 0..20 {
        let id = format!("twice-{number}");
        let answer = bed.call(0, "POST /order/a", &id, &[]).await;
        assert_eq!((answer.status, answer.body.as_slice()), (200, id.as_bytes()));
        assert_eq!(runs(&orders, &id), 1);
    }
}

/// The rest of a long order is taken for the next request: the server answered before it had read
/// all of it, and the connection was used again.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_with_an_unfinished_body_carries_no_other_request() {
    let (bed, _, orders) = one_of_each().await;
    orders.behave(Behaviour::AnswerEarly);
    let long = vec![b'x'; 900_000];
    for number in 0..5 {
        let id = format!("early-{number}");
        let answer = bed.call(0, "POST /order/a", &id, &long).await;
        assert_eq!((answer.status, answer.body.as_slice()), (200, id.as_bytes()));
        assert_eq!(runs(&orders, &id), 1);
    }
    let heads = orders.heads();
    assert!(heads.iter().all(|head| head.starts_with("POST /order/")), "{heads:?}");
}

/// A doubled order: the server runs it, its answer is lost, and the gateway asks again.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_answer_is_lost_runs_once_and_is_not_called_refused() {
    let (bed, _, orders) = one_of_each().await;
    let second = RawServer::spawn("o2").await;
    bed.store.put("servers/o2", &second.entry("orders", "z", 4, "ready"));
    for behaviour in [Behaviour::Close, Behaviour::Truncate, Behaviour::Garble, Behaviour::Unproved]
    {
        orders.behave(behaviour);
        second.behave(behaviour);
        let id = format!("{behaviour:?}");
        let answer = bed.call(0, "POST /order/a", &id, &[]).await;
        assert_eq!(answer.status, 502, "{behaviour:?}");
        assert_eq!(answer.field("signature"), None);
        assert_eq!(runs(&orders, &id) + runs(&second, &id), 1, "{behaviour:?}");
    }
}

/// Counter staff see an error although another server could have answered their lookup.
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_whose_answer_is_lost_is_answered_by_another_server() {
    let (bed, parts, _) = one_of_each().await;
    let sound = RawServer::spawn("p2").await;
    bed.store.put("servers/p2", &sound.entry("parts", "z", 4, "ready"));
    until_used(&bed, &sound).await;
    for behaviour in [Behaviour::Close, Behaviour::Truncate, Behaviour::Garble, Behaviour::Fail] {
        parts.behave(behaviour);
        for number in 0..4 {
            let id = format!("{behaviour:?}-{number}");
            let answer = bed.call(0, "GET /look/a", &id, &[]).await;
            assert_eq!((answer.status, answer.body.as_slice()), (200, id.as_bytes()), "{id}");
        }
    }
}

/// A server that says it did not run an order is believed: another one runs it, once.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_was_refused_with_proof_runs_elsewhere_once() {
    let (bed, _, orders) = one_of_each().await;
    orders.behave(Behaviour::Shed);
    let refused = bed.call(0, "POST /order/a", "shed", &[]).await;
    assert_eq!(refused.status, 503);
    assert!(refused.field("retry-after").is_some_and(|text| text.parse::<f64>().is_ok()));
    assert!(orders.ran().iter().all(|id| id != "shed"));
    let second = RawServer::spawn("o2").await;
    bed.store.put("servers/o2", &second.entry("orders", "z", 4, "ready"));
    until_served(&bed, "POST /order/a").await;
    let answer = bed.call(0, "POST /order/a", "again", &[]).await;
    assert_eq!(answer.status, 200);
    assert_eq!(runs(&second, "again"), 1);
}

/// A caller waits until its own deadline although the gateway knows that no answer comes in time.
#[tokio::test(flavor = "multi_thread")]
async fn at_the_routes_timeout_the_final_answer_comes_at_once() {
    let (bed, _, orders) = one_of_each().await;
    orders.behave(Behaviour::Silent);
    let began = Instant::now();
    let answer = bed.call(0, "POST /order/a", "silent", &[]).await;
    assert_eq!(answer.status, 504);
    let took = began.elapsed();
    assert!((1_150..1_700).contains(&took.as_millis()), "{took:?}");
}

/// A server goes on working for a caller that hung up long ago.
#[tokio::test(flavor = "multi_thread")]
async fn work_ends_when_its_caller_leaves() {
    let (bed, parts, _) = one_of_each().await;
    parts.work(Duration::from_secs(1));
    let call = bed.call(0, "GET /look/a", "left", &[]);
    assert!(tokio::time::timeout(Duration::from_millis(200), call).await.is_err());
    let until = Instant::now() + WAIT;
    while parts.cancelled() == 0 {
        assert!(Instant::now() < until, "the server still works");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A newcomer refuses what is allowed, because it knows no configuration yet.
#[tokio::test(flavor = "multi_thread")]
async fn without_configuration_nothing_is_called_unknown() {
    let bed = RoutedBed::start(&["z"]).await;
    assert_eq!(bed.readiness(0).await, 503);
    let answer = bed.call(0, "GET /look/a", "early", &[]).await;
    assert_eq!(answer.status, 503);
    assert!(answer.field("retry-after").is_some());
    bed.store.put(CONFIG_KEY, &two_routes(1));
    bed.settle().await;
    assert_eq!(bed.call(0, "GET /other/", "late", &[]).await.status, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_drains_or_is_gone_gets_nothing_more() {
    let (bed, parts, _) = one_of_each().await;
    let other = RawServer::spawn("p2").await;
    bed.store.put("servers/p2", &other.entry("parts", "z", 4, "ready"));
    bed.store.put("servers/p1", &parts.entry("parts", "z", 4, "draining"));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = parts.ran().len();
    for number in 0..20 {
        let answer = bed.call(0, "GET /look/a", &format!("drain-{number}"), &[]).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(parts.ran().len(), before);
    bed.store.remove("servers/p2");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(bed.call(0, "GET /look/a", "none", &[]).await.status, 503);
}

/// An order is lost: it was on its way when the instance that had it was told to stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_what_is_in_flight_and_serves_on_for_a_while() {
    let (mut bed, _, orders) = one_of_each().await;
    orders.work(Duration::from_millis(600));
    let to = bed.board(0).settings.listen.caller;
    let fields = [("host", "shop.example"), ("request-id", "stopping")];
    let call =
        tokio::spawn(
            async move { standins::routed::raw_call(to, "POST /order/a", &fields, &[]).await },
        );
    tokio::time::sleep(Duration::from_millis(100)).await;
    let stopped = tokio::spawn(bed.hosts.remove(0).stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let late = [("host", "shop.example"), ("request-id", "after")];
    let after = standins::routed::raw_call(to, "POST /order/a", &late, &[]).await;
    assert_eq!(after.status, 200, "callers that keep an old answer are served");
    assert_eq!(call.await.expect("no panic").status, 200);
    stopped.await.expect("no panic");
    assert_eq!((runs(&orders, "stopping"), runs(&orders, "after")), (1, 1));
}

/// A service whose servers tell no load is refused whenever they are busy: health checks wait there
/// like requests, and servers that did not answer them in time were taken for gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_busy_server_that_tells_no_load_is_not_taken_for_gone() {
    let bed = RoutedBed::start(&["z"]).await;
    let parts = RawServer::spawn("p1").await;
    parts.pace(0);
    bed.store.put(CONFIG_KEY, &two_routes(1));
    bed.store.put("servers/p1", &parts.entry("parts", "z", 4, "ready"));
    bed.settle().await;
    until_served(&bed, "GET /look/a").await;
    parts.work(Duration::from_millis(1_400));
    let first = bed.call(0, "GET /look/a", "long", &[]);
    let second = async {
        tokio::time::sleep(Duration::from_millis(900)).await;
        parts.work(Duration::from_millis(20));
        let began = Instant::now();
        let answer = bed.call(0, "GET /look/a", "short", &[]).await;
        (answer.status, began.elapsed())
    };
    let (first, (status, took)) = tokio::join!(first, second);
    assert_eq!((first.status, status), (200, 200));
    // Within the aim: a server that has been silent for so long is tried after a wait.
    assert!(took < Duration::from_millis(600), "{took:?}");
}

/// Counter staff wait a second for a lookup that takes 200 ms: it began on a server that had turned
/// slow after its last health check, while another one was idle and fast.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_not_begun_on_a_server_that_has_just_turned_slow() {
    let (bed, parts, _) = one_of_each().await;
    let other = RawServer::spawn("p2").await;
    bed.store.put("servers/p2", &other.entry("parts", "z", 4, "ready"));
    until_used(&bed, &other).await;
    for number in 0..40 {
        let (slow, fast) = if number % 2 == 0 { (&parts, &other) } else { (&other, &parts) };
        // Both are known to be fast: health checks come eight times a second.
        slow.pace(100);
        fast.pace(100);
        tokio::time::sleep(Duration::from_millis(200)).await;
        slow.pace(500);
        // The last answer told the pace of then; it is believed for some milliseconds.
        tokio::time::sleep(Duration::from_millis(10)).await;
        let before = slow.ran().len();
        let answer = bed.call(0, "GET /look/a", &format!("pace-{number}"), &[]).await;
        assert_eq!(answer.status, 200);
        assert_eq!(slow.ran().len(), before, "request {number} began on the slow server");
    }
}

/// A lookup is begun on a slow server although the server was asked just before: the answer to the
/// request before it came a second time, where that to the health check was due, and told the pace
/// of then.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_comes_again_is_not_taken_for_that_to_a_health_check() {
    let (bed, parts, _) = one_of_each().await;
    let other = RawServer::spawn("p2").await;
    bed.store.put("servers/p2", &other.entry("parts", "z", 4, "ready"));
    until_used(&bed, &other).await;
    for number in 0..10 {
        parts.pace(100);
        other.pace(100);
        parts.behave(Behaviour::AnswerTwice);
        other.behave(Behaviour::AnswerTwice);
        tokio::time::sleep(Duration::from_millis(200)).await;
        for warm in 0..4 {
            bed.call(0, "GET /look/a", &format!("warm-{number}-{warm}"), &[]).await;
        }
        parts.behave(Behaviour::Answer);
        parts.pace(500);
        tokio::time::sleep(Duration::from_millis(10)).await;
        let before = parts.ran().len();
        let answer = bed.call(0, "GET /look/a", &format!("again-{number}"), &[]).await;
        assert_eq!(answer.status, 200);
        assert_eq!(parts.ran().len(), before, "request {number} began on the slow server");
    }
}

/// More connections than a server accepts are reset, with the requests on them: each instance keeps
/// to its part of what the operators declare, and lets requests wait instead.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_gets_no_more_connections_than_it_accepts() {
    let bed = RoutedBed::start(&["z"]).await;
    let parts = RawServer::spawn("p1").await;
    parts.work(Duration::from_millis(20));
    let config = two_routes(1).replace("\"connections_max\":200", "\"connections_max\":4");
    bed.store.put(CONFIG_KEY, &config);
    bed.store.put("servers/p1", &parts.entry("parts", "z", 16, "ready"));
    bed.settle().await;
    until_served(&bed, "GET /look/a").await;
    // The part of each instance is worked out some times a second.
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
    assert!(parts.connections_most() <= 4, "{} connections at once", parts.connections_most());
}

/// An adviser waits for most of a second to hear that a lookup failed, though it was known at once:
/// the only server that the service has cut its answer short, and the request then waited for
/// another server that does not exist.
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_that_failed_on_the_only_server_gets_its_final_answer_at_once() {
    for behaviour in [Behaviour::Close, Behaviour::Truncate, Behaviour::Garble] {
        let (bed, parts, _) = one_of_each().await;
        parts.behave(behaviour);
        let since = Instant::now();
        let answer = bed.call(0, "GET /look/a", "only", &[]).await;
        let took = since.elapsed();
        assert_eq!(answer.status, 502, "{behaviour:?}");
        assert!(took < Duration::from_millis(100), "{behaviour:?}: {took:?}");
    }
}

/// A request through a forward proxy names its host in the target. Routed by the other field, it
/// would be run by another market's service.
#[tokio::test(flavor = "multi_thread")]
async fn an_absolute_target_is_routed_by_its_own_host() {
    let (bed, parts, _) = one_of_each().await;
    let to = bed.board(0).settings.listen.caller;
    let fields = [("host", "nobody.example"), ("request-id", "absolute")];
    let answer = raw_call(to, "GET http://shop.example/look/a", &fields, &[]).await;
    assert_eq!(answer.status, 200);
    assert!(parts.heads().pop().is_some_and(|head| head.starts_with("GET /look/a HTTP/1.1")));
}

/// A server crashes while it has four lookups and starts again under its id, at another address.
/// New lookups wait for slots that nobody holds any more, or go to the address that is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_starts_again_under_its_id_is_used_at_once() {
    let bed = RoutedBed::start(&["z"]).await;
    let before = RawServer::spawn("p1").await;
    bed.store.put(CONFIG_KEY, &two_routes(1));
    bed.store.put("servers/p1", &before.entry_of_start("parts", "z", 4, "ready", 1_000));
    bed.settle().await;
    until_served(&bed, "GET /look/a").await;
    before.behave(Behaviour::Silent);
    let lost = async {
        tokio::join!(
            bed.call(0, "GET /look/b", "l1", &[]),
            bed.call(0, "GET /look/b", "l2", &[]),
            bed.call(0, "GET /look/b", "l3", &[]),
        )
    };
    let served = async {
        while before.ran().len() < 4 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let after = RawServer::spawn("p1").await;
        bed.store.put("servers/p1", &after.entry_of_start("parts", "z", 4, "ready", 2_000));
        until_used(&bed, &after).await;
        let since = Instant::now();
        for number in 0..20 {
            let answer = bed.call(0, "GET /look/c", &format!("n{number}"), &[]).await;
            assert_eq!(answer.status, 200);
        }
        assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    };
    tokio::join!(lost, served);
}

/// A caller reads a large answer slowly. The instance must not hold what the caller has not taken:
/// some such callers would fill its memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_is_passed_on_no_faster_than_its_caller_reads() {
    let (bed, parts, _) = one_of_each().await;
    parts.behave(Behaviour::AnswerLarge);
    let to = bed.board(0).settings.listen.caller;
    let mut stream = tokio::net::TcpStream::connect(to).await.expect("connected");
    let call = b"GET /look/a HTTP/1.1\r\nhost: shop.example\r\nrequest-id: d1\r\n\r\n";
    stream.write_all(call).await.expect("sent");
    let mut bytes = vec![0; 64 << 10];
    let mut taken = stream.read(&mut bytes).await.expect("the answer begins");
    tokio::time::sleep(Duration::from_millis(500)).await;
    // Sockets on loopback hold some megabytes each.
    assert!(parts.large_bytes() < LARGE_BYTES as u64 / 2, "{} bytes", parts.large_bytes());
    while taken < LARGE_BYTES {
        match stream.read(&mut bytes).await {
            Ok(read) if read > 0 => taken += read,
            ended => panic!("ended after {taken} bytes: {ended:?}"),
        }
    }
}

/// The memory set aside for held answers is full: answers are passed on as they come, whole.
#[tokio::test]
async fn a_full_room_for_answers_holds_no_more() {
    let room = Arc::new(MemoryBudget::new(100));
    let mut first = room.reservation();
    let mut second = room.reservation();
    assert!(first.try_grow(60) && !second.try_grow(50) && second.try_grow(40));
    assert_eq!(room.used_bytes(), 100);
    drop(first);
    assert_eq!(room.used_bytes(), 40);
}
