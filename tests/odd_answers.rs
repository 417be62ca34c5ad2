//! Answers of servers in trouble: heads that are no answer, and numbers that are too large.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use sorrelwick::task::TaskGuard;
use standins::panics::count_panics;
use standins::routed::CONFIG_KEY;
use standins::routed::GatewayFleet;
use standins::routed::PathFault;
use standins::routed::RawResponse;
use standins::routed::two_routes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;

const WAIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const GOOD: &str = "HTTP/1.1 200 OK\r\nload: 0,0,4,100";
/// Heads that are no answer, but for the lines that all answers have.
const NO_ANSWERS: [&[u8]; 14] = [
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 0 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 -20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 200 OK\r\nodd name: 1",
    b"HTTP/1.1 200 OK\r\nodd : 1",
    b"HTTP/1.1 200 OK\r\n odd: 1",
    b"HTTP/1.1 200 OK\r\nodd\x01: 1",
    b"HTTP/1.1 200 OK\r\nodd\t: 1",
    b"HTTP/1.1 200 OK\r\nodd\0: 1",
    b"HTTP/1.1 200 OK\r\nodd\x7f: 1",
    b"HTTP/1.1 200 OK\r\n: 1",
];

/// How a server begins its answers; the lines that all answers have follow.
#[derive(Clone, Debug)]
struct Script {
    order: Vec<u8>,
    health_check: Vec<u8>,
}

impl Script {
    fn good() -> Self {
        Self { order: GOOD.into(), health_check: GOOD.into() }
    }
}

#[derive(Debug)]
struct Shared {
    script: Mutex<Script>,
    orders: AtomicUsize,
    health_checks: AtomicUsize,
}

/// A server of orders that answers as scripted.
#[derive(Debug)]
struct ScriptedServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    _task: TaskGuard,
}

impl ScriptedServer {
    async fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            script: Mutex::new(Script::good()),
            orders: AtomicUsize::default(),
            health_checks: AtomicUsize::default(),
        });
        let serving = Arc::clone(&shared);
        let task = TaskGuard::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&serving)));
            }
        });
        Self { address, shared, _task: task }
    }

    fn set(&self, script: Script) {
        *self.shared.script.lock() = script;
    }

    fn orders(&self) -> usize {
        self.shared.orders.load(Ordering::SeqCst)
    }

    fn health_checks(&self) -> usize {
        self.shared.health_checks.load(Ordering::SeqCst)
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    let mut head = Vec::new();
    while let Ok(byte) = stream.read_u8().await {
        head.push(byte);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let text = String::from_utf8_lossy(&std::mem::take(&mut head)).into_owned();
        let script = shared.script.lock().clone();
        let id = text.lines().find_map(|line| line.strip_prefix("request-id: "));
        let (mut answer, rest) = match id {
            Some(id) => {
                shared.orders.fetch_add(1, Ordering::SeqCst);
                let length = id.len();
                let lines = format!("request-id: {id}\r\nsignature: s-{id}\r\n");
                (script.order, format!("\r\n{lines}content-length: {length}\r\n\r\n{id}"))
            }
            None => {
                shared.health_checks.fetch_add(1, Ordering::SeqCst);
                (script.health_check, "\r\ncontent-length: 0\r\n\r\n".to_owned())
            }
        };
        answer.extend_from_slice(rest.as_bytes());
        if stream.write_all(&answer).await.is_err() {
            return;
        }
    }
}

/// Starts instances and one server; the last of several instances has no path to it.
async fn start(zones: &[&str]) -> (GatewayFleet, ScriptedServer) {
    let fleet = GatewayFleet::start(zones).await;
    let server = ScriptedServer::spawn().await;
    for paths in &fleet.paths {
        paths.add(server.address).await;
    }
    let entry = serde_json::json!({
        "service": "orders", "address": server.address, "zone": zones[0], "slots": 4,
        "state": "ready", "started_ms": 0,
    });
    fleet.store.put("servers/o1", &entry.to_string());
    fleet.store.put(CONFIG_KEY, &two_routes(1));
    fleet.wait_until_ready().await;
    if zones.len() > 1 {
        fleet.paths[zones.len() - 1].set_fault(PathFault::Reset);
    }
    until_served(&fleet, zones.len() - 1).await;
    (fleet, server)
}

