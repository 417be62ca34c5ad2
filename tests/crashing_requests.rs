//! A request that crashes each backend server that runs it crashes no more than a few of them.

use std::net::Ipv4Addr;
use std::time::Duration;

use standins::backend::BackendSettings;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::caller::Call;
use standins::routed::CONFIG_KEY;
use standins::routed::CrashRule;
use standins::routed::GatewayFleet;
use standins::routed::RawServer;
use standins::routed::raw_call;
use standins::routed::two_routes;
use tokio::time::Instant;

/// Time within which all instances must know of the third crash.
const PROPAGATION_MAX: Duration = Duration::from_secs(3);
/// Crashes allowed after that.
const LATE_CRASHES_MAX: usize = 3;
/// Crashes after which a request is quarantined.
const CRASHES_TO_QUARANTINE: usize = 3;
const SERVERS: usize = 12;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Servers restart before their store entries can expire.
const DOWNTIME: Duration = Duration::from_millis(300);
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Time for instances to start serving requests.
const WAIT: Duration = Duration::from_secs(10);
/// Time for which requests may still be rejected after an outage of a whole service.
const RECOVERY_MAX: Duration = Duration::from_secs(15);
/// Part of a request head that makes servers crash.
const POISON: &str = "poison";

/// Three instances and twelve servers of one service, all of which the same request crashes.
struct CrashFixture {
    bed: GatewayFleet,
    servers: Vec<RawServer>,
    /// Number of requests sent, used for ids.
    sent: usize,
}

impl CrashFixture {
    /// With `mid_response`, servers crash halfway through a large response.
    async fn start(service: &str, mid_response: bool) -> Self {
        let bed = GatewayFleet::start(&ZONES).await;
        bed.store.put(CONFIG_KEY, &two_routes(1));
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            let id = format!("s{number}");
            let server = RawServer::spawn(&id).await;
            server.set_work_time(Duration::from_millis(20));
            server.set_crash_rule(CrashRule {
                head_contains: POISON.into(),
                downtime: DOWNTIME,
                mid_response,
            });
            let entry = server.entry(service, ZONES[number % ZONES.len()], 4, "ready");
            bed.store.put(&format!("servers/{id}"), &entry);
            servers.push(server);
        }
        bed.wait_until_ready().await;
        let mut fixture = Self { bed, servers, sent: 0 };
        for at in 0..ZONES.len() {
            fixture.wait_until_served(at, service).await;
        }
        fixture
    }

    /// Waits until an instance serves a harmless request.
    async fn wait_until_served(&mut self, at: usize, service: &str) {
        let line = if service == "parts" { "GET /look/fine" } else { "POST /order/fine" };
        let until = Instant::now() + WAIT;
        while self.call(at, line, b"").await.status != 200 {
            assert!(Instant::now() < until, "instance {at} does not serve requests");
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Sends a request under a new id.
    async fn call(&mut self, at: usize, line: &str, body: &[u8]) -> standins::routed::RawResponse {
        self.sent += 1;
        self.bed.call(at, line, &format!("id-{}", self.sent), body).await
    }

    /// Times of all crashes, sorted.
    fn crash_times(&self) -> Vec<Instant> {
        let mut all: Vec<Instant> = self.servers.iter().flat_map(RawServer::crash_times).collect();
        all.sort();
        all
    }

    /// Sends the same request to all instances in turn until well after the third crash, and fails
    /// if it still crashes servers then.
    async fn repeat(&mut self, line: &str, body: &[u8]) {
        self.repeat_with_others(line, body, false).await;
    }

    /// Like [`Self::repeat`]; sends other lookups in between if `others` is set.
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

    /// Fails if servers kept crashing well after the third crash.
    fn assert_crashes_stop(&self) {
        let crashes = self.crash_times();
        assert!(crashes.len() >= CRASHES_TO_QUARANTINE, "nothing crashed: {crashes:?}");
        let known = crashes[CRASHES_TO_QUARANTINE - 1] + PROPAGATION_MAX;
        let late = crashes.iter().filter(|at| **at > known).count();
        assert!(late <= LATE_CRASHES_MAX, "{late} of {} crashes came too late", crashes.len());
    }
}

/// Guards against a lookup that takes down a whole service. A client repeats it under new ids and
/// at different instances; an instance that recognizes requests only by id sends each repeat to
/// another server, which crashes with all other requests that run there. Crashes are attributed by
/// the equal content of the requests, and by servers that refuse connections after a missing
/// response.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_lookup_is_quarantined_by_all_instances() {
    let mut fixture = CrashFixture::start("parts", false).await;
    fixture.repeat("GET /look/poison", b"").await;
    for at in 0..ZONES.len() {
        let refused = fixture.call(at, "GET /look/poison", b"").await;
        assert_eq!(refused.status, 503, "instance {at}");
        assert!(
            refused.header("retry-after").is_some(),
            "instance {at} sends no retry-after: {refused:?}"
        );
        let other = fixture.call(at, "GET /look/another", b"").await;
        assert_eq!(other.status, 200, "instance {at} refuses what does no harm");
    }
}

