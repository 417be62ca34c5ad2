//! Bytes of a backend server, or of another instance, that are no answer: without end, or cut in the
//! head.

use std::time::Duration;

use bytes::BytesMut;
use sorrelwick::gateway::BodyDecoder;
use sorrelwick::gateway::Framing;
use sorrelwick::limit::RESPONSE_MAX_BYTES;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::caller::Call;
use standins::routed::AnswerEnd;
use standins::routed::Script;
use standins::routed::ScriptedAnswer;
use standins::routed::ScriptedOrders;
use standins::routed::ScriptedOrdersPlan;
use standins::routed::ScriptedServer;
use tokio::time::Instant;

const WAIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of the route of `POST /order/`: an answer within it does not come from the deadline.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// More than the limits of an instance and all socket buffers on the path together.
const SENT_MAX_BYTES: u64 = 24 << 20;

/// What a server sends without end in place of an answer to a request.
#[derive(Clone, Copy, Debug)]
enum Endless {
    /// A head whose last field never ends.
    Head,
    /// Trailer fields.
    Trailer,
    /// The body of a response to another request.
    StaleBody,
    /// A length beyond all limits, and as many bytes as are read.
    Length,
    /// The same with one chunk.
    Chunk,
}

impl Endless {
    fn answer(self) -> ScriptedAnswer {
        let too_long = RESPONSE_MAX_BYTES + 1;
        let coded = "transfer-encoding: chunked\r\n\r\n";
        let (rest, repeated): (String, &'static [u8]) = match self {
            Self::Head => ("x:".into(), b"xxxxxxxx"),
            Self::Trailer => (format!("{coded}0\r\n"), b"name: value\r\n"),
            Self::StaleBody => (coded.into(), b"4\r\nbody\r\n"),
            Self::Length => (format!("content-length: {too_long}\r\n\r\n"), b"xxxx"),
            Self::Chunk => (format!("{coded}{too_long:x}\r\n"), b"xxxx"),
        };
        let end = AnswerEnd::Repeat(repeated);
        let mut answer = ScriptedAnswer::to_request("HTTP/1.1 200 OK", &rest, end);
        if matches!(self, Self::StaleBody) {
            answer.text = answer.text.replace("{id}", "other");
        }
        answer
    }
}

async fn expect_bounded(orders: &ScriptedOrders) {
    use Endless::Chunk;
    use Endless::Head;
    use Endless::Length;
    use Endless::StaleBody;
    use Endless::Trailer;
    let server = &orders.servers[0];
    for endless in [Head, Trailer, StaleBody, Length, Chunk] {
        server.set_answer(endless.answer());
        let (response, took) = orders.order_at_server(b"").await;
        assert_eq!(response.status, 502, "{endless:?}: {response:?}");
        assert!(took < ROUTE_TIMEOUT, "{endless:?} was read until the deadline");
        let sent = server.repeated_bytes();
        assert!(sent < SENT_MAX_BYTES, "{endless:?}: {sent} bytes");
        server.set(Script::default());
        orders.until_served().await;
    }
}

/// Starts instances and one server.
async fn start(zones: &[&str]) -> ScriptedOrders {
    ScriptedOrders::start(zones, ScriptedOrdersPlan::default()).await
}

/// Guards against a server whose bytes without end, in a head or a body, are read until the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_are_read_up_to_a_limit() {
    expect_bounded(&start(&["z"]).await).await;
}

/// Guards against the same where another instance reads them and passes the result on.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_are_read_up_to_a_limit_for_another_instance() {
    expect_bounded(&start(&["a", "b"]).await).await;
}

/// Guards against health checks whose response never ends: each read as much as its time allowed.
#[tokio::test(flavor = "multi_thread")]
async fn endless_response_to_a_health_check_is_read_up_to_a_limit() {
    let orders = start(&["z"]).await;
    let server = &orders.servers[0];
    let text = "HTTP/1.1 200 OK\r\nload: 0,0,4,100\r\ntransfer-encoding: chunked\r\n\r\n";
    let end = AnswerEnd::Repeat(b"4\r\nbody\r\n");
    let health_check = ScriptedAnswer { text: text.into(), end };
    server.set(Script { health_check, ..Script::default() });
    let before = server.health_checks();
    let until = Instant::now() + WAIT;
    while server.health_checks() < before + 3 {
        assert!(Instant::now() < until, "no health checks");
        let _ = orders.fleet.call(0, "POST /order/a", "a", b"").await;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let checks = (server.health_checks() - before) as u64;
    let sent = server.repeated_bytes();
    assert!(sent < checks * (SENT_MAX_BYTES / 3), "{sent} bytes in {checks} checks");
}

/// Guards against an answer that is cut in its head and reaches the caller as a whole one with an
/// empty or short body.
#[tokio::test(flavor = "multi_thread")]
async fn answer_cut_in_its_head_is_no_answer() {
    for zones in [&["z"][..], &["a", "b"]] {
        let orders = start(zones).await;
        let whole = ScriptedAnswer::to_request(
            "HTTP/1.1 200 OK",
            "content-length: 4\r\n\r\ngood",
            AnswerEnd::Close,
        );
        // The id stands for itself in a text that may be cut within its placeholder.
        let length = whole.text.replace("{id}", "order-10").len() - "good".len();
        for cut in (1..length).step_by(40).chain([length - 2, length - 1]) {
            let id = format!("order-{}", orders.requests());
            let text = whole.text.replace("{id}", &id)[..cut].to_owned();
            orders.servers[0].set_answer(ScriptedAnswer { text, ..whole });
            let (response, _) = orders.order_at_server(b"").await;
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

/// Guards the own interface against the same: a head, trailers or bytes that are no answer, without end,
/// must end a request before its deadline. Informational heads are skipped until then.
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
        let server = ScriptedServer::spawn().await;
        server.set_answer(ScriptedAnswer { text: start.into(), end: AnswerEnd::Repeat(unit) });
        let plan = TestBedPlan { backends: 1, instances: 1, ..TestBedPlan::default() };
        let bed = TestBed::start(plan).await;
        let mut service = bed.service("odd");
        service.backend_servers[0].address = server.address;
        let revision = bed.put_service(0, &service, 0).await.expect("accepted");
        bed.wait_until_applied("odd", revision).await;
        let began = Instant::now();
        let timeout_ms = u64::try_from(TIMEOUT.as_millis()).expect("a few seconds");
        let caller = bed.caller("odd", 0);
        let told = caller.call(&Call::post("/", "s").with_timeout_ms(timeout_ms)).await;
        assert_ne!(told.outcome(), "ran", "{start:?}: {told:?}");
        if ends_early {
            assert!(began.elapsed() < TIMEOUT / 2, "{start:?}: {:?}", began.elapsed());
            let sent = server.repeated_bytes();
            assert!(sent < SENT_MAX_BYTES, "{start:?}: {sent} bytes");
        }
    }
}
