//! Answers of servers that have not read the request, and that a reset of the connection may cut.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use http::HeaderName;
use http::HeaderValue;
use socket2::SockRef;
use sorrelwick::gateway::ExchangeError;
use sorrelwick::gateway::ResponseMatcher;
use sorrelwick::gateway::ServerConnPool;
use sorrelwick::task::TaskGuard;
use standins::routed::CONFIG_KEY;
use standins::routed::GatewayFleet;
use standins::routed::PathFault;
use standins::routed::two_routes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;

const WAIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// More than all socket buffers on the path hold.
const UPLOAD_BYTES: usize = 6 << 20;
/// Orders that reach a server in each run.
const ORDERS: usize = 24;
const SERVERS: usize = 8;

/// The answer to request `id` with this framing and body.
fn answer(id: &str, framing: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s-{id}\r\nload: 0,0,4,100\r\n{framing}\r\n{body}"
    )
}

/// Sends a long request to a server that answers it unread and resets the connection while the client is
/// held up; returns the body of the answer.
async fn exchange_with_reset(answer: String) -> Result<Vec<u8>, ExchangeError> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let pool = ServerConnPool::new(listener.local_addr().expect("an address"));
    let (reset, when_reset) = mpsc::channel();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = [0; 1_024];
        let _ = stream.read(&mut head).expect("the head");
        stream.write_all(answer.as_bytes()).expect("written");
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an open socket");
        drop(stream);
        reset.send(()).expect("the test waits");
    });
    let mut conn = pool.open_new(WAIT).await.expect("connected");
    let (id_header, not_run_header) =
        (HeaderName::from_static("request-id"), HeaderName::from_static("not-run"));
    let id = HeaderValue::from_static("a");
    let matcher =
        ResponseMatcher { id_header: &id_header, id: Some(&id), not_run_header: &not_run_header };
    let head = format!("POST / HTTP/1.1\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n");
    let body = vec![b'x'; UPLOAD_BYTES];
    // The client is not polled until the connection was reset, so that its write meets the reset.
    let (response, ()) = tokio::join!(conn.exchange(head.as_bytes(), &body, matcher), async move {
        when_reset.recv().expect("the server runs");
    });
    server.join().expect("no panic");
    let response = response?;
    let mut decoder = response.decoder(1 << 20);
    let mut received = Vec::new();
    while let Some(bytes) = conn.read_body(&mut decoder).await? {
        received.extend_from_slice(&bytes);
    }
    Ok(received)
}

/// Guards against a part of an answer that passes for the whole: it has no length, and the reset that cut
/// it was reported to the write of the request.
#[tokio::test]
async fn answer_without_length_that_a_reset_ends_is_not_whole() {
    let cut = exchange_with_reset(answer("a", "", "a part")).await;
    assert_eq!(cut, Err(ExchangeError::Truncated));
    let cut = exchange_with_reset(answer("a", "content-length: 9\r\n", "a part")).await;
    assert_eq!(cut, Err(ExchangeError::Truncated));
    let cut =
        exchange_with_reset(answer("a", "transfer-encoding: chunked\r\n", "6\r\na part\r\n")).await;
    assert_eq!(cut, Err(ExchangeError::Truncated));
}

/// Guards against whole answers that are lost with the connection: their end does not depend on its.
#[tokio::test]
async fn answer_with_an_end_of_its_own_is_whole_before_a_reset() {
    let whole = exchange_with_reset(answer("a", "content-length: 5\r\n", "whole")).await;
    assert_eq!(whole.as_deref(), Ok(b"whole".as_slice()));
    let chunks = answer("a", "transfer-encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n");
    assert_eq!(exchange_with_reset(chunks).await.as_deref(), Ok(b"whole".as_slice()));
}

/// A server that answers the head of each order with a part and resets the connection.
struct ResettingServer {
    address: SocketAddr,
    orders: Arc<AtomicUsize>,
    _task: TaskGuard,
}

impl ResettingServer {
    async fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let orders = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&orders);
        let task = TaskGuard::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&counted)));
            }
        });
        Self { address, orders, _task: task }
    }
}

