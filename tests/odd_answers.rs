//! Answers of servers in trouble: heads that are no answer, and numbers that are too large.

use std::sync::atomic::Ordering;
use std::time::Duration;

use standins::panics::count_panics;
use standins::routed::Script;
use standins::routed::ScriptedAnswer;
use standins::routed::ScriptedOrders;
use standins::routed::ScriptedOrdersPlan;
use tokio::time::Instant;

const WAIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Heads that are no answer, but for the lines that all answers have.
const NO_ANSWERS: [&str; 14] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 0 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 200 OK\r\nodd name: 1",
    "HTTP/1.1 200 OK\r\nodd : 1",
    "HTTP/1.1 200 OK\r\n odd: 1",
    "HTTP/1.1 200 OK\r\nodd\x01: 1",
    "HTTP/1.1 200 OK\r\nodd\t: 1",
    "HTTP/1.1 200 OK\r\nodd\0: 1",
    "HTTP/1.1 200 OK\r\nodd\x7f: 1",
    "HTTP/1.1 200 OK\r\n: 1",
];

/// Starts instances and one server.
async fn start(zones: &[&str]) -> ScriptedOrders {
    ScriptedOrders::start(zones, ScriptedOrdersPlan::default()).await
}

async fn expect_no_answer_passed_on(orders: &ScriptedOrders) {
    for head in NO_ANSWERS {
        orders.servers[0].set_answer(ScriptedAnswer::complete(head));
        let (response, _) = orders.order_at_server(b"").await;
        assert_eq!(response.status, 502, "{head:?}: {response:?}");
        assert!(!response.head.contains("odd"), "{head:?}: {response:?}");
        assert!(response.body.is_empty(), "{head:?}: {response:?}");
        orders.servers[0].set(Script::default());
        orders.until_served().await;
    }
}

/// Guards against callers that get as an answer what is none: a status that does not exist, or a field
/// whose name holds a blank or a control character.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_is_no_answer_reaches_no_caller() {
    expect_no_answer_passed_on(&start(&["z"]).await).await;
}

/// Guards against the same where another instance passes the request on.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_is_no_answer_reaches_no_caller_through_another_instance() {
    expect_no_answer_passed_on(&start(&["a", "b"]).await).await;
}

/// Guards against the same bytes, sent for a health check, that pass for the answer to the order which
/// follows on the connection.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_answers_no_health_check_reaches_no_caller() {
    let orders = start(&["z"]).await;
    let server = &orders.servers[0];
    for head in NO_ANSWERS {
        let before = server.health_checks();
        let health_check = ScriptedAnswer::to_health_check(head);
        server.set(Script { health_check, ..Script::default() });
        let until = Instant::now() + WAIT;
        let mut number = 0;
        while server.health_checks() < before + 3 {
            assert!(Instant::now() < until, "no health checks");
            number += 1;
            let id = format!("order-{number}");
            let response = orders.fleet.call(0, "POST /order/a", &id, b"").await;
            assert!(!response.head.contains("odd"), "{response:?}");
            if response.status == 200 {
                assert_eq!(response.body, id.as_bytes());
            } else {
                assert!([502, 503].contains(&response.status), "{response:?}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        server.set(Script::default());
        orders.until_served().await;
    }
}

/// Guards against requests, or tasks of an instance, that end in the middle since a server stated a number
/// that is larger than what is computed with it.
#[tokio::test(flavor = "multi_thread")]
async fn largest_numbers_in_answers_end_no_request() {
    let orders = start(&["z"]).await;
    let panics = count_panics();
    for line in [
        "keep-alive: timeout=18446744073709551615",
        "keep-alive: timeout=18446744073709551616",
        "load: 4294967295,4294967295,4294967295,4294967295",
        "load: 4294967295,1,4,0",
        "cold-left-ms: 18446744073709551615",
        "cold-left-ms: 18446744073709552",
        "rate-limit: 1e308",
        "retry-after: 18446744073709551615",
    ] {
        let head = format!("HTTP/1.1 200 OK\r\n{line}");
        let request = ScriptedAnswer::complete(&head);
        let health_check = ScriptedAnswer::to_health_check(&head);
        orders.servers[0].set(Script { request, health_check });
        for number in 0..4 {
            let id = format!("order-{number}");
            let response = orders.fleet.call(0, "POST /order/a", &id, b"").await;
            assert!([200, 503].contains(&response.status), "{line}: {response:?}");
            tokio::time::sleep(POLL_INTERVAL * 10).await;
        }
        assert_eq!(panics.load(Ordering::SeqCst), 0, "{line}");
        orders.servers[0].set(Script::default());
        orders.until_served().await;
    }
}

/// Guards against a server that is never used again after one refusal that asks for a very long time.
#[tokio::test(flavor = "multi_thread")]
async fn cooldown_over_an_hour_is_not_believed() {
    let orders = start(&["z"]).await;
    for time in ["1e15", "3601", "18446744073709551616"] {
        let busy = format!("HTTP/1.1 503 Busy\r\nnot-run: 1\r\nretry-after: {time}");
        orders.servers[0].set_answer(ScriptedAnswer::complete(&busy));
        assert_eq!(orders.order_at_server(b"").await.0.status, 503);
        orders.servers[0].set(Script::default());
        orders.until_served().await;
    }
}
