//! A planned stop of a gateway, whatever its grace period: what an instance has read is answered
//! before its process ends, or refused at once.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use sorrelwick::board::Counter;
use sorrelwick::conf::Settings;
use standins::routed::Behaviour;
use standins::routed::CONFIG_KEY;
use standins::routed::GatewayFleet;
use standins::routed::LARGE_BYTES;
use standins::routed::PathFault;
use standins::routed::RawServer;
use standins::routed::two_routes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

const WAIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of the route of `POST /order/`.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// A refusal is at once if it takes no longer.
const AT_ONCE: Duration = Duration::from_millis(150);
/// Requests of one schedule, each on a connection of its own.
const REQUESTS: usize = 6;
const SEEDS: std::ops::Range<u64> = 0..12;

/// Starts one instance with this grace period, and servers of its orders.
async fn start(grace: Duration, servers: usize) -> (GatewayFleet, Vec<RawServer>) {
    let fleet = start_fleet(&["z"], grace).await;
    let orders = serve_orders(&fleet, "z", servers).await;
    until_served(&fleet, 0).await;
    (fleet, orders)
}

async fn start_fleet(zones: &[&str], grace: Duration) -> GatewayFleet {
    let set_grace = |settings: &mut Settings| {
        let gateway = settings.gateway.as_mut().expect("a gateway");
        gateway.grace_s = grace.as_secs_f64();
    };
    GatewayFleet::start_with(zones, set_grace).await
}

async fn serve_orders(fleet: &GatewayFleet, zone: &str, servers: usize) -> Vec<RawServer> {
    let mut orders = Vec::new();
    for number in 0..servers {
        let id = format!("o{number}");
        let server = RawServer::spawn(&id).await;
        fleet.list_server(&server, &id, "orders", zone).await;
        orders.push(server);
    }
    fleet.store.put(CONFIG_KEY, &two_routes(1));
    fleet.wait_until_ready().await;
    orders
}

fn ran_ids(servers: &[RawServer]) -> Vec<String> {
    servers.iter().flat_map(RawServer::ran_ids).collect()
}

