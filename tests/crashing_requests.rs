//! A request that crashes each backend server that runs it ends no more than a few of them.

use std::net::Ipv4Addr;
use std::time::Duration;

use standins::backend::BackendSettings;
use standins::bed::Bed;
use standins::bed::BedPlan;
use standins::caller::Call;
use standins::routed::CONFIG_KEY;
use standins::routed::CrashRule;
use standins::routed::RawServer;
use standins::routed::RoutedBed;
use standins::routed::raw_call;
use standins::routed::two_routes;
use tokio::time::Instant;

/// Time in which all instances must have learned of the third crash.
const PROPAGATION_MAX: Duration = Duration::from_secs(3);
/// Sends allowed after that.
const LATE_CRASHES_MAX: usize = 3;
/// Crashes after which a request is known to be their cause.
const CRASHES_TO_QUARANTINE: usize = 3;
const SERVERS: usize = 12;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Servers are back sooner than their entries could lapse.
const DOWNTIME: Duration = Duration::from_millis(300);
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
const WAIT: Duration = Duration::from_secs(10);
/// After an outage of a whole service, what it may still be refused for.
const RECOVERY_MAX: Duration = Duration::from_secs(15);
const POISON: &str = "poison";

/// Three instances and a dozen servers of one service, each crashed by the same request.
struct CrashFixture {
    bed: RoutedBed,
    servers: Vec<RawServer>,
    sent: usize,
}

impl CrashFixture {
    async fn start(service: &str, midway: bool) -> Self {
        let bed = RoutedBed::start(&ZONES).await;
        bed.store.put(CONFIG_KEY, &two_routes(1));
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            let id = format!("s{number}");
            let server = RawServer::spawn(&id).await;
            server.work(Duration::from_millis(20));
            server.crash_on(CrashRule {
                head_part: POISON.into(),
                down: DOWNTIME,
                mid_response: midway,
            });
            let entry = server.entry(service, ZONES[number % ZONES.len()], 4, "ready");
            bed.store.put(&format!("servers/{id}"), &entry);
            servers.push(server);
        }
        bed.settle().await;
        let mut scene = Self { bed, servers, sent: 0 };
        for at in 0..ZONES.len() {
            scene.wait_until_served(at, service).await;
        }
        scene
    }

    async fn wait_until_served(&mut self, at: usize, service: &str) {
        let line = if service == "parts" { "GET /look/fine" } else { "POST /order/fine" };
        let until = Instant::now() + WAIT;
        while self.call(at, line, b"").await.status != 200 {
            assert!(Instant::now() < until, "instance {at} does not serve");
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Sends a request under an id of its own.
    async fn call(&mut self, at: usize, line: &str, body: &[u8]) -> standins::routed::RawAnswer {
        self.sent += 1;
        self.bed.call(at, line, &format!("id-{}", self.sent), body).await
    }

    /// When servers crashed, in order.
    fn crash_times(&self) -> Vec<Instant> {
        let mut all: Vec<Instant> = self.servers.iter().flat_map(RawServer::crashed_at).collect();
        all.sort();
        all
    }

    /// Sends the same request to all instances in turn, until well after the third crash. Fails if
    /// it reaches servers too often by then.
    async fn repeat(&mut self, line: &str, body: &[u8]) {
        self.repeat_with_others(line, body, false).await;
    }

    /// The same while other shops' lookups are served, or on servers that nobody else asks.
    async fn repeat_with_others(&mut self, line: &str, body: &[u8], others: bool) {
        let until = Instant::now() + PROPAGATION_MAX * 2;
        let mut at = 0;
        while Instant::now() < until {
            self.call(at % ZONES.len(), line, body).await;
            if others {
                self.call(at % ZONES.len(), &format!("GET /look/other-{at}"), b"").await;
            }
            at += 1;
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        self.assert_crashes_stop();
    }

    /// Fails if servers went on ending well after the third crash.
    fn assert_crashes_stop(&self) {
        let crashes = self.crash_times();
        assert!(crashes.len() >= CRASHES_TO_QUARANTINE, "nothing crashed: {crashes:?}");
        let known = crashes[CRASHES_TO_QUARANTINE - 1] + PROPAGATION_MAX;
        let late = crashes.iter().filter(|at| **at > known).count();
        assert!(late <= LATE_CRASHES_MAX, "{late} servers ended later, {} in all", crashes.len());
    }
}

/// Story: a shop's page asks for a part whose number crashes the catalogue. The shop's program asks
/// again and again, each time under a new id and at another instance. Each server that begins to
/// work on it ends, and with it everybody's requests there; within seconds no server is left and all
/// shops are refused. Cause: instances knew requests by their ids only, so each repeat was a new
/// request, which went to one server after the other. Proof: the servers that ended without an
/// answer all had the same content, and took no connection afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_lookup_is_quarantined_by_all_instances() {
    let mut scene = CrashFixture::start("parts", false).await;
    scene.repeat("GET /look/poison", b"").await;
    for at in 0..ZONES.len() {
        let refused = scene.call(at, "GET /look/poison", b"").await;
        assert_eq!(refused.status, 503, "instance {at}");
        assert!(refused.field("retry-after").is_some(), "instance {at} tells no time: {refused:?}");
        let other = scene.call(at, "GET /look/another", b"").await;
        assert_eq!(other.status, 200, "instance {at} refuses what does no harm");
    }
}

/// Story: as above, but an order that must not run twice. No instance repeats it; its caller's
/// program does, as a new order with the same body, each time it is told that the outcome is unknown.
/// Orders of the same path with other bodies must go on.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_order_is_quarantined_by_all_instances() {
    let mut scene = CrashFixture::start("orders", false).await;
    scene.repeat("POST /order/poison", b"two pallets").await;
    for at in 0..ZONES.len() {
        let refused = scene.call(at, "POST /order/poison", b"two pallets").await;
        assert_eq!(refused.status, 503, "instance {at}");
        let other = scene.call(at, "POST /order/fine", b"two pallets").await;
        assert_eq!(other.status, 200, "instance {at} refuses what does no harm");
    }
}

