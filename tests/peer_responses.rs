//! Responses that one instance receives for another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use parking_lot::Mutex;
use sorrelwick::errors::Code;
use sorrelwick::limit::RESPONSE_MAX_BYTES;
use sorrelwick::peer::BodyRoom;
use sorrelwick::peer::ForwardHead;
use sorrelwick::peer::ForwardReplyHead;
use sorrelwick::peer::ForwardStage;
use sorrelwick::peer::Links;
use sorrelwick::peer::PeerBody;
use sorrelwick::peer::PeerListener;
use sorrelwick::peer::PeerReply;
use sorrelwick::peer::PeerRequest;
use sorrelwick::peer::PeerService;
use sorrelwick::quarantine::Fingerprints;
use sorrelwick::route::AnswerBody;
use sorrelwick::route::Outcome;
use tokio::time::Instant;

const PIPE_BYTES: usize = 64 << 10;
const HALF: &[u8] = b"half of a response";
/// Time that the request allows.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the deadline within which a body must have ended.
const END_GRACE: Duration = Duration::from_millis(500);

fn deadline() -> Instant {
    Instant::now() + TIMEOUT
}

/// What a stand-in instance does after it sent [`HALF`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterHalf {
    Break,
    FallSilent,
}

/// A body that yields [`HALF`] and then, without a pause, an error or nothing more.
async fn half_body(then: AfterHalf) -> AnswerBody {
    half_body_of(then, RESPONSE_MAX_BYTES).await
}

/// As [`half_body`], of a body that may have `max_bytes`.
async fn half_body_of(then: AfterHalf, max_bytes: u64) -> AnswerBody {
    let (near, far) = tokio::io::duplex(PIPE_BYTES);
    tokio::spawn(async move {
        let mut connection = h2::server::handshake(far).await.expect("a connection");
        let (_, mut respond) = connection.accept().await.expect("a request").expect("no error");
        let mut stream = respond.send_response(Response::new(()), false).expect("open");
        stream.send_data(Bytes::from_static(HALF), false).expect("open");
        tokio::spawn(async move { connection.accept().await.is_none() });
        tokio::time::sleep(Duration::from_millis(10)).await;
        match then {
            AfterHalf::Break => stream.send_reset(h2::Reason::INTERNAL_ERROR),
            AfterHalf::FallSilent => std::future::pending().await,
        }
    });
    let (mut sender, connection) = h2::client::handshake(near).await.expect("a connection");
    tokio::spawn(connection);
    let (response, _) = sender.send_request(Request::new(()), true).expect("a stream");
    let rest = response.await.expect("a response").into_body();
    // The half and the reset arrive meanwhile.
    tokio::time::sleep(Duration::from_millis(50)).await;
    AnswerBody::Peer(PeerBody::new(Bytes::new(), rest, deadline(), max_bytes))
}

/// Answers one forwarded request with a prepared body.
#[derive(Clone)]
struct PreparedResponse {
    body: Arc<Mutex<Option<AnswerBody>>>,
    /// Requests that hold memory for their bodies.
    rooms: Arc<AtomicUsize>,
}

/// Memory for the body of a request, counted until it is dropped.
struct CountedRoom(Arc<AtomicUsize>);

impl Drop for CountedRoom {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl BodyRoom for CountedRoom {
    fn try_grow(&mut self, _: usize) -> bool {
        true
    }
}

impl PreparedResponse {
    fn new(body: AnswerBody) -> Self {
        Self { body: Arc::new(Mutex::new(Some(body))), rooms: Arc::default() }
    }
}

impl PeerService for PreparedResponse {
    type ForwardHead = ForwardHead;
    type Body = AnswerBody;
    type Room = CountedRoom;

    async fn handle_control(&self, _: PeerRequest) -> PeerReply {
        PeerReply::Failed(Code::PeerFrame.number())
    }