async fn until_served(fleet: &GatewayFleet, at: usize) {
    let until = Instant::now() + WAIT;
    while fleet.call(at, "POST /order/warm", "warm", b"").await.status != 200 {
        assert!(Instant::now() < until, "not served");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends orders until one has reached the server; returns its answer. The instance refuses orders for a
/// while after a server's failure.
async fn order_at_server(fleet: &GatewayFleet, server: &ScriptedServer, at: usize) -> RawResponse {
    let until = Instant::now() + WAIT;
    loop {
        let before = server.orders();
        let id = format!("order-{before}");
        let response = fleet.call(at, &format!("POST /order/{before}"), &id, b"").await;
        if server.orders() > before {
            return response;
        }
        assert_eq!(response.status, 503, "{response:?}");
        assert!(Instant::now() < until, "no order reaches the server");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn expect_no_answer_passed_on(fleet: &GatewayFleet, server: &ScriptedServer, at: usize) {
    for head in NO_ANSWERS {
        server.set(Script { order: head.to_vec(), ..Script::good() });
        let response = order_at_server(fleet, server, at).await;
        let shown = String::from_utf8_lossy(head);
        assert_eq!(response.status, 502, "{shown:?}: {response:?}");
        assert!(!response.head.contains("odd"), "{shown:?}: {response:?}");
        assert!(response.body.is_empty(), "{shown:?}: {response:?}");
        server.set(Script::good());
        until_served(fleet, at).await;
    }
}

/// Guards against callers that get as an answer what is none: a status that does not exist, or a field
/// whose name holds a blank or a control character.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_is_no_answer_reaches_no_caller() {
    let (fleet, server) = start(&["z"]).await;
    expect_no_answer_passed_on(&fleet, &server, 0).await;
}

/// Guards against the same where another instance passes the request on.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_is_no_answer_reaches_no_caller_through_another_instance() {
    let (fleet, server) = start(&["a", "b"]).await;
    expect_no_answer_passed_on(&fleet, &server, 1).await;
}

/// Guards against the same bytes, sent for a health check, that pass for the answer to the order which
/// follows on the connection.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_answers_no_health_check_reaches_no_caller() {
    let (fleet, server) = start(&["z"]).await;
    for head in NO_ANSWERS {
        let before = server.health_checks();
        server.set(Script { health_check: head.to_vec(), ..Script::good() });
        let until = Instant::now() + WAIT;
        let mut number = 0;
        while server.health_checks() < before + 3 {
            assert!(Instant::now() < until, "no health checks");
            number += 1;
            let id = format!("order-{number}");
            let response = fleet.call(0, "POST /order/a", &id, b"").await;
            assert!(!response.head.contains("odd"), "{response:?}");
            if response.status == 200 {
                assert_eq!(response.body, id.as_bytes());
            } else {
                assert!([502, 503].contains(&response.status), "{response:?}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        server.set(Script::good());
        until_served(&fleet, 0).await;
    }
}

/// Guards against requests, or tasks of an instance, that end in the middle since a server stated a number
/// that is larger than what is computed with it.
#[tokio::test(flavor = "multi_thread")]
async fn largest_numbers_in_answers_end_no_request() {
    let (fleet, server) = start(&["z"]).await;
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
        let head = format!("HTTP/1.1 200 OK\r\n{line}").into_bytes();
        server.set(Script { order: head.clone(), health_check: head });
        for number in 0..4 {
            let id = format!("order-{number}");
            let response = fleet.call(0, "POST /order/a", &id, b"").await;
            assert!([200, 503].contains(&response.status), "{line}: {response:?}");
            tokio::time::sleep(POLL_INTERVAL * 10).await;
        }
        assert_eq!(panics.load(Ordering::SeqCst), 0, "{line}");
        server.set(Script::good());
        until_served(&fleet, 0).await;
    }
}

/// Guards against a server that is never used again after one refusal with a time of ages.
#[tokio::test(flavor = "multi_thread")]
async fn cooldown_of_ages_is_not_believed() {
    let (fleet, server) = start(&["z"]).await;
    for time in ["1e15", "3601", "18446744073709551616"] {
        let busy = format!("HTTP/1.1 503 Busy\r\nnot-run: 1\r\nretry-after: {time}");
        server.set(Script { order: busy.into_bytes(), ..Script::good() });
        assert_eq!(order_at_server(&fleet, &server, 0).await.status, 503);
        server.set(Script::good());
        until_served(&fleet, 0).await;
    }
}
