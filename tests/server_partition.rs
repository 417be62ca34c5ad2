//! Instances that lose their paths to backend servers while callers, the store and the other
//! instances still reach them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use sorrelwick::board::Counter;
use standins::routed::Behaviour;
use standins::routed::CONFIG_KEY;
use standins::routed::CrashRule;
use standins::routed::GatewayFleet;
use standins::routed::LARGE_BYTES;
use standins::routed::PathFault;
use standins::routed::RawServer;
use standins::routed::two_routes;

const ZONES: [&str; 6] = ["a", "a", "b", "b", "c", "c"];
const SERVERS_PER_SERVICE: usize = 4;
/// Time within which the effects of a partition on callers end.
const CONTACT: Duration = Duration::from_secs(3);
/// Time within which each instance of a new fleet serves.
const START_MAX: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which a change of the paths takes effect on all of them.
const CUT_DELAY: Duration = Duration::from_millis(50);
/// Requests sent to one instance to see whether it serves.
const SAMPLE_REQUESTS: usize = 40;

/// A fleet with servers of both services in each zone.
struct Bed {
    fleet: GatewayFleet,
    parts: Vec<RawServer>,
    orders: Vec<RawServer>,
}

impl Bed {
    async fn start() -> Self {
        Self::start_within(START_MAX).await
    }

    /// Starts a fleet each of whose instances serves within a time.
    async fn start_within(start_max: Duration) -> Self {
        let fleet = GatewayFleet::start(&ZONES).await;
        let (mut parts, mut orders) = (Vec::new(), Vec::new());
        for number in 0..SERVERS_PER_SERVICE {
            for (service, servers) in [("parts", &mut parts), ("orders", &mut orders)] {
                let id = format!("{service}{number}");
                let server = RawServer::spawn(&id).await;
                server.set_work_time(Duration::from_millis(20));
                fleet.list_server(&server, &id, service, ZONES[2 * (number % 3)]).await;
                servers.push(server);
            }
        }
        fleet.store.put(CONFIG_KEY, &two_routes(1));
        fleet.wait_until_ready().await;
        let bed = Self { fleet, parts, orders };
        for at in 0..ZONES.len() {
            bed.until_served(at, start_max).await;
        }
        bed
    }