    async fn handle_forward(&self, _: ForwardHead, _: Bytes) -> (ForwardReplyHead, AnswerBody) {
        let head = ForwardReplyHead {
            outcome: Outcome::Ran,
            code: Code::Ok.number(),
            retry_after_ms: 0,
            status: 200,
            headers: Vec::new(),
            body_bytes: None,
            free_slots: 1,
        };
        (head, self.body.lock().take().expect("one request"))
    }

    fn body_room(&self) -> CountedRoom {
        self.rooms.fetch_add(1, Ordering::AcqRel);
        CountedRoom(Arc::clone(&self.rooms))
    }

    fn connection_refused(&self, from: SocketAddr, why: &str) {
        panic!("{from} refused: {why}");
    }
}

fn request_head() -> ForwardHead {
    ForwardHead {
        service: "portal".into(),
        fingerprints: Fingerprints::of(
            std::net::Ipv4Addr::LOCALHOST.into(),
            "portal",
            "GET",
            "/",
            b"",
        ),
        method: "GET".into(),
        target: "/".into(),
        headers: Vec::new(),
        key: None,
        idempotent: true,
        stage: ForwardStage::Home,
        remaining_us: 500_000,
    }
}

/// Guards against losing the head and first part of a response that breaks off: the stream was
/// reset while they were still queued, so the other instance took the whole response for lost.
#[tokio::test]
async fn head_of_a_broken_response_arrives_before_the_reset() {
    let links = Links::new("");
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let service = PreparedResponse::new(half_body(AfterHalf::Break).await);
    let _listener = PeerListener::spawn(listener, links.secret().into(), service);
    let reply =
        links.forward(address, &request_head(), &Bytes::new(), deadline()).await.expect("the head");
    assert_eq!(reply.head.status, 200);
    let mut body = AnswerBody::Peer(reply.body);
    let mut received = Vec::new();
    let ended = loop {
        match body.frame().await {
            Some(Ok(frame)) => received.extend(frame.into_data().expect("only data")),
            end => break end,
        }
    };
    assert_eq!(received, HALF);
    assert!(matches!(ended, Some(Err(_))), "a broken body looks complete");
}

/// Guards against a caller that waits for good for the rest of a response, because the instance that
/// serves its request froze or was cut off midway.
#[tokio::test]
async fn body_whose_instance_falls_silent_ends_at_the_deadline() {
    let began = Instant::now();
    let body = half_body(AfterHalf::FallSilent).await;
    let ended = tokio::time::timeout(TIMEOUT + END_GRACE, body.collect()).await;
    let ended = ended.expect("the body ends");
    assert!(ended.is_err(), "half of a body looks complete");
    assert!(began.elapsed() >= TIMEOUT, "{:?}", began.elapsed());
}

/// Guards against memory that other instances fill for good: one that froze or was cut off while it
/// received a response kept what its request held here.
#[tokio::test]
async fn request_whose_instance_falls_silent_is_given_up_after_its_deadline() {
    let links = Links::new("");
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    // More than the windows between instances take.
    let body = AnswerBody::Buffered(vec![b'x'; 16 << 20].into());
    let service = PreparedResponse::new(body);
    let _listener = PeerListener::spawn(listener, links.secret().into(), service.clone());
    let reply = links.forward(address, &request_head(), &Bytes::new(), deadline()).await;
    let _unread = reply.expect("the head");
    let rooms = || service.rooms.load(Ordering::Acquire);
    assert_eq!(rooms(), 1);
    let until = Instant::now() + Duration::from_secs(5);
    while rooms() > 0 {
        assert!(Instant::now() < until, "the memory is still held");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against another instance that sends more than the head of its response states: what it sent
/// was collected without end.
#[tokio::test(flavor = "multi_thread")]
async fn body_longer_than_stated_is_an_error() {
    let stated_bytes = HALF.len() as u64 - 1;
    let mut body = half_body_of(AfterHalf::FallSilent, stated_bytes).await;
    assert!(body.frame().await.expect("a frame").is_err());
}
