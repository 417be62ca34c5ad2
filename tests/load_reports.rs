//! Size of the load reports that homes send each other about the backend servers, without network.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use sorrelwick::balance::RequestSpec;
use sorrelwick::board::Blackboard;
use sorrelwick::gateway::Dispatcher;
use sorrelwick::gateway::LoadReporter;
use sorrelwick::gateway::ServerNotice;
use sorrelwick::member::MemberRow;
use sorrelwick::member::MemberState;
use sorrelwick::model::LoadReport;
use sorrelwick::model::ReportSource;
use sorrelwick::model::ServerRow;
use sorrelwick::model::ServerState;
use sorrelwick::peer::PeerClient;
use sorrelwick::peer::PeerError;
use sorrelwick::peer::PeerReply;
use sorrelwick::peer::PeerRequest;
use sorrelwick::peer::encode;
use sorrelwick::retry::RetryAllowance;
use standins::routed::fleet_settings;

/// Servers in one home's partition of a large zone.
const SERVERS: u16 = 125;
const CHECKS_PER_S: u64 = 8;
const SECONDS: u64 = 10;
/// Limit on the control traffic of an instance, in bytes per second.
const CONTROL_MAX_BYTES_PER_S: usize = 5_000;
const SAME_ZONE_PEER: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 2);
const OTHER_ZONE_PEER: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 3);

/// Records the bytes sent to each peer.
#[derive(Clone, Debug, Default)]
struct Recorder {
    bytes: Arc<Mutex<HashMap<SocketAddr, usize>>>,
}

impl PeerClient for Recorder {
    async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        _: Duration,
    ) -> Result<PeerReply, PeerError> {
        *self.bytes.lock().entry(address).or_default() += encode(request).len();
        Ok(PeerReply::Done)
    }

    fn close_idle(&self) {}

    fn drop_link(&self, _: SocketAddr) {}
}

/// The state of an instance whose zone has two homes.
fn board() -> Arc<Blackboard> {
    let mut settings = fleet_settings("i", "a", &["a", "b"], &[]);
    settings.gateway.as_mut().expect("a gateway").homes_per_zone = 2;
    Arc::new(Blackboard::new(settings, 1))
}

fn member(incarnation: u64, zone: &str, peer: SocketAddr) -> MemberRow {
    MemberRow {
        incarnation,
        generation: 0,
        state: MemberState::Alive,
        name: format!("i{incarnation}"),
        zone: zone.into(),
        caller_address: peer,
        operator_address: peer,
        peer_address: peer,
        capacity_per_s: 500,
        reaches_servers: true,
        uptime_ms: 1,
        successor: None,
    }
}

fn server(port: u16) -> ServerRow {
    ServerRow {
        id: format!("s{port}").into(),
        service: "parts".into(),
        address: ([10, 1, 1, 1], port).into(),
        zone: "a".into(),
        slots: 4,
        state: ServerState::Ready,
        warmup_ms: 0,
        started_ms: 0,
        sequence: 0,
    }
}

/// The requirements of a long-running request.
fn long_spec() -> RequestSpec {
    RequestSpec {
        route: "look".into(),
        workspace: None,
        priority: 1,
        target_ms: 60_000.0,
        arrived_us: sorrelwick::clock::now_us(),
        spent_before_us: 0,
        deadline_us: u64::MAX,
        tried_servers: smallvec::SmallVec::new(),
    }
}

/// Guards against sending slowdowns that shift with each health check to all zones, which costs
/// more than it is worth.
#[tokio::test(start_paused = true)]
async fn server_slowdowns_are_not_sent_between_zones() {
    let board = board();
    for row in [member(2, "a", SAME_ZONE_PEER), member(3, "b", OTHER_ZONE_PEER)] {
        board.members.lock().merge(&row, 1_000);
    }
    board.publish_members();
    let allowance = RetryAllowance { ratio: 0.2, window_us: 10_000_000, slack_retries: 10.0 };
    let dispatcher = Dispatcher::new("a", allowance);
    (1..=SERVERS).for_each(|port| dispatcher.list_server(server(port)));
    let servers = dispatcher.servers();
    let links = Recorder::default();
    let reporter = LoadReporter { board, links: links.clone(), dispatcher: dispatcher.clone() };
    let running = tokio::spawn(reporter.run());
    // A request in flight keeps the instance busy.
    let spec = long_spec();
    let grant = dispatcher.try_acquire_spare("parts", &spec).expect("a slot");
    for check in 0..SECONDS * CHECKS_PER_S {
        for (number, server) in servers.iter().enumerate() {
            dispatcher.record_use(server);
            let slow = (check + number as u64).is_multiple_of(3);
            let slowdown_percent = if slow { 500 } else { 100 };
            let load = LoadReport { running: 0, waiting: 0, slowdown_percent };
            let notice = ServerNotice {
                load: Some(load),
                rate_limit: Ok(None),
                draining: false,
                retry_after: Ok(None),
            };
            dispatcher.record_notice(server, ReportSource::HealthCheck, notice);
        }
        tokio::time::sleep(Duration::from_secs(1) / u32::try_from(CHECKS_PER_S).expect("few"))
            .await;
    }
    running.abort();
    drop(grant);
    let bytes_to = |peer| links.bytes.lock().get(&peer).copied().unwrap_or(0);
    let other_zone_per_s = bytes_to(OTHER_ZONE_PEER) / usize::try_from(SECONDS).expect("few");
    println!(
        "{} bytes to the same zone, {} to another",
        bytes_to(SAME_ZONE_PEER),
        bytes_to(OTHER_ZONE_PEER)
    );
    assert!(bytes_to(OTHER_ZONE_PEER) > 0, "requests are reported to other zones");
    assert!(
        bytes_to(SAME_ZONE_PEER) > bytes_to(OTHER_ZONE_PEER),
        "slowdowns are reported in the zone"
    );
    // 16 of 24 homes are in other zones.
    assert!(other_zone_per_s * 16 < CONTROL_MAX_BYTES_PER_S, "{other_zone_per_s} bytes per second");
}