    async fn until_served(&self, at: usize, start_max: Duration) {
        let since = Instant::now();
        while self.call(at, "GET /look/a", "warm").await != 200
            || self.call(at, "POST /order/a", "warm").await != 200
        {
            assert!(since.elapsed() < start_max, "instance {at} does not serve");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn call(&self, at: usize, line: &str, id: &str) -> u16 {
        self.fleet.call(at, line, id, b"").await.status
    }

    fn caller_address(&self, at: usize) -> SocketAddr {
        self.fleet.board(at).settings.listen.caller
    }

    async fn cut(&self, instances: &[usize], fault: PathFault) {
        for at in instances {
            self.fleet.paths[*at].set_fault(fault);
        }
        tokio::time::sleep(CUT_DELAY).await;
    }

    /// How many of [`SAMPLE_REQUESTS`] requests to an instance are served, half of them orders.
    async fn served(&self, at: usize) -> usize {
        let mut served = 0;
        for number in 0..SAMPLE_REQUESTS {
            let line = if number % 2 == 0 { "GET /look/a" } else { "POST /order/a" };
            let id = format!("s{at}-{number}");
            served += usize::from(self.call(at, line, &id).await == 200);
        }
        served
    }

    /// The number of requests that the instances forwarded to each other.
    fn forwarded(&self) -> u64 {
        let boards = (0..ZONES.len()).map(|at| self.fleet.board(at));
        boards.map(|board| board.counters.get(Counter::Passed)).sum()
    }

    /// How often the most repeated id ran at the servers of orders.
    fn runs_of_most_repeated_order(&self) -> usize {
        let mut ids: Vec<String> =
            self.orders.iter().flat_map(RawServer::ran_ids).filter(|id| id != "warm").collect();
        ids.sort();
        ids.chunk_by(|a, b| a == b).map(<[String]>::len).max().unwrap_or(0)
    }

    /// Waits until no instance names one of `instances` to callers of `zone`.
    async fn until_not_named(&self, instances: &[usize], zone: &str) {
        let since = Instant::now();
        let cut: Vec<SocketAddr> = instances.iter().map(|at| self.caller_address(*at)).collect();
        for at in 0..ZONES.len() {
            while self.fleet.addresses(at, zone).await.iter().any(|named| cut.contains(named)) {
                assert!(since.elapsed() < CONTACT, "instance {at} still names a cut one");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
}

/// Guards against sending callers to a home that reaches no server although others do.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_home_is_not_named_to_callers() {
    for fault in [PathFault::Silent, PathFault::Reset] {
        let bed = Bed::start().await;
        bed.cut(&[0], fault).await;
        bed.until_not_named(&[0], "a").await;
        assert_eq!(bed.fleet.addresses(3, "a").await, [bed.caller_address(1)], "{fault:?}");
    }
}

/// Guards against refusing callers that still use a partitioned instance, as they do for as long as
/// they keep its address.
#[tokio::test(flavor = "multi_thread")]
async fn request_at_partitioned_instance_is_served() {
    for fault in [PathFault::Silent, PathFault::Reset] {
        let bed = Bed::start().await;
        bed.cut(&[0], fault).await;
        tokio::time::sleep(CONTACT / 2).await;
        assert_eq!(bed.served(0).await, SAMPLE_REQUESTS, "{fault:?}");
        assert!(bed.runs_of_most_repeated_order() <= 1, "{fault:?}");
    }
}

/// Guards against mistaking an outage of the servers for a lost path: instances that pass requests
/// round, or replace each other as homes, while nobody reaches a server.
#[tokio::test(flavor = "multi_thread")]
async fn outage_of_all_servers_moves_nothing() {
    let bed = Bed::start().await;
    let homes = bed.fleet.addresses(5, "a").await;
    for server in bed.parts.iter().chain(&bed.orders) {
        server.set_crash_rule(CrashRule {
            head_contains: "no such request".into(),
            downtime: CONTACT,
            mid_response: false,
        });
        server.crash();
    }
    tokio::time::sleep(CUT_DELAY).await;
    let since = Instant::now();
    while since.elapsed() < CONTACT / 2 {
        let began = Instant::now();
        assert_ne!(bed.call(0, "GET /look/a", "gone").await, 200);
        // Nobody can serve the request, so its caller is not kept waiting.
        assert!(began.elapsed() < Duration::from_millis(1_200), "{:?}", began.elapsed());
        assert_eq!(bed.fleet.addresses(5, "a").await, homes);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(bed.forwarded(), 0);
    tokio::time::sleep(CONTACT / 2).await;
    bed.until_served(0, START_MAX).await;
}

/// Guards against giving up a home that has lost one service only, and against refusing the
/// requests for that service.
#[tokio::test(flavor = "multi_thread")]
async fn home_that_lost_one_service_keeps_its_callers_and_serves_both() {
    let bed = Bed::start().await;
    let orders: Vec<SocketAddr> = bed.orders.iter().map(|server| server.address).collect();
    bed.fleet.paths[0].set_fault_to(&orders, PathFault::Silent);
    tokio::time::sleep(CONTACT).await;
    assert_eq!(bed.served(0).await, SAMPLE_REQUESTS);
    assert_eq!(bed.fleet.addresses(5, "a").await, [bed.caller_address(0)]);
    // Only the requests of the lost service leave the home.
    let forwarded = usize::try_from(bed.forwarded()).expect("a small number");
    assert!(forwarded >= SAMPLE_REQUESTS / 2, "{forwarded}");
    let parts_elsewhere = forwarded.saturating_sub(SAMPLE_REQUESTS / 2);
    assert!(parts_elsewhere < SAMPLE_REQUESTS / 4, "{forwarded}");
}

/// Guards against taking the loss of some servers for the loss of all.
#[tokio::test(flavor = "multi_thread")]
async fn loss_of_some_servers_keeps_requests_here() {
    let bed = Bed::start().await;
    let lost: Vec<SocketAddr> =
        [&bed.parts[0], &bed.parts[1], &bed.orders[0], &bed.orders[1]].map(|s| s.address).into();
    bed.fleet.paths[0].set_fault_to(&lost, PathFault::Reset);
    tokio::time::sleep(CONTACT / 2).await;
    assert_eq!(bed.served(0).await, SAMPLE_REQUESTS);
    assert_eq!(bed.forwarded(), 0);
    assert_eq!(bed.fleet.addresses(5, "a").await, [bed.caller_address(0)]);
}

/// Guards against refusing callers when hardly any instance reaches servers: a whole zone is cut,
/// or all instances but one.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_any_instance_reaches_servers() {
    for cut in [&[0, 1][..], &[0, 1, 2, 3, 4][..]] {
        let bed = Bed::start().await;
        bed.cut(cut, PathFault::Silent).await;
        bed.until_not_named(cut, "a").await;
        for at in cut {
            assert_eq!(bed.served(*at).await, SAMPLE_REQUESTS, "instance {at} of {cut:?}");
        }
        assert!(bed.runs_of_most_repeated_order() <= 1);
    }
}

/// Guards against connections that live on and hide that no new one can be opened.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_only_open_connections_live() {
    let bed = Bed::start().await;
    bed.cut(&[0], PathFault::RefuseNew).await;
    tokio::time::sleep(CONTACT / 2).await;
    let mut calls = tokio::task::JoinSet::new();
    let bed = std::sync::Arc::new(bed);
    // More at the same time than connections are open.
    for number in 0..SAMPLE_REQUESTS {
        let bed = std::sync::Arc::clone(&bed);
        calls.spawn(async move {
            tokio::time::sleep(Duration::from_millis(number as u64 % 8 * 5)).await;
            bed.call(0, "GET /look/a", &format!("live{number}")).await
        });
    }
    let statuses = calls.join_all().await;
    assert_eq!(statuses, [200; SAMPLE_REQUESTS]);
}

/// Guards against callers that swing to and fro: the home is named again once it has reached
/// servers for a while, and then stays.
#[tokio::test(flavor = "multi_thread")]
async fn healed_home_is_named_again_and_stays() {
    let bed = Bed::start().await;
    let home = [bed.caller_address(0)];
    bed.cut(&[0], PathFault::Silent).await;
    bed.until_not_named(&[0], "a").await;
    bed.cut(&[0], PathFault::None).await;
    let since = Instant::now();
    while bed.fleet.addresses(5, "a").await != home {
        assert!(since.elapsed() < 2 * CONTACT, "the home does not come back");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert!(since.elapsed() > Duration::from_secs(1), "{:?}", since.elapsed());
    let since = Instant::now();
    while since.elapsed() < CONTACT / 2 {
        assert_eq!(bed.fleet.addresses(5, "a").await, home);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(bed.served(0).await, SAMPLE_REQUESTS);
}

/// Guards against a large response that is held whole, or cut short, on its way over two instances,
/// and against a request that runs on at its server after its caller left.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_response_streams_and_ends_with_its_caller() {
    let bed = Bed::start().await;
    bed.cut(&[0], PathFault::Silent).await;
    bed.until_not_named(&[0], "a").await;
    for server in &bed.parts {
        server.set_behaviour(Behaviour::AnswerLarge);
    }
    let response = bed.fleet.call(0, "GET /look/large", "large", b"").await;
    assert_eq!((response.status, response.body.len()), (200, LARGE_BYTES));
    for server in &bed.parts {
        server.set_behaviour(Behaviour::Answer);
        server.set_work_time(Duration::from_secs(1));
    }
    let call = bed.fleet.call(0, "GET /look/left", "left", b"");
    assert!(tokio::time::timeout(Duration::from_millis(300), call).await.is_err());
    let since = Instant::now();
    while bed.parts.iter().map(RawServer::cancelled).sum::<u32>() == 0 {
        assert!(since.elapsed() < Duration::from_millis(500), "still at work");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against instances of a new fleet that refuse requests long after they are ready.
#[tokio::test(flavor = "multi_thread")]
async fn instances_of_a_new_fleet_serve_soon_after_their_start() {
    Bed::start_within(CONTACT).await;
}