/// Story: a shop's program puts a number into the query with each repeat, or a shop's users all open
/// the one record that crashes the catalogue, each from an address of their own. No two of these
/// requests are the same to the byte, and instances that only knew such repeats again let each end a
/// server. What all of them share, and none was answered with, is method, path and body.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_repeats_with_varied_query_or_caller_are_quarantined() {
    for by_query in [true, false] {
        let scene = CrashFixture::start("parts", false).await;
        let until = Instant::now() + PROPAGATION_MAX * 2;
        for number in 0_u8.. {
            let at = usize::from(number) % ZONES.len();
            let query = if by_query { format!("?n={number}") } else { String::new() };
            let from = Ipv4Addr::new(127, 0, 0, if by_query { 9 } else { 10 + number % 200 });
            let (line, id) = (format!("GET /look/poison{query}"), format!("varied-{number}"));
            scene.bed.call_from(from, at, &line, &id, ("accept", "*/*")).await;
            tokio::time::sleep(REQUEST_INTERVAL).await;
            if Instant::now() > until || number == u8::MAX {
                break;
            }
        }
        scene.assert_crashes_stop();
    }
}

/// Story: one shop's session is spoilt, and each of its reads of the front page crashes a server. All
/// other shops read the same page and must go on doing so.
#[tokio::test(flavor = "multi_thread")]
async fn page_that_crashes_for_one_caller_is_served_to_others() {
    let mut scene = CrashFixture::start("parts", false).await;
    let spoilt = Ipv4Addr::new(127, 0, 0, 9);
    let until = Instant::now() + PROPAGATION_MAX * 2;
    for number in 0.. {
        let (at, id) = (number % ZONES.len(), format!("spoilt-{number}"));
        let line = "GET /look/front-page";
        scene.bed.call_from(spoilt, at, line, &id, ("session", POISON)).await;
        scene.call(at, &format!("GET /look/other-{number}"), b"").await;
        tokio::time::sleep(REQUEST_INTERVAL).await;
        if Instant::now() > until {
            break;
        }
    }
    scene.assert_crashes_stop();
    for at in 0..ZONES.len() {
        assert_eq!(scene.call(at, "GET /look/front-page", b"").await.status, 200, "instance {at}");
        let line = "GET /look/front-page";
        let refused = scene.bed.call_from(spoilt, at, line, "refused", ("session", POISON)).await;
        assert_eq!(refused.status, 503, "instance {at}");
    }
}

