//! Answers of servers that have not read the request, and that a reset of the connection may cut.

use std::io::Read;
use std::io::Write;
use std::sync::mpsc;
use std::time::Duration;

use http::HeaderName;
use http::HeaderValue;
use socket2::SockRef;
use sorrelwick::gateway::ExchangeError;
use sorrelwick::gateway::ResponseMatcher;
use sorrelwick::gateway::ServerConnPool;
use standins::routed::AnswerEnd;
use standins::routed::ScriptedAnswer;
use standins::routed::ScriptedOrders;
use standins::routed::ScriptedOrdersPlan;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const WAIT: Duration = Duration::from_secs(10);
/// More than all socket buffers on the path hold.
const UPLOAD_BYTES: usize = 6 << 20;
/// Orders that reach a server in each run.
const ORDERS: usize = 24;
const SERVERS: usize = 8;

/// The answer to request `a` with this framing and body.
fn answer(framing: &str, body: &str) -> String {
    let rest = format!("{framing}\r\n{body}");
    ScriptedAnswer::to_request("HTTP/1.1 200 OK", &rest, AnswerEnd::Reset).for_id("a")
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
    let cut = exchange_with_reset(answer("", "a part")).await;
    assert_eq!(cut, Err(ExchangeError::Truncated));
    let cut = exchange_with_reset(answer("content-length: 9\r\n", "a part")).await;
    assert_eq!(cut, Err(ExchangeError::Truncated));
    let cut =
        exchange_with_reset(answer("transfer-encoding: chunked\r\n", "6\r\na part\r\n")).await;
    assert_eq!(cut, Err(ExchangeError::Truncated));
}

/// Guards against whole answers that are lost with the connection: their end does not depend on its.
#[tokio::test]
async fn answer_with_an_end_of_its_own_is_whole_before_a_reset() {
    let whole = exchange_with_reset(answer("content-length: 5\r\n", "whole")).await;
    assert_eq!(whole.as_deref(), Ok(b"whole".as_slice()));
    let chunks = answer("transfer-encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n");
    assert_eq!(exchange_with_reset(chunks).await.as_deref(), Ok(b"whole".as_slice()));
}

/// Starts instances whose servers answer each order with a part and reset the connection.
async fn start(zones: &[&str]) -> ScriptedOrders {
    let body_bytes_max = 2 * UPLOAD_BYTES;
    let plan = ScriptedOrdersPlan { servers: SERVERS, body_bytes_max, direct: true };
    let orders = ScriptedOrders::start(zones, plan).await;
    for server in &orders.servers {
        let part = ScriptedAnswer::to_request("HTTP/1.1 200 OK", "\r\na part", AnswerEnd::Reset);
        server.set_answer(part);
    }
    orders
}

/// Sends long orders until enough of them reached a server; none may get a whole answer.
async fn expect_no_whole_answer(orders: &ScriptedOrders) {
    let body = vec![b'x'; UPLOAD_BYTES];
    let before = orders.requests();
    while orders.requests() < before + ORDERS {
        let (response, _) = orders.order_at_server(&body).await;
        assert_eq!(response.status, 502, "{response:?}");
    }
}

/// Guards against callers that get a part of an answer as a whole one, after a server answered a long
/// upload unread and reset the connection.
#[tokio::test(flavor = "multi_thread")]
async fn early_answer_that_a_reset_cut_reaches_no_caller() {
    expect_no_whole_answer(&start(&["z"]).await).await;
}

/// Guards against the same where another instance passes the request on.
#[tokio::test(flavor = "multi_thread")]
async fn early_answer_that_a_reset_cut_reaches_no_caller_through_another_instance() {
    expect_no_whole_answer(&start(&["a", "b"]).await).await;
}

/// Guards against orders that run although their upload was cut, by an end or a reset of the connection.
#[tokio::test(flavor = "multi_thread")]
async fn upload_that_is_cut_reaches_no_server() {
    let orders = start(&["z"]).await;
    let before = orders.requests();
    let address = orders.fleet.board(0).settings.listen.caller;
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
    assert_eq!(orders.requests(), before);
}