/// Guards against reports that grow with instances times homes: hundreds of instances that are not
/// homes, each with an occasional request, must not report to the homes of all zones.
#[tokio::test(start_paused = true)]
async fn an_instance_that_is_not_a_home_reports_only_to_the_homes_of_its_zone() {
    let mut settings = fleet_settings("i", "a", &["a", "b"], &[]);
    settings.instance.cpu_share = 0.1;
    let board = Arc::new(Blackboard::new(settings, 1));
    for row in [member(2, "a", SAME_ZONE_PEER), member(3, "b", OTHER_ZONE_PEER)] {
        board.members.lock().merge(&row, 1_000);
    }
    board.publish_members();
    let allowance = RetryAllowance { ratio: 0.2, window_us: 10_000_000, slack_retries: 10.0 };
    let dispatcher = Dispatcher::new("a", allowance);
    dispatcher.list_server(server(1));
    let links = Recorder::default();
    let reporter = LoadReporter { board, links: links.clone(), dispatcher: dispatcher.clone() };
    let running = tokio::spawn(reporter.run());
    let grant = dispatcher.try_acquire_spare("parts", &long_spec()).expect("a slot");
    tokio::time::sleep(Duration::from_secs(SECONDS)).await;
    running.abort();
    drop(grant);
    let bytes_to = |peer| links.bytes.lock().get(&peer).copied().unwrap_or(0);
    assert!(bytes_to(SAME_ZONE_PEER) > 0, "a home of its zone uses the same servers");
    assert_eq!(bytes_to(OTHER_ZONE_PEER), 0);
}

/// How a call fails.
#[derive(Clone, Copy, Debug)]
enum CallFault {
    Broken,
    Refused,
    NotAnswered,
}

impl PeerClient for CallFault {
    async fn call(
        &self,
        _: SocketAddr,
        _: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        match self {
            Self::Broken => Err(PeerError::ResponseLost),
            Self::Refused => Err(PeerError::Refused(1)),
            Self::NotAnswered => {
                tokio::time::sleep(timeout).await;
                Err(PeerError::ResponseLost)
            }
        }
    }

    fn close_idle(&self) {}

    fn drop_link(&self, _: SocketAddr) {}
}

/// The first peer to be checked because reports to it fail; `None` if there is none in two seconds.
async fn peer_checked_under(fault: CallFault) -> Option<SocketAddr> {
    let board = board();
    board.members.lock().merge(&member(2, "a", SAME_ZONE_PEER), 1_000);
    board.publish_members();
    let allowance = RetryAllowance { ratio: 0.2, window_us: 10_000_000, slack_retries: 10.0 };
    let dispatcher = Dispatcher::new("a", allowance);
    dispatcher.list_server(server(1));
    let reporter =
        LoadReporter { board: Arc::clone(&board), links: fault, dispatcher: dispatcher.clone() };
    let running = tokio::spawn(reporter.run());
    let grant = dispatcher.try_acquire_spare("parts", &long_spec()).expect("a slot");
    let checked = tokio::time::timeout(Duration::from_secs(2), board.failed_calls.next()).await;
    running.abort();
    drop(grant);
    checked.ok()
}

/// Guards against a home that is gone and noticed only in its turn, and against checks that grow
/// just when answers are slow.
#[tokio::test(start_paused = true)]
async fn only_a_broken_connection_has_a_peer_checked() {
    assert_eq!(peer_checked_under(CallFault::Broken).await, Some(SAME_ZONE_PEER));
    assert_eq!(peer_checked_under(CallFault::Refused).await, None);
    assert_eq!(peer_checked_under(CallFault::NotAnswered).await, None);
}