/// Guards against a service taken down by an order that must not run twice. Instances do not retry
/// it, but its caller sends it as a new order with the same body each time the outcome is unknown.
/// Other orders must still be served.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_order_is_quarantined_by_all_instances() {
    let mut fixture = CrashFixture::start("orders", false).await;
    fixture.repeat("POST /order/poison", b"two pallets").await;
    for at in 0..ZONES.len() {
        let refused = fixture.call(at, "POST /order/poison", b"two pallets").await;
        assert_eq!(refused.status, 503, "instance {at}");
        let other = fixture.call(at, "POST /order/fine", b"two pallets").await;
        assert_eq!(other.status, 200, "instance {at} refuses what does no harm");
    }
}

/// Guards against repeats that are not equal byte for byte, each of which crashes a server: a
/// client that puts a counter into the query, or users who open the same record from different
/// addresses. They share method, path and body, and none of them got a response.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_repeats_with_varied_query_or_caller_are_quarantined() {
    for by_query in [true, false] {
        let fixture = CrashFixture::start("parts", false).await;
        let until = Instant::now() + PROPAGATION_MAX * 2;
        for number in 0_u8.. {
            let at = usize::from(number) % ZONES.len();
            let query = if by_query { format!("?n={number}") } else { String::new() };
            let from = Ipv4Addr::new(127, 0, 0, if by_query { 9 } else { 10 + number % 200 });
            let (line, id) = (format!("GET /look/poison{query}"), format!("varied-{number}"));
            fixture.bed.call_from(from, at, &line, &id, ("accept", "*/*")).await;
            tokio::time::sleep(REQUEST_INTERVAL).await;
            if Instant::now() > until || number == u8::MAX {
                break;
            }
        }
        fixture.assert_crashes_stop();
    }
}

/// Guards against quarantining a page for all callers when one caller's broken session crashes
/// servers.
#[tokio::test(flavor = "multi_thread")]
async fn page_that_crashes_for_one_caller_is_served_to_others() {
    let mut fixture = CrashFixture::start("parts", false).await;
    let affected_caller = Ipv4Addr::new(127, 0, 0, 9);
    let until = Instant::now() + PROPAGATION_MAX * 2;
    for number in 0.. {
        let (at, id) = (number % ZONES.len(), format!("broken-session-{number}"));
        let line = "GET /look/front-page";
        fixture.bed.call_from(affected_caller, at, line, &id, ("session", POISON)).await;
        fixture.call(at, &format!("GET /look/other-{number}"), b"").await;
        tokio::time::sleep(REQUEST_INTERVAL).await;
        if Instant::now() > until {
            break;
        }
    }
    fixture.assert_crashes_stop();
    for at in 0..ZONES.len() {
        assert_eq!(
            fixture.call(at, "GET /look/front-page", b"").await.status,
            200,
            "instance {at}"
        );
        let line = "GET /look/front-page";
        let refused =
            fixture.bed.call_from(affected_caller, at, line, "refused", ("session", POISON)).await;
        assert_eq!(refused.status, 503, "instance {at}");
    }
}

/// Guards against not counting a crash in the middle of a large response: the caller has the status
/// and half of the body by then, and sends the request again.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_servers_mid_response_is_quarantined() {
    let mut fixture = CrashFixture::start("parts", true).await;
    fixture.repeat("GET /look/poison", b"").await;
}

