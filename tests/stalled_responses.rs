//! Large responses whose server, caller or forwarding instance falls silent midway.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use standins::routed::Behaviour;
use standins::routed::CONFIG_KEY;
use standins::routed::GatewayFleet;
use standins::routed::RawServer;
use standins::routed::STALLED_AFTER_BYTES;
use standins::routed::two_routes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const WAIT: Duration = Duration::from_secs(10);
/// Timeout of the route of `GET /look/`.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after the timeout within which the response must have ended.
const END_GRACE: Duration = Duration::from_millis(500);
const END_OF_CHUNKS: &[u8] = b"\r\n0\r\n\r\n";

/// Starts one instance and one server with a single slot.
async fn start() -> (GatewayFleet, RawServer) {
    let bed = GatewayFleet::start(&["z"]).await;
    let parts = RawServer::spawn("p1").await;
    bed.store.put("servers/p1", &parts.entry("parts", "z", 1, "ready"));
    bed.store.put(CONFIG_KEY, &two_routes(1));
    bed.wait_until_ready().await;
    until_served(&bed).await;
    (bed, parts)
}

async fn until_served(bed: &GatewayFleet) {
    let until = Instant::now() + WAIT;
    while bed.call(0, "GET /look/a", "served", &[]).await.status != 200 {
        assert!(Instant::now() < until, "not served");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Sends a request whose caller itself would wait for [`WAIT`].
async fn send(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.expect("connected");
    let timeout_ms = WAIT.as_millis();
    let head = format!(
        "GET /look/large HTTP/1.1\r\nhost: shop.example\r\nrequest-id: large\r\n\
         timeout-ms: {timeout_ms}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

/// Guards against a caller that waits for good, or takes a part for the whole, because the time
/// limit of a request covered only the part of the response that is buffered.
#[tokio::test(flavor = "multi_thread")]
async fn response_whose_server_falls_silent_ends_at_the_deadline() {
    let (bed, parts) = start().await;
    for chunked in [false, true] {
        parts.set_behaviour(Behaviour::StallMidway { chunked });
        let began = Instant::now();
        let mut stream = send(bed.board(0).settings.listen.caller).await;
        let mut seen = Vec::new();
        let ended = tokio::time::timeout(WAIT, stream.read_to_end(&mut seen)).await;
        let took = began.elapsed();
        assert!(ended.is_ok(), "still open after {} bytes", seen.len());
        assert!((ROUTE_TIMEOUT..ROUTE_TIMEOUT + END_GRACE).contains(&took), "{took:?}");
        assert!(seen.len() >= STALLED_AFTER_BYTES, "{} bytes", seen.len());
        assert!(!seen.ends_with(END_OF_CHUNKS), "the part looks complete");
        parts.set_behaviour(Behaviour::Answer);
        until_served(&bed).await;
    }
}

/// Guards against a server's slot that stays taken for good because its caller stopped reading.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_stops_reading_releases_its_slot_at_the_deadline() {
    let (bed, parts) = start().await;
    parts.set_behaviour(Behaviour::AnswerLarge);
    let mut stream = send(bed.board(0).settings.listen.caller).await;
    let began = stream.read(&mut [0; 1_024]).await.expect("the response begins");
    assert!(began > 0);
    parts.set_behaviour(Behaviour::Answer);
    tokio::time::sleep(ROUTE_TIMEOUT).await;
    let response = bed.call(0, "GET /look/next", "next", &[]).await;
    assert_eq!(response.status, 200, "the slot is taken");
}
