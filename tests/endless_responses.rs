//! Bytes of a backend server, or of another instance, that are no answer: without end, or cut in the
//! head.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use parking_lot::Mutex;
use sorrelwick::gateway::BodyDecoder;
use sorrelwick::gateway::Framing;
use sorrelwick::limit::RESPONSE_MAX_BYTES;
use sorrelwick::task::TaskGuard;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::caller::Call;
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
/// Timeout of the route of `POST /order/`: an answer within it does not come from the deadline.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// More than the limits of an instance and all socket buffers on the path together.
const SENT_MAX_BYTES: u64 = 24 << 20;
const PIECE_BYTES: usize = 64 << 10;

/// What the server sends in place of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bad {
    Nothing,
    /// A head whose last field never ends.
    Head,
    /// Trailer fields without end.
    Trailer,
    /// The body of a response to another request, without end.
    StaleBody,
    /// A length beyond all limits, and as many bytes as are read.
    Length,
    /// The same with one chunk.
    Chunk,
    /// A good answer to a request, and a health check whose body never ends.
    HealthBody,
    /// A head that is cut after this many bytes.
    CutHead(usize),
}

/// A server of orders that answers as scripted.
struct ScriptedServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    _task: TaskGuard,
}

struct Shared {
    bad: Mutex<Bad>,
    sent_bytes: AtomicU64,
    orders: AtomicUsize,
    health_checks: AtomicUsize,
}

impl ScriptedServer {
    async fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            bad: Mutex::new(Bad::Nothing),
            sent_bytes: AtomicU64::default(),
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

    fn set(&self, bad: Bad) {
        *self.shared.bad.lock() = bad;
        self.shared.sent_bytes.store(0, Ordering::SeqCst);
    }

    fn sent_bytes(&self) -> u64 {
        self.shared.sent_bytes.load(Ordering::SeqCst)
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(bytes).ok()
}

/// The head of a good answer with this field for its framing.
fn head(id: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s-{id}\r\nload: 0,0,4,100\r\n{framing}\r\n\r\n"
    )
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    while let Some(request) = read_head(&mut stream).await {
        let bad = *shared.bad.lock();
        if request.starts_with("GET /health") {
            shared.health_checks.fetch_add(1, Ordering::SeqCst);
            let framing = if bad == Bad::HealthBody {
                "transfer-encoding: chunked"
            } else {
                "content-length: 0"
            };
            let answer = format!("HTTP/1.1 200 OK\r\nload: 0,0,4,100\r\n{framing}\r\n\r\n");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            if bad == Bad::HealthBody {
                return send_without_end(&mut stream, &shared, b"4\r\nbody\r\n").await;
            }
            continue;
        }
        shared.orders.fetch_add(1, Ordering::SeqCst);
        let id = request.lines().find_map(|line| line.strip_prefix("request-id: "));
        let id = id.unwrap_or("-");
        let good = head(id, "content-length: 4") + "good";
        let (first, then): (String, &[u8]) = match bad {
            Bad::Nothing | Bad::HealthBody => (good, b""),
            Bad::CutHead(at) => (good[..at].to_owned(), b""),
            Bad::Head => (head(id, "x: ").trim_end().to_owned(), b"xxxxxxxx"),
            Bad::Trailer => (head(id, "transfer-encoding: chunked") + "0\r\n", b"name: value\r\n"),
            Bad::StaleBody => (head("other", "transfer-encoding: chunked"), b"4\r\nbody\r\n"),
            Bad::Length => {
                (head(id, &format!("content-length: {}", RESPONSE_MAX_BYTES + 1)), b"xxxx")
            }
            Bad::Chunk => {
                let size = format!("{:x}\r\n", RESPONSE_MAX_BYTES + 1);
                (head(id, "transfer-encoding: chunked") + &size, b"xxxx")
            }
        };
        if stream.write_all(first.as_bytes()).await.is_err() || matches!(bad, Bad::CutHead(_)) {
            return;
        }
        if !then.is_empty() {
            return send_without_end(&mut stream, &shared, then).await;
        }
    }
}

async fn send_without_end(stream: &mut TcpStream, shared: &Shared, unit: &[u8]) {
    let piece = unit.repeat(PIECE_BYTES / unit.len());
    while stream.write_all(&piece).await.is_ok() {
        shared.sent_bytes.fetch_add(piece.len() as u64, Ordering::SeqCst);
    }
}

/// Starts instances and one server; the last instance has no path to it.
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

/// Sends orders until one has reached the server; returns its answer and how long it took. The
/// instance refuses orders for a while after a server's failure.
async fn order_at_server(
    fleet: &GatewayFleet,
    server: &ScriptedServer,
    at: usize,
) -> (RawResponse, Duration) {
    let until = Instant::now() + WAIT;
    loop {
        let before = server.shared.orders.load(Ordering::SeqCst);
        let began = Instant::now();
        let id = format!("order-{before}");
        let response = fleet.call(at, &format!("POST /order/{before}"), &id, b"").await;
        if server.shared.orders.load(Ordering::SeqCst) > before {
            return (response, began.elapsed());
        }
        assert_eq!(response.status, 503, "{response:?}");
        assert!(Instant::now() < until, "no order reaches the server");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn expect_bounded(fleet: &GatewayFleet, server: &ScriptedServer, at: usize) {
    for bad in [Bad::Head, Bad::Trailer, Bad::StaleBody, Bad::Length, Bad::Chunk] {
        server.set(bad);
        let (response, took) = order_at_server(fleet, server, at).await;
        assert_eq!(response.status, 502, "{bad:?}: {response:?}");
        assert!(took < ROUTE_TIMEOUT, "{bad:?} was read until the deadline");
        assert!(server.sent_bytes() < SENT_MAX_BYTES, "{bad:?}: {} bytes", server.sent_bytes());
        server.set(Bad::Nothing);
        until_served(fleet, at).await;
    }
}

/// Guards against a server whose bytes without end, in a head or a body, are read until the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_are_read_up_to_a_limit() {
    let (fleet, server) = start(&["z"]).await;
    expect_bounded(&fleet, &server, 0).await;
}

/// Guards against the same where another instance reads them and passes the result on.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_are_read_up_to_a_limit_for_another_instance() {
    let (fleet, server) = start(&["a", "b"]).await;
    expect_bounded(&fleet, &server, 1).await;
}

