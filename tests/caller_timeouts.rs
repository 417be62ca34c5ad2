//! Callers that keep a connection without a request, or send its head slowly.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use standins::routed::CONFIG_KEY;
use standins::routed::GatewayFleet;
use standins::routed::RawServer;
use standins::routed::two_routes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const HEADER_TIMEOUT: Duration = Duration::from_millis(400);
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time within which a limit that has passed takes effect, also on a busy machine.
const EFFECT_MAX: Duration = Duration::from_secs(1);
const WAIT: Duration = Duration::from_secs(10);
const HEAD: &str = "GET /look/a HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r\r\n\r\n";

/// The configuration of two routes with these limits.
fn config(version: u64, header_timeout: Duration) -> String {
    let limits = format!(
        "\"limits\":{{\"header_timeout_ms\":{},\"idle_timeout_ms\":{}}}",
        header_timeout.as_millis(),
        IDLE_TIMEOUT.as_millis()
    );
    two_routes(version).replace("\"limits\":{}", &limits)
}

async fn start(header_timeout: Duration) -> (GatewayFleet, RawServer, SocketAddr) {
    let bed = GatewayFleet::start(&["z"]).await;
    let parts = RawServer::spawn("p1").await;
    bed.store.put("servers/p1", &parts.entry("parts", "z", 4, "ready"));
    bed.store.put(CONFIG_KEY, &config(1, header_timeout));
    bed.wait_until_ready().await;
    let until = Instant::now() + WAIT;
    while bed.call(0, "GET /look/a", "first", &[]).await.status != 200 {
        assert!(Instant::now() < until, "not served");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let to = bed.board(0).settings.listen.caller;
    (bed, parts, to)
}

/// Sends a head byte by byte; returns when the connection was closed.
async fn drip(to: SocketAddr) -> Duration {
    let (mut read, mut write) = TcpStream::connect(to).await.expect("connected").into_split();
    let began = Instant::now();
    let drip = async {
        let bytes = HEAD.trim_end().as_bytes().iter().chain(std::iter::repeat(&b'r'));
        for byte in bytes {
            // A write fails once the connection is closed.
            if write.write_all(&[*byte]).await.is_err() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let mut end = [0; 1];
    tokio::select! {
        () = drip => {}
        _ = read.read(&mut end) => {}
        () = tokio::time::sleep(WAIT) => {}
    }
    began.elapsed()
}

/// Sends one request and reads its whole response.
async fn exchange(stream: &mut TcpStream) {
    stream.write_all(HEAD.as_bytes()).await.expect("sent");
    let mut seen = Vec::new();
    while !seen.ends_with(b"\r\n\r\nr") {
        let mut bytes = [0; 1_024];
        let read = stream.read(&mut bytes).await.expect("a response");
        assert!(read > 0, "closed: {}", String::from_utf8_lossy(&seen));
        seen.extend_from_slice(&bytes[..read]);
    }
}

/// Guards against callers that hold connections by heads that never end.
#[tokio::test(flavor = "multi_thread")]
async fn slow_head_ends_its_connection() {
    let (_bed, _parts, to) = start(HEADER_TIMEOUT).await;
    let took = drip(to).await;
    assert!((HEADER_TIMEOUT..HEADER_TIMEOUT + EFFECT_MAX).contains(&took), "{took:?}");
}

/// Guards against a connection that is closed while its caller may still keep it, and against one
/// that is kept for good.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_lives_for_the_idle_timeout() {
    let (_bed, _parts, to) = start(HEADER_TIMEOUT).await;
    let mut stream = TcpStream::connect(to).await.expect("connected");
    for _ in 0..3 {
        exchange(&mut stream).await;
        tokio::time::sleep(2 * HEADER_TIMEOUT).await;
    }
    exchange(&mut stream).await;
    let began = Instant::now();
    assert_eq!(stream.read(&mut [0; 1]).await.expect("closed in order"), 0);
    let took = began.elapsed();
    assert!((IDLE_TIMEOUT / 2..IDLE_TIMEOUT + EFFECT_MAX).contains(&took), "{took:?}");
}

/// Guards against a request that is cut off because it, or its response, takes longer than a head.
#[tokio::test(flavor = "multi_thread")]
async fn request_may_take_longer_than_its_head() {
    let (_bed, parts, to) = start(HEADER_TIMEOUT).await;
    parts.set_work_time(2 * HEADER_TIMEOUT);
    let mut stream = TcpStream::connect(to).await.expect("connected");
    exchange(&mut stream).await;
    exchange(&mut stream).await;
}

/// Guards against a changed limit that takes effect only after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn changed_header_timeout_holds_for_the_next_connection() {
    let (bed, _parts, to) = start(WAIT / 4).await;
    bed.store.put(CONFIG_KEY, &config(2, HEADER_TIMEOUT));
    let until = Instant::now() + WAIT;
    while drip(to).await >= HEADER_TIMEOUT + EFFECT_MAX {
        assert!(Instant::now() < until, "the limit is not in force");
    }
}
