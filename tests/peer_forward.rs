//! What holds for a request that one gateway forwards to another because it has no path to the
//! backend servers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use serde_json::json;
use sorrelwick::board::Counter;
use sorrelwick::errors::Code;
use sorrelwick::gateway::PeerForwardHead;
use sorrelwick::peer::ForwardReplyHead;
use sorrelwick::peer::Links;
use sorrelwick::quarantine::Fingerprints;
use sorrelwick::route::Outcome;
use sorrelwick::workspace::KeyHash;
use standins::routed::CONFIG_KEY;
use standins::routed::GatewayFleet;
use standins::routed::PathFault;
use standins::routed::RawServer;
use standins::routed::routes_with_workspaces;
use standins::routed::two_routes;
use tokio::task::JoinSet;

const ZONES: [&str; 3] = ["a", "b", "c"];
const WAIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const KEY: &str = "key-of-the-mill";

/// Three instances and servers of both services; instance 0 has no path to them.
struct Bed {
    fleet: GatewayFleet,
    servers: Vec<RawServer>,
}

impl Bed {
    async fn start(config: &str) -> Self {
        let fleet = GatewayFleet::start(&ZONES).await;
        let mut servers = Vec::new();
        for (number, zone) in ZONES.iter().enumerate() {
            for service in ["parts", "orders"] {
                let id = format!("{service}{number}");
                let server = RawServer::spawn(&id).await;
                fleet.list_server(&server, &id, service, zone).await;
                servers.push(server);
            }
        }
        fleet.store.put(CONFIG_KEY, config);
        fleet.wait_until_ready().await;
        let bed = Self { fleet, servers };
        for at in 0..ZONES.len() {
            bed.until(|| bed.fleet.call_with(at, "POST /order/a", "warm", &[("api-key", KEY)]))
                .await;
        }
        bed.fleet.paths[0].set_fault(PathFault::Reset);
        let reach = Arc::clone(&bed.fleet.board(0).reach);
        let until = Instant::now() + WAIT;
        while reach.lost().len() < 2 {
            assert!(Instant::now() < until, "the paths are not known to be lost");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bed
    }

    async fn until<F>(&self, call: impl Fn() -> F)
    where
        F: Future<Output = standins::routed::RawResponse>,
    {
        let until = Instant::now() + WAIT;
        while call().await.status != 200 {
            assert!(Instant::now() < until, "not served");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn set_work_time(&self, work_time: Duration) {
        for server in &self.servers {
            server.set_work_time(work_time);
        }
    }

    fn runs(&self, id: &str) -> usize {
        let ids = self.servers.iter().flat_map(RawServer::ran_ids);
        ids.filter(|ran| ran == id).count()
    }

    /// Forwards a request to the instance at `to` as another instance would.
    async fn forward(&self, to: usize, head: &PeerForwardHead) -> ForwardReplyHead {
        let board = self.fleet.board(to);
        let links = Links::new(&board.settings.peers.secret);
        let deadline = tokio::time::Instant::now() + WAIT;
        let to = board.settings.listen.peer;
        let forwarded = links.forward(to, head, &Bytes::new(), deadline).await;
        forwarded.expect("a reply").head
    }
}

fn order_head() -> PeerForwardHead {
    let header = |name: &str, value: &str| (name.to_owned(), value.as_bytes().to_vec());
    PeerForwardHead {
        method: "POST".into(),
        path_and_query: "/order/a".into(),
        headers: vec![header("host", "shop.example"), header("request-id", "forwarded")],
        key: None,
        fingerprints: Fingerprints::of([127, 0, 0, 1].into(), "shop.example", "POST", "/", b""),
        service: "orders".into(),
        config_version: 1,
        elapsed_us: 0,
        spent_before_us: 0,
        remaining_us: 1_000_000,
        sends: 0,
        counted: false,
    }
}

/// Guards against an order that runs twice, or a false "not run", when the other instance is killed
/// while it serves the order.
#[tokio::test(flavor = "multi_thread")]
async fn order_runs_once_when_the_link_breaks() {
    let mut bed = Bed::start(&two_routes(1)).await;
    bed.set_work_time(Duration::from_millis(400));
    let to = bed.fleet.board(0).settings.listen.caller;
    let mut calls = JoinSet::new();
    // Each is forwarded to one of two instances at random; one is killed.
    for number in 0..12 {
        calls.spawn(async move {
            let id = format!("broken{number}");
            let fields = [("host", "shop.example"), ("request-id", id.as_str())];
            let response = standins::routed::raw_call(to, "POST /order/a", &fields, &[]).await;
            (id, response.status)
        });
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    bed.fleet.instances.remove(1).kill();
    let results = calls.join_all().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(results.iter().any(|(_, status)| *status == 502), "{results:?}");
    for (id, status) in results {
        let runs = bed.runs(&id);
        assert!(runs <= 1, "{id} ran {runs} times");
        assert!(status != 503 || runs == 0, "{id}: 503, and it ran");
        assert!(matches!(status, 200 | 502 | 503), "{id}: {status}");
    }
}

/// Guards against requests that instances pass on and on: one without a path declines.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_request_is_not_forwarded_again() {
    let bed = Bed::start(&two_routes(1)).await;
    let reply = bed.forward(0, &order_head()).await;
    assert_eq!((reply.outcome, reply.code), (Outcome::NotRun, Code::PeerDeclined.number()));
    assert_eq!(bed.runs("forwarded"), 0);
    let reply = bed.forward(1, &order_head()).await;
    assert_eq!((reply.outcome, reply.status), (Outcome::Ran, 200));
    assert_eq!(bed.runs("forwarded"), 1);
}

/// Guards against serving a request by an older configuration than the instance that it came to has.
#[tokio::test(flavor = "multi_thread")]
async fn instance_with_an_older_configuration_declines() {
    let bed = Bed::start(&two_routes(1)).await;
    let newer = PeerForwardHead { config_version: 2, ..order_head() };
    assert_eq!(bed.forward(1, &newer).await.code, Code::PeerDeclined.number());
    assert_eq!(bed.runs("forwarded"), 0);
    // The route of the receiver's newer configuration applies, not the sender's choice.
    let moved = PeerForwardHead { service: "gone".into(), ..order_head() };
    assert_eq!(bed.forward(1, &moved).await.status, 200);
}

/// Guards against more attempts than the route allows, counted over both instances.
#[tokio::test(flavor = "multi_thread")]
async fn attempts_of_both_instances_count_together() {
    let bed = Bed::start(&two_routes(1)).await;
    for server in &bed.servers {
        server.set_behaviour(standins::routed::Behaviour::Shed);
    }
    let received = || -> usize {
        let heads = bed.servers.iter().flat_map(RawServer::request_heads);
        heads.filter(|head| head.contains("request-id: forwarded")).count()
    };
    let head = PeerForwardHead { sends: 2, ..order_head() };
    let reply = bed.forward(1, &head).await;
    assert_eq!(reply.outcome, Outcome::NotRun);
    assert_eq!(received(), 1, "the route allows three attempts, two were made before");
}

/// Guards against a deadline that starts anew at the other instance.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_holds_across_instances() {
    let bed = Bed::start(&two_routes(1)).await;
    bed.set_work_time(Duration::from_secs(5));
    let began = Instant::now();
    let fields = [("timeout-ms", "300")];
    let response = bed.fleet.call_with(0, "POST /order/a", "late", &fields).await;
    assert!(matches!(response.status, 502 | 504), "{}", response.status);
    assert!(began.elapsed() < Duration::from_millis(800), "{:?}", began.elapsed());
    let heads: Vec<String> = bed.servers.iter().flat_map(RawServer::request_heads).collect();
    let late = heads.iter().find(|head| head.contains("request-id: late")).expect("it was sent");
    let allowed = late.lines().find_map(|line| line.strip_prefix("timeout-ms: "));
    let allowed_ms: u64 = allowed.expect("a timeout").parse().expect("a number");
    assert!(allowed_ms <= 300, "{allowed_ms}");
}

/// Guards against a key that is passed on as text, and against one that only the first instance
/// checks: it may have been revoked since.
#[tokio::test(flavor = "multi_thread")]
async fn key_is_checked_again_by_its_hash() {
    let workspaces = json!([{ "name": "mill", "api_keys": [KEY] }]);
    let bed = Bed::start(&routes_with_workspaces(1, &workspaces)).await;
    let call = |id: &'static str, key: &'static str| {
        let fleet = &bed.fleet;
        async move { fleet.call_with(0, "POST /order/a", id, &[("api-key", key)]).await.status }
    };
    assert_eq!(call("with-key", KEY).await, 200);
    assert_eq!(call("without-key", "wrong").await, 401);
    let heads: Vec<String> = bed.servers.iter().flat_map(RawServer::request_heads).collect();
    let head = heads.iter().find(|head| head.contains("request-id: with-key")).expect("sent");
    assert!(head.contains("workspace: mill") && !head.contains(KEY), "{head}");
    let known = PeerForwardHead { key: Some(KeyHash::of(KEY.as_bytes())), ..order_head() };
    assert_eq!(bed.forward(1, &known).await.status, 200);
    let revoked = PeerForwardHead { key: Some(KeyHash::of(b"revoked")), ..order_head() };
    assert_eq!(bed.forward(1, &revoked).await.status, 401);
    assert_eq!(bed.forward(1, &order_head()).await.status, 401);
    assert_eq!(bed.runs("forwarded"), 1);
}

/// Guards against forwarded requests that crowd out the callers of the instances that serve them.
/// What is too much is refused at once, with a time to come back.
#[tokio::test(flavor = "multi_thread")]
async fn what_an_instance_takes_of_others_is_bounded() {
    let bed = Arc::new(Bed::start(&two_routes(1)).await);
    bed.set_work_time(Duration::from_millis(600));
    let capacity_per_s = bed.fleet.board(1).own_capacity_per_s();
    let limit = usize::try_from(capacity_per_s / 8).expect("a small number") * (ZONES.len() - 1);
    let before = bed.fleet.board(0).counters.get(Counter::NotRun);
    let mut calls = JoinSet::new();
    for number in 0..limit + 60 {
        let bed = Arc::clone(&bed);
        calls.spawn(async move {
            let began = Instant::now();
            let id = format!("many{number}");
            let response = bed.fleet.call(0, "GET /look/a", &id, &[]).await;
            (response.status, response.header("retry-after").is_some(), began.elapsed())
        });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let running: usize = bed.servers.iter().map(|server| server.peak_in_flight() as usize).sum();
    assert!(running <= limit, "{running} of {limit}");
    let results = calls.join_all().await;
    let refused: Vec<_> = results.iter().filter(|(status, _, _)| *status == 503).collect();
    assert!(refused.len() >= 60, "{} of {} are refused", refused.len(), results.len());
    assert!(refused.iter().all(|(_, retry_after, _)| *retry_after));
    assert!(bed.fleet.board(0).counters.get(Counter::NotRun) - before >= 60);
}