/// Guards against health checks whose response never ends: each read as much as its time allowed.
#[tokio::test(flavor = "multi_thread")]
async fn endless_response_to_a_health_check_is_read_up_to_a_limit() {
    let (fleet, server) = start(&["z"]).await;
    server.set(Bad::HealthBody);
    let before = server.shared.health_checks.load(Ordering::SeqCst);
    let until = Instant::now() + WAIT;
    while server.shared.health_checks.load(Ordering::SeqCst) < before + 3 {
        assert!(Instant::now() < until, "no health checks");
        let _ = fleet.call(0, "POST /order/a", "a", b"").await;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let checks = (server.shared.health_checks.load(Ordering::SeqCst) - before) as u64;
    assert!(
        server.sent_bytes() < checks * (SENT_MAX_BYTES / 3),
        "{} bytes in {checks} checks",
        server.sent_bytes()
    );
}

/// Guards against an answer that is cut in its head and reaches the caller as a whole one with an
/// empty or short body.
#[tokio::test(flavor = "multi_thread")]
async fn answer_cut_in_its_head_is_no_answer() {
    for zones in [&["z"][..], &["a", "b"]] {
        let (fleet, server) = start(zones).await;
        let length = head("order-10", "content-length: 4").len();
        for cut in (1..length).step_by(40).chain([length - 2, length - 1]) {
            server.set(Bad::CutHead(cut));
            let (response, _) = order_at_server(&fleet, &server, zones.len() - 1).await;
            assert_eq!(response.status, 502, "cut after {cut} bytes: {response:?}");
            assert!(response.body.is_empty(), "cut after {cut} bytes: {response:?}");
        }
    }
}

/// Guards against a body without a length that is passed on without end.
#[test]
fn body_beyond_its_limit_is_an_error() {
    for framing in [Framing::UntilClose, Framing::Chunked] {
        let mut decoder = BodyDecoder::new(framing, 1_000);
        let mut input = BytesMut::new();
        let mut received = 0;
        let failed_at = (0..1_000).find(|_| {
            input.extend_from_slice(b"4\r\nbody\r\n");
            loop {
                match decoder.decode(&mut input) {
                    Ok(Some(bytes)) => received += bytes.len(),
                    Ok(None) => return false,
                    Err(_) => return true,
                }
            }
        });
        assert!(failed_at.is_some(), "{framing:?} is read without end");
        assert!(received <= 1_000, "{framing:?}: {received} bytes");
    }
}

/// Guards the own interface against the same: bytes without end, in a head or between the heads of
/// informational responses, must not be kept; all but the latter must end the request before its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn own_interface_reads_bytes_without_end_up_to_a_limit() {
    const TIMEOUT: Duration = Duration::from_secs(3);
    let starts: [(&str, &[u8], bool); 5] = [
        ("HTTP/1.1 200 OK\r\nx: ", b"xxxxxxxx", true),
        ("HTTP/1.1 200 OK\r\n", b"name: value\r\n", true),
        ("", b"no answer ", true),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", b"name: value\r\n", true),
        ("", b"HTTP/1.1 103 Early\r\nx: y\r\n\r\n", false),
    ];
    for (start, unit, ends_early) in starts {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            bad: Mutex::new(Bad::Nothing),
            sent_bytes: AtomicU64::default(),
            orders: AtomicUsize::default(),
            health_checks: AtomicUsize::default(),
        });
        let sending = Arc::clone(&shared);
        let _task = TaskGuard::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let sending = Arc::clone(&sending);
                tokio::spawn(async move {
                    if read_head(&mut stream).await.is_some() {
                        let _ = stream.write_all(start.as_bytes()).await;
                        send_without_end(&mut stream, &sending, unit).await;
                    }
                });
            }
        });
        let plan = TestBedPlan { backends: 1, instances: 1, ..TestBedPlan::default() };
        let bed = TestBed::start(plan).await;
        let mut service = bed.service("odd");
        service.backend_servers[0].address = address;
        let revision = bed.put_service(0, &service, 0).await.expect("accepted");
        bed.wait_until_applied("odd", revision).await;
        let began = Instant::now();
        let timeout_ms = u64::try_from(TIMEOUT.as_millis()).expect("a few seconds");
        let caller = bed.caller("odd", 0);
        let told = caller.call(&Call::post("/", "s").with_timeout_ms(timeout_ms)).await;
        assert_ne!(told.outcome(), "ran", "{start:?}: {told:?}");
        if ends_early {
            assert!(began.elapsed() < TIMEOUT / 2, "{start:?}: {:?}", began.elapsed());
            let sent = shared.sent_bytes.load(Ordering::SeqCst);
            assert!(sent < SENT_MAX_BYTES, "{start:?}: {sent} bytes");
        }
    }
}