async fn until_served(fleet: &GatewayFleet, at: usize) {
    let until = Instant::now() + WAIT;
    while fleet.call(at, "POST /order/warm", "warm", b"").await.status != 200 {
        assert!(Instant::now() < until, "not served");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// What a caller saw of one request.
#[derive(Debug)]
struct Seen {
    id: String,
    /// 0 without a complete answer.
    status: u16,
    code_text: String,
    took: Duration,
}

/// Opens a connection on which a request has been served, as a caller that keeps it has it.
async fn kept_connection(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.expect("connected");
    let until = Instant::now() + WAIT;
    while order(&mut stream, "before").await.status != 200 {
        assert!(Instant::now() < until, "not served");
    }
    stream
}

/// Sends an order and reads its answer.
async fn order(stream: &mut TcpStream, id: &str) -> Seen {
    let began = Instant::now();
    let head = format!(
        "POST /order/a HTTP/1.1\r\nhost: shop.example\r\nrequest-id: {id}\r\ncontent-length: 0\r\n\r\n"
    );
    let sent = stream.write_all(head.as_bytes()).await.is_ok();
    let answer = if sent { read_answer(stream).await } else { None };
    let (status, code_text) = answer.unwrap_or_default();
    Seen { id: id.to_owned(), status, code_text, took: began.elapsed() }
}

/// Status and head of a complete answer.
async fn read_answer(stream: &mut TcpStream) -> Option<(u16, String)> {
    let mut bytes = Vec::new();
    loop {
        let mut part = [0; 4_096];
        let count = stream.read(&mut part).await.ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&part[..count]);
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        if body.len() >= length?.parse().ok()? {
            return Some((head.split(' ').nth(1)?.parse().ok()?, head.to_owned()));
        }
    }
}

/// Guards against orders that are cut while their server is at work: an instance went on taking
/// requests after the stop signal that could not end before its process did.
#[tokio::test(flavor = "multi_thread")]
async fn requests_after_the_stop_signal_are_answered_or_refused_at_once() {
    let mut stops = JoinSet::new();
    for seed in SEEDS {
        let mut random = Pcg64::seed_from_u64(seed);
        let grace_ms = random.random_range(500..=3_500);
        let send_after_ms = |_| random.random_range(0..=grace_ms);
        let schedule = (0..REQUESTS).map(send_after_ms).collect();
        stops.spawn(stop_under_requests(Duration::from_millis(grace_ms), schedule));
    }
    stops.join_all().await;
}

async fn stop_under_requests(grace: Duration, schedule: Vec<u64>) {
    let (mut fleet, orders) = start(grace, REQUESTS).await;
    let to = fleet.board(0).settings.listen.caller;
    // Longer than some graces, shorter than the timeout of the route.
    for server in &orders {
        server.set_work_time(Duration::from_millis(700));
    }
    let connections: JoinSet<TcpStream> = schedule.iter().map(|_| kept_connection(to)).collect();
    let connections = connections.join_all().await;
    let signalled = Instant::now();
    let stopped = tokio::spawn(fleet.instances.remove(0).stop());
    let mut callers = JoinSet::new();
    for (number, (after_ms, mut stream)) in schedule.into_iter().zip(connections).enumerate() {
        callers.spawn(async move {
            tokio::time::sleep_until(signalled + Duration::from_millis(after_ms)).await;
            order(&mut stream, &format!("late-{number}")).await
        });
    }
    let seen = callers.join_all().await;
    stopped.await.expect("no panic");
    assert!(signalled.elapsed() < grace + AT_ONCE, "ended after {:?}", signalled.elapsed());
    let ran = ran_ids(&orders);
    for one in seen {
        let has_run = ran.contains(&one.id);
        match one.status {
            200 => assert!(has_run, "{one:?}"),
            503 => assert!(!has_run && one.took < AT_ONCE, "grace {grace:?}: {one:?}"),
            // The connection was closed before the instance had read the request.
            0 => assert!(!has_run, "cut, grace {grace:?}: {one:?}"),
            _ => panic!("grace {grace:?}: {one:?}"),
        }
    }
}

/// Guards against callers that are left without an answer by a process that ends with requests in
/// flight which arrived before the stop signal and may last longer than the grace period.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_outlast_the_grace_period_are_answered_before_the_process_ends() {
    let grace = Duration::from_millis(900);
    let (mut fleet, orders) = start(grace, 1).await;
    let to = fleet.board(0).settings.listen.caller;
    orders[0].set_behaviour(Behaviour::Silent);
    let mut callers = JoinSet::new();
    // More than the server has slots.
    for number in 0..8 {
        callers.spawn(async move {
            let mut stream = TcpStream::connect(to).await.expect("connected");
            order(&mut stream, &format!("early-{number}")).await
        });
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    let signalled = Instant::now();
    fleet.instances.remove(0).stop().await;
    assert!(signalled.elapsed() < grace, "{:?}", signalled.elapsed());
    assert!(grace < ROUTE_TIMEOUT);
    let ran = ran_ids(&orders);
    let seen = callers.join_all().await;
    for one in &seen {
        let has_run = ran.contains(&one.id);
        assert_eq!(one.status, if has_run { 502 } else { 503 }, "{one:?}");
        assert!(has_run || one.code_text.contains("retry-after: "), "{one:?}");
    }
    assert!(seen.iter().any(|one| one.status == 502) && seen.iter().any(|one| one.status == 503));
}

/// Guards against a large response that breaks off because the instance that receives it for
/// another one ended while it was passing it on: only the head counted as a request in flight.
#[tokio::test(flavor = "multi_thread")]
async fn response_for_another_instance_is_passed_on_before_the_process_ends() {
    let grace = Duration::from_secs(4);
    let mut fleet = start_fleet(&["a", "b"], grace).await;
    let orders = serve_orders(&fleet, "a", 1).await;
    fleet.store.put(CONFIG_KEY, &two_routes(2).replace("1200", "5000"));
    until_served(&fleet, 0).await;
    fleet.paths[1].set_fault(PathFault::Reset);
    until_served(&fleet, 1).await;
    orders[0].set_behaviour(Behaviour::AnswerLarge);
    let to = fleet.board(1).settings.listen.caller;
    let mut stream = TcpStream::connect(to).await.expect("connected");
    let head = "POST /order/a HTTP/1.1\r\nhost: shop.example\r\nrequest-id: large\r\n\
                connection: close\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("sent");
    assert!(stream.read(&mut [0; 1_024]).await.expect("the response begins") > 0);
    let stopped = tokio::spawn(fleet.instances.remove(0).stop());
    // By then the instance has closed the connections of its own callers.
    tokio::time::sleep(grace * 6 / 10).await;
    let mut rest = Vec::new();
    let read = stream.read_to_end(&mut rest).await;
    assert!(read.is_ok() && rest.len() + 1_024 > LARGE_BYTES, "{read:?}, {} bytes", rest.len());
    stopped.await.expect("no panic");
}

/// Guards against a refusal without its own code: operators could not tell it from a full queue.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_by_a_stopping_instance_names_the_reason() {
    let (fleet, _orders) = start(Duration::from_millis(500), 1).await;
    let to = fleet.board(0).settings.listen.caller;
    let mut stream = kept_connection(to).await;
    let board = std::sync::Arc::clone(fleet.board(0));
    let mut fleet = fleet;
    let stopped = tokio::spawn(fleet.instances.remove(0).stop());
    tokio::time::sleep(Duration::from_millis(50)).await;
    let seen = order(&mut stream, "late").await;
    assert_eq!(seen.status, 503, "{seen:?}");
    assert!(seen.code_text.contains("retry-after: "), "{seen:?}");
    assert!(seen.code_text.contains("connection: close"), "{seen:?}");
    assert_eq!(board.counters.get(Counter::StopRefusals), 1);

    stopped.await.expect("no panic");
}