/// Guards against quarantining a frequently read page when all servers lose power at once, several
/// times. The page is not the cause and must be served as soon as servers are back.
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_during_a_power_loss_are_served_again() {
    let mut fixture = CrashFixture::start("parts", false).await;
    for _ in 0..4 {
        let mut calls = tokio::task::JoinSet::new();
        for number in 0..24 {
            let to = fixture.bed.board(number % ZONES.len()).settings.listen.caller;
            calls.spawn(async move {
                let id = format!("page-{number}");
                let fields = [("host", "shop.example"), ("request-id", id.as_str())];
                raw_call(to, "GET /look/front-page", &fields, &[]).await
            });
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        fixture.servers.iter().for_each(RawServer::crash);
        while calls.join_next().await.is_some() {}
        fixture.wait_until_served(0, "parts").await;
        for at in 0..ZONES.len() {
            let since = Instant::now();
            while fixture.call(at, "GET /look/front-page", b"").await.status != 200 {
                assert!(since.elapsed() < Duration::from_secs(1), "instance {at} refuses the page");
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
        }
    }
}

/// Guards against a popular page staying quarantined for ten minutes after the fix of a bad release
/// that crashed on every request. The page had crashed one server after another, and instances did
/// not consider that all other requests had done so, too.
#[tokio::test(flavor = "multi_thread")]
async fn page_is_served_soon_after_a_full_outage() {
    let mut fixture = CrashFixture::start("parts", false).await;
    let crash = |head_part: &str| CrashRule {
        head_contains: head_part.into(),
        downtime: Duration::from_millis(50),
        mid_response: false,
    };
    fixture.servers.iter().for_each(|server| server.set_crash_rule(crash("GET /look")));
    let until = Instant::now() + PROPAGATION_MAX;
    let mut number = 0_u8;
    while Instant::now() < until {
        number = number.wrapping_add(1);
        let (from, at) = (Ipv4Addr::new(127, 0, 0, 10 + number % 3), usize::from(number) % 3);
        let id = format!("outage-{number}");
        fixture.bed.call_from(from, at, "GET /look/front-page", &id, ("accept", "*/*")).await;
    }
    assert!(
        fixture.crash_times().len() >= CRASHES_TO_QUARANTINE,
        "too few servers crashed for an outage"
    );
    for at in 0..ZONES.len() {
        let status = fixture.call(at, "GET /look/front-page", b"").await.status;
        assert_eq!(status, 503, "instance {at} does not deny the page");
    }
    fixture.servers.iter().for_each(|server| server.set_crash_rule(crash("nothing")));
    let fixed_at = Instant::now();
    for at in 0..ZONES.len() {
        while fixture.call(at, "GET /look/front-page", b"").await.status != 200 {
            assert!(fixed_at.elapsed() < RECOVERY_MAX, "instance {at} refuses the page");
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }
}

/// Guards against a newly started instance that sends a request which the others have quarantined,
/// because it did not learn of the quarantine.
#[tokio::test(flavor = "multi_thread")]
async fn new_instance_learns_the_quarantine() {
    let mut fixture = CrashFixture::start("parts", false).await;
    fixture.repeat("GET /look/poison", b"").await;
    fixture.bed.add("late", "b", &ZONES).await;
    fixture.bed.wait_until_ready().await;
    tokio::time::sleep(PROPAGATION_MAX).await;
    let before = fixture.crash_times().len();
    let newcomer = fixture.bed.instances.len() - 1;
    for _ in 0..10 {
        assert_eq!(fixture.call(newcomer, "GET /look/poison", b"").await.status, 503);
    }
    assert_eq!(fixture.crash_times().len(), before);
}

/// Guards against losing quarantines when all instances lose power at once: after each such restart
/// the request would crash three more servers. Quarantines must survive in the platform's store.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_survives_a_restart_of_all_instances() {
    let mut fixture = CrashFixture::start("parts", false).await;
    fixture.repeat_with_others("GET /look/poison", b"", true).await;
    fixture.bed.instances.drain(..).for_each(standins::routed::FleetInstance::kill);
    for (number, zone) in ZONES.iter().enumerate() {
        fixture.bed.add(&format!("again-{number}"), zone, &ZONES).await;
    }
    fixture.bed.wait_until_ready().await;
    tokio::time::sleep(PROPAGATION_MAX).await;
    let before = fixture.crash_times().len();
    for at in 0..ZONES.len() {
        let refused = fixture.call(at, "GET /look/poison", b"").await;
        assert_eq!(refused.status, 503, "instance {at}");
        fixture.wait_until_served(at, "parts").await;
    }
    assert_eq!(fixture.crash_times().len(), before);
}

/// Guards against crashing requests at the native interface, where instances pass requests on to
/// each other: the one that received the request, the home with the slots and the owner of the
/// idempotency key. Each of them must recognize a repeat, for lookups as well as for orders with
/// and without a key.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_requests_are_quarantined_at_the_native_interface() {
    let backend = BackendSettings {
        crash_path: "/poison".into(),
        down_ms: 300,
        work_us: 20_000,
        ..BackendSettings::default()
    };
    let plan = TestBedPlan { backends: 9, instances: 4, backend, ..TestBedPlan::default() };
    let bed = TestBed::start(plan).await;
    bed.create_service("parts").await;
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
                ..Call::get("/poison", &id).with_timeout_ms(2_000)
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
            "kind {kind}: {late} of {} crashes came too late",
            crashes.len()
        );
        let fine = caller.call_at(addresses[0], &Call::get("/fine", "fine")).await;
        assert_eq!(fine.outcome(), "ran", "kind {kind}: {fine:?}");
    }
}

fn crashes(bed: &TestBed) -> Vec<Instant> {
    let mut all: Vec<Instant> = bed.backends.iter().flat_map(|b| b.record.crashes()).collect();
    all.sort();
    all
}