async fn serve(mut stream: TcpStream, orders: Arc<AtomicUsize>) {
    let mut head = Vec::new();
    while let Ok(byte) = stream.read_u8().await {
        head.push(byte);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let text = String::from_utf8_lossy(&std::mem::take(&mut head)).into_owned();
        let id = text.lines().find_map(|line| line.strip_prefix("request-id: "));
        let is_warm = id == Some("warm");
        let text = match id {
            None => "HTTP/1.1 200 OK\r\nload: 0,0,4,100\r\ncontent-length: 0\r\n\r\n".to_owned(),
            Some(id) if is_warm => answer(id, "content-length: 4\r\n", "good"),
            Some(id) => answer(id, "", "a part"),
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        if id.is_some() && !is_warm {
            orders.fetch_add(1, Ordering::SeqCst);
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
    }
}

/// Starts instances and servers; the last of several instances has no path to them.
async fn start(zones: &[&str]) -> (GatewayFleet, Vec<ResettingServer>) {
    let fleet = GatewayFleet::start(zones).await;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = ResettingServer::spawn().await;
        if zones.len() > 1 {
            fleet.paths[zones.len() - 1].add(server.address).await;
        }
        let entry = serde_json::json!({
            "service": "orders", "address": server.address, "zone": zones[0], "slots": 4,
            "state": "ready", "started_ms": 0,
        });
        fleet.store.put(&format!("servers/o{number}"), &entry.to_string());
        servers.push(server);
    }
    let limits = format!("\"limits\":{{\"body_bytes_max\":{}}}", 2 * UPLOAD_BYTES);
    fleet.store.put(CONFIG_KEY, &two_routes(1).replace("\"limits\":{}", &limits));
    fleet.wait_until_ready().await;
    fleet.paths[zones.len() - 1].set_fault(PathFault::Reset);
    let until = Instant::now() + WAIT;
    while fleet.call(zones.len() - 1, "POST /order/warm", "warm", b"").await.status != 200 {
        assert!(Instant::now() < until, "not served");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    (fleet, servers)
}

/// Sends long orders to the instance at index `at` until enough of them reached a server; none may get a
/// whole answer.
async fn expect_no_whole_answer(fleet: &GatewayFleet, servers: &[ResettingServer], at: usize) {
    let reached =
        || servers.iter().map(|server| server.orders.load(Ordering::SeqCst)).sum::<usize>();
    let body = vec![b'x'; UPLOAD_BYTES];
    let until = Instant::now() + WAIT * 3;
    let mut number = 0;
    while reached() < ORDERS {
        assert!(Instant::now() < until, "{} orders reached a server", reached());
        number += 1;
        let id = format!("order-{number}");
        let response = fleet.call(at, &format!("POST /order/{number}"), &id, &body).await;
        assert!([502, 503].contains(&response.status), "{id}: {response:?}");
    }
}

/// Guards against callers that get a part of an answer as a whole one, after a server answered a long
/// upload unread and reset the connection.
#[tokio::test(flavor = "multi_thread")]
async fn early_answer_that_a_reset_cut_reaches_no_caller() {
    let (fleet, servers) = start(&["z"]).await;
    expect_no_whole_answer(&fleet, &servers, 0).await;
}

/// Guards against the same where another instance passes the request on.
#[tokio::test(flavor = "multi_thread")]
async fn early_answer_that_a_reset_cut_reaches_no_caller_through_another_instance() {
    let (fleet, servers) = start(&["a", "b"]).await;
    expect_no_whole_answer(&fleet, &servers, 1).await;
}

/// Guards against orders that run although their upload was cut, by an end or a reset of the connection.
#[tokio::test(flavor = "multi_thread")]
async fn upload_that_is_cut_reaches_no_server() {
    let (fleet, servers) = start(&["z"]).await;
    let address = fleet.board(0).settings.listen.caller;
    let framings =
        ["content-length: 9\r\n\r\na part", "transfer-encoding: chunked\r\n\r\n6\r\na part\r\n"];
    for (number, framing) in framings.iter().enumerate() {
        for resets in [false, true] {
            let mut stream = TcpStream::connect(address).await.expect("connected");
            let head = format!(
                "POST /order/a HTTP/1.1\r\nhost: shop.example\r\nrequest-id: cut-{number}\r\n{framing}"
            );
            stream.write_all(head.as_bytes()).await.expect("written");
            if resets {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an open socket");
            }
        }
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(servers.iter().map(|server| server.orders.load(Ordering::SeqCst)).sum::<usize>(), 0);
}
