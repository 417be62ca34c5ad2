//! When an instance takes itself for isolated from the backend servers, and when it returns.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use sorrelwick::board::Blackboard;
use sorrelwick::clock::now_ms;
use sorrelwick::gateway::Dispatcher;
use sorrelwick::gateway::GatewayServerChecker;
use sorrelwick::gateway::RouteTable;
use sorrelwick::model::ServerRow;
use sorrelwick::peer::PeerClient;
use sorrelwick::peer::PeerError;
use sorrelwick::peer::PeerReply;
use sorrelwick::peer::PeerRequest;
use sorrelwick::reach::CheckResult;
use sorrelwick::reach::ReachEvidence;
use sorrelwick::reach::ReachMonitor;
use sorrelwick::reach::ReachTracker;
use sorrelwick::reach::ReturnHold;
use sorrelwick::reach::ServerChecker;
use sorrelwick::retry::RetryAllowance;
use sorrelwick::task::TaskGuard;
use standins::routed::PlainDialect;
use standins::routed::RawServer;
use standins::routed::fleet_settings;
use standins::routed::member_row;
use standins::routed::ready_row;
use standins::routed::two_routes;

const SERVERS: usize = 8;
const WITHIN: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Which services this instance and the others reach.
#[derive(Clone, Debug, Default)]
struct World {
    own: Arc<Mutex<HashMap<Arc<str>, bool>>>,
    others: Arc<Mutex<HashMap<String, bool>>>,
    asked: Arc<Mutex<usize>>,
}

impl World {
    fn set_own(&self, service: &str, reached: bool) {
        self.own.lock().insert(service.into(), reached);
    }

    fn set_others(&self, service: &str, reached: bool) {
        self.others.lock().insert(service.into(), reached);
    }
}

impl ServerChecker for World {
    fn services(&self) -> Vec<Arc<str>> {
        self.own.lock().keys().cloned().collect()
    }

    async fn check(&self, service: &str, servers_max: usize) -> CheckResult {
        let servers = servers_max.min(SERVERS);
        match self.own.lock().get(service) {
            Some(true) => CheckResult { reached: servers, failed: 0 },
            _ => CheckResult { reached: 0, failed: servers },
        }
    }
}

impl PeerClient for World {
    async fn call(
        &self,
        _: SocketAddr,
        request: &PeerRequest,
        _: Duration,
    ) -> Result<PeerReply, PeerError> {
        let PeerRequest::ReachesServers { services } = request else {
            return Err(PeerError::NotSent);
        };
        *self.asked.lock() += 1;
        let others = self.others.lock();
        let reached = services.iter().map(|service| others.get(service) == Some(&true));
        Ok(PeerReply::ReachesServers(reached.collect()))
    }

    fn close_idle(&self) {}

    fn drop_link(&self, _: SocketAddr) {}
}

/// An instance with two services, of which it and the others reach all servers at first.
struct Instance {
    world: World,
    board: Arc<Blackboard>,
    _monitor: TaskGuard,
}

impl Instance {
    fn start() -> Self {
        let world = World::default();
        for service in ["parts", "orders"] {
            world.set_own(service, true);
            world.set_others(service, true);
        }
        let board = Arc::new(Blackboard::new(fleet_settings("own", "a", &["a"], &[]), 1));
        for incarnation in 2..5 {
            board.members.lock().merge(&member_row(incarnation), now_ms());
        }
        board.publish_members();
        let monitor = ReachMonitor::new(
            Arc::clone(&board),
            Arc::clone(&board.reach),
            world.clone(),
            world.clone(),
        );
        Self { world, board, _monitor: TaskGuard::spawn(monitor.run()) }
    }

    /// Records a failure of each server, as sends and health checks do.
    fn record_failures(&self, service: &str) {
        for server in 0..SERVERS {
            let hash = u32::try_from(server).expect("a small number");
            let evidence = ReachEvidence::ConnectFailed;
            self.board.reach.record(&service.into(), hash, evidence, SERVERS);
        }
    }