/// Story: a large report crashes the server that is halfway through it. The caller has got a status
/// and half of the answer by then, and asks for it again.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_servers_mid_response_is_quarantined() {
    let mut scene = CrashFixture::start("parts", true).await;
    scene.repeat("GET /look/poison", b"").await;
}

/// Story: all servers lose power at once, again and again, while shops read one page often. The page
/// is not the cause, and it must be served as soon as servers are back.
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_during_a_power_loss_are_served_again() {
    let mut scene = CrashFixture::start("parts", false).await;
    for _ in 0..4 {
        let mut calls = tokio::task::JoinSet::new();
        for number in 0..24 {
            let to = scene.bed.board(number % ZONES.len()).settings.listen.caller;
            calls.spawn(async move {
                let id = format!("page-{number}");
                let fields = [("host", "shop.example"), ("request-id", id.as_str())];
                raw_call(to, "GET /look/front-page", &fields, &[]).await
            });
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        scene.servers.iter().for_each(RawServer::crash);
        while calls.join_next().await.is_some() {}
        scene.wait_until_served(0, "parts").await;
        for at in 0..ZONES.len() {
            let since = Instant::now();
            while scene.call(at, "GET /look/front-page", b"").await.status != 200 {
                assert!(since.elapsed() < Duration::from_secs(1), "instance {at} refuses the page");
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
        }
    }
}

/// Story: a bad release crashes on whatever it is asked, for some seconds; all shops go on asking for the
/// front page. It is mended, and nobody gets that page for ten minutes: in the outage it had crashed one
/// server after the other, and nothing told that everything else had, too.
#[tokio::test(flavor = "multi_thread")]
async fn page_is_served_soon_after_a_full_outage() {
    let mut scene = CrashFixture::start("parts", false).await;
    let crash = |head_part: &str| CrashRule {
        head_part: head_part.into(),
        down: Duration::from_millis(50),
        mid_response: false,
    };
    scene.servers.iter().for_each(|server| server.crash_on(crash("GET /look")));
    let until = Instant::now() + PROPAGATION_MAX;
    let mut number = 0_u8;
    while Instant::now() < until {
        number = number.wrapping_add(1);
        let (from, at) = (Ipv4Addr::new(127, 0, 0, 10 + number % 3), usize::from(number) % 3);
        let id = format!("outage-{number}");
        scene.bed.call_from(from, at, "GET /look/front-page", &id, ("accept", "*/*")).await;
    }
    assert!(scene.crash_times().len() > CRASHES_TO_QUARANTINE, "there was no outage");
    scene.servers.iter().for_each(|server| server.crash_on(crash("nothing")));
    let mended = Instant::now();
    for at in 0..ZONES.len() {
        while scene.call(at, "GET /look/front-page", b"").await.status != 200 {
            assert!(mended.elapsed() < RECOVERY_MAX, "instance {at} refuses the page");
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }
}

/// Story: an instance is replaced after a request was found to crash servers. Its callers repeat the
/// request there, and the newcomer knows nothing of it.
#[tokio::test(flavor = "multi_thread")]
async fn new_instance_learns_the_quarantine() {
    let mut scene = CrashFixture::start("parts", false).await;
    scene.repeat("GET /look/poison", b"").await;
    scene.bed.add("late", "b", &ZONES).await;
    scene.bed.settle().await;
    tokio::time::sleep(PROPAGATION_MAX).await;
    let before = scene.crash_times().len();
    let newcomer = scene.bed.hosts.len() - 1;
    for _ in 0..10 {
        assert_eq!(scene.call(newcomer, "GET /look/poison", b"").await.status, 503);
    }
    assert_eq!(scene.crash_times().len(), before);
}

/// Story: all instances lose power at once after a request was found to crash servers, and are back a
/// second later. Nobody remembers, and the request ends three more servers before it is refused again;
/// after each such loss. What was found must outlast them in the platform's store.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_survives_a_restart_of_all_instances() {
    let mut scene = CrashFixture::start("parts", false).await;
    scene.repeat_with_others("GET /look/poison", b"", true).await;
    scene.bed.hosts.drain(..).for_each(standins::routed::RoutedHost::kill);
    for (number, zone) in ZONES.iter().enumerate() {
        scene.bed.add(&format!("again-{number}"), zone, &ZONES).await;
    }
    scene.bed.settle().await;
    tokio::time::sleep(PROPAGATION_MAX).await;
    let before = scene.crash_times().len();
    for at in 0..ZONES.len() {
        let refused = scene.call(at, "GET /look/poison", b"").await;
        assert_eq!(refused.status, 503, "instance {at}");
        scene.wait_until_served(at, "parts").await;
    }
    assert_eq!(scene.crash_times().len(), before);
}

/// Story: the same at the product's own interface, where a request is passed between instances: the
/// one that a caller asked, the home that has the slots, the owner of its key. None of them knew it
/// again, so lookups, orders and orders with a key each went on ending servers.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_requests_are_quarantined_at_the_native_interface() {
    let backend = BackendSettings {
        crash_path: "/poison".into(),
        down_ms: 300,
        work_us: 20_000,
        ..BackendSettings::default()
    };
    let plan = BedPlan { backends: 9, instances: 4, backend, ..BedPlan::default() };
    let bed = Bed::start(plan).await;
    bed.create("parts").await;
    let caller = bed.caller("parts", 0);
    let addresses = bed.caller_addresses();
    for (kind, method) in ["GET", "POST", "POST"].into_iter().enumerate() {
        let keyed = kind == 2;
        let before = crashes(&bed).len();
        let until = Instant::now() + PROPAGATION_MAX * 2;
        for number in 0.. {
            let id = format!("{kind}-{number}");
            let call = Call {
                method: method.into(),
                body: format!("body {kind}").into(),
                ..Call::get("/poison", &id).within_ms(2_000)
            };
            let call = if keyed { call.with_key(&format!("key-{id}")) } else { call };
            caller.call_at(addresses[number % addresses.len()], &call).await;
            tokio::time::sleep(REQUEST_INTERVAL).await;
            if Instant::now() > until {
                break;
            }
        }
        let crashes = crashes(&bed).split_off(before);
        assert!(crashes.len() >= CRASHES_TO_QUARANTINE, "kind {kind}: nothing crashed");
        let known = crashes[CRASHES_TO_QUARANTINE - 1] + PROPAGATION_MAX;
        let late = crashes.iter().filter(|at| **at > known).count();
        assert!(
            late <= LATE_CRASHES_MAX,
            "kind {kind}: {late} servers ended later of {}",
            crashes.len()
        );
        let fine = caller.call_at(addresses[0], &Call::get("/fine", "fine")).await;
        assert_eq!(fine.outcome(), "ran", "kind {kind}: {fine:?}");
    }
}

fn crashes(bed: &Bed) -> Vec<Instant> {
    let mut all: Vec<Instant> = bed.backends.iter().flat_map(|b| b.record.crashes()).collect();
    all.sort();
    all
}