    fn is_isolated(&self) -> bool {
        !self.board.members.lock().own_row(now_ms()).reaches_servers
    }

    /// Waits until `condition` holds while servers fail.
    async fn until(&self, what: &str, condition: impl Fn(&Self) -> bool) -> Duration {
        let since = Instant::now();
        while !condition(self) {
            assert!(since.elapsed() < WITHIN, "{what}: not within {WITHIN:?}");
            for service in ["parts", "orders"] {
                if self.world.own.lock().get(service) == Some(&false) {
                    self.record_failures(service);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        since.elapsed()
    }
}

/// Guards against an instance that keeps its callers although only it lost the servers, and against
/// callers that swing to and fro after that: it returns after a hold, which doubles with each loss.
#[tokio::test]
async fn instance_that_alone_lost_all_servers_is_isolated_and_returns_after_a_hold() {
    let instance = Instance::start();
    for hold_min in [Duration::from_secs(1), Duration::from_secs(2)] {
        instance.world.set_own("parts", false);
        instance.world.set_own("orders", false);
        instance.until("isolated", Instance::is_isolated).await;
        assert!(instance.board.reach.is_lost("parts") && instance.board.reach.is_lost("orders"));
        instance.world.set_own("parts", true);
        instance.world.set_own("orders", true);
        let back = |instance: &Instance| instance.board.reach.lost().is_empty();
        instance.until("served here again", back).await;
        let since = Instant::now();
        assert!(instance.is_isolated(), "no hold");
        while instance.is_isolated() {
            assert!(since.elapsed() < hold_min + 2 * WITHIN);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        assert!(since.elapsed() + POLL_INTERVAL >= hold_min, "{:?}", since.elapsed());
    }
}

/// Guards against taking an outage of the servers for a lost path, even if another instance reached
/// them shortly before.
#[tokio::test]
async fn outage_for_all_is_no_lost_path() {
    let instance = Instance::start();
    for service in ["parts", "orders"] {
        instance.world.set_own(service, false);
        instance.world.set_others(service, false);
    }
    let asked = |instance: &Instance| *instance.world.asked.lock() >= 9;
    instance.until("others are asked in three rounds", asked).await;
    assert!(!instance.is_isolated() && instance.board.reach.lost().is_empty());
}

/// Guards against a lost path that outlives the servers: they fail for all while this instance
/// forwards its requests.
#[tokio::test]
async fn lost_path_ends_when_the_servers_fail_for_all() {
    let instance = Instance::start();
    instance.world.set_own("parts", false);
    instance.until("lost", |instance| instance.board.reach.is_lost("parts")).await;
    instance.world.set_others("parts", false);
    instance.until("not lost", |instance| instance.board.reach.lost().is_empty()).await;
}

/// Guards against giving up the callers of all services when the servers of one are lost.
#[tokio::test]
async fn loss_of_one_service_does_not_isolate() {
    let instance = Instance::start();
    instance.world.set_own("parts", false);
    instance.until("lost", |instance| instance.board.reach.is_lost("parts")).await;
    assert!(!instance.board.reach.is_lost("orders"));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!instance.is_isolated());
}

/// Guards against an instance that never reached a server and is not known to be isolated: it has
/// started during the cut, or had no requests, while a neighbour is isolated.
#[tokio::test]
async fn neighbor_of_an_isolated_instance_finds_out_without_requests() {
    let instance = Instance::start();
    instance.world.set_own("parts", false);
    instance.world.set_own("orders", false);
    let row = member_row(2);
    let zone = instance.board.settings.instance.zone.clone();
    let isolated = sorrelwick::member::MemberRow {
        zone,
        generation: row.generation + 1,
        reaches_servers: false,
        ..row
    };
    instance.board.members.lock().merge(&isolated, now_ms());
    instance.board.publish_members();
    // The checks leave evidence; those of the stand-in do not record it themselves.
    instance.until("isolated", Instance::is_isolated).await;
}

/// Guards against a doubt that grows from a few failures beside many responses, and against one that
/// open connections hide.
#[test]
fn doubt_needs_failures_without_responses_or_without_new_connections() {
    let mut tracker = ReachTracker::default();
    let mut now_us = 1_000_000;
    for round in 0..20_u32 {
        now_us += 50_000;
        tracker.record(round % 2, ReachEvidence::NoResponse, SERVERS, now_us);
        tracker.record(2 + round % 6, ReachEvidence::RespondedOnNewConnection, SERVERS, now_us);
        assert!(!tracker.in_doubt(now_us), "round {round}");
    }
    // All servers respond on open connections, and new ones are refused.
    for _ in 0..4 {
        now_us += 50_000;
        for server in 0..8 {
            tracker.record(server, ReachEvidence::ConnectFailed, SERVERS, now_us);
            tracker.record(server, ReachEvidence::Responded, SERVERS, now_us);
        }
    }
    assert!(tracker.in_doubt(now_us));
    tracker.record(0, ReachEvidence::RespondedOnNewConnection, SERVERS, now_us + 1);
    assert!(!tracker.in_doubt(now_us + 1));
    // Failures that are not repeated are forgotten.
    assert!(!tracker.in_doubt(now_us + 10_000_000));
}

/// Guards against state that grows with the number of servers: work per response must not.
#[test]
fn evidence_is_bounded_whatever_the_number_of_servers() {
    let mut tracker = ReachTracker::default();
    for server in 0..10_000 {
        tracker.record(server, ReachEvidence::NoResponse, 10_000, 1_000_000);
    }
    assert!(tracker.counts(1_000_000).failed <= 64);
    assert!(tracker.in_doubt(1_200_000));
}

/// Guards against callers that swing to and fro while a path comes and goes.
#[test]
fn hold_doubles_with_each_loss_up_to_a_bound_and_is_forgotten() {
    let mut hold = ReturnHold::default();
    let holds: Vec<u64> = (0..7)
        .map(|loss| {
            hold.record_loss(100_000_000 + loss);
            hold.hold_us() / 1_000_000
        })
        .collect();
    assert_eq!(holds, [1, 2, 4, 8, 16, 16, 16]);
    hold.record_loss(200_000_000);
    assert_eq!(hold.hold_us(), 1_000_000);
}

/// Guards against taking servers for lost because all connections that this instance may open to
/// them are in use, as on an instance that is not a home.
#[tokio::test]
async fn connections_in_use_are_no_lost_paths() {
    let table = RouteTable::parse(two_routes(1).as_bytes(), None).expect("readable").table;
    let services = table.services.clone();
    let allowance = RetryAllowance { ratio: 0.2, window_us: 10_000_000, slack_retries: 60.0 };
    let dispatcher = Dispatcher::new("a", allowance);
    let raw = RawServer::spawn("p0").await;
    dispatcher.list_server(ServerRow {
        address: raw.address,
        service: "parts".into(),
        ..ready_row("p0")
    });
    dispatcher.set_connection_share(&services, 0.0);
    let board = Arc::new(Blackboard::new(fleet_settings("own", "a", &["a"], &[]), 1));
    let table = Arc::new(ArcSwapOption::from_pointee(table));
    let dialect = PlainDialect::default();
    let checker = GatewayServerChecker::new(dialect, board, dispatcher.clone(), table);
    assert_eq!(checker.check("parts", 6).await, CheckResult { reached: 1, failed: 0 });
    let server = Arc::clone(&dispatcher.servers()[0]);
    let in_use = server.conns.take(WITHIN).await.expect("the only connection");
    assert_eq!(checker.check("parts", 6).await, CheckResult::default());
    assert!(!dispatcher.reach().failed_in_silence());
    drop(in_use);
}
