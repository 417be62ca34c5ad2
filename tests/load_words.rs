//! What homes tell each other of the backend servers, in bytes, without network.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use sorrelwick::balance::RequestSpec;
use sorrelwick::balance::RetryAllowance;
use sorrelwick::board::Blackboard;
use sorrelwick::gateway::Dispatcher;
use sorrelwick::gateway::LoadReporter;
use sorrelwick::gateway::ServerNotice;
use sorrelwick::member::MemberRow;
use sorrelwick::member::MemberState;
use sorrelwick::model::Heard;
use sorrelwick::model::LoadReport;
use sorrelwick::model::ServerRow;
use sorrelwick::model::ServerState;
use sorrelwick::peer::PeerCalls;
use sorrelwick::peer::PeerError;
use sorrelwick::peer::PeerReply;
use sorrelwick::peer::PeerRequest;
use sorrelwick::peer::encode;
use standins::routed::bed_settings;

/// Servers of one home's part of a large zone.
const SERVERS: u16 = 125;
const CHECKS_PER_S: u64 = 8;
const SECONDS: u64 = 10;
/// What an instance may spend on control.
const CONTROL_MAX_BYTES_PER_S: usize = 5_000;
const NEAR: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 2);
const FAR: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 3);

/// Takes note of what each peer is told.
#[derive(Clone, Debug, Default)]
struct Recorder {
    bytes: Arc<Mutex<HashMap<SocketAddr, usize>>>,
}

impl PeerCalls for Recorder {
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

    fn forget(&self, _: SocketAddr) {}
}

/// The state of an instance whose zone has two homes.
fn board() -> Arc<Blackboard> {
    let mut settings = bed_settings("i", "a", &["a", "b"], &[]);
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
        caller: peer,
        operator: peer,
        peer,
        capacity_per_s: 500,
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

/// A request that lasts.
fn long_ask() -> RequestSpec {
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

/// Pattern: paces that shift with each health check; telling them to all zones cost more than answers earn.
#[tokio::test(start_paused = true)]
async fn the_pace_of_servers_does_not_travel_between_zones() {
    let board = board();
    for row in [member(2, "a", NEAR), member(3, "b", FAR)] {
        board.members.lock().merge(&row, 1_000);
    }
    board.publish_members();
    let allowance = RetryAllowance { ratio: 0.2, window_us: 10_000_000, slack: 10.0 };
    let dispatcher = Dispatcher::new("a", allowance);
    (1..=SERVERS).for_each(|port| dispatcher.list_server(server(port)));
    let servers = dispatcher.servers();
    let links = Recorder::default();
    let share = LoadReporter { board, links: links.clone(), dispatcher: dispatcher.clone() };
    let running = tokio::spawn(share.run());
    // A request keeps the instance busy, as on a day.
    let ask = long_ask();
    let grant = dispatcher.try_acquire_spare("parts", &ask).expect("a slot");
    for check in 0..SECONDS * CHECKS_PER_S {
        for (number, server) in servers.iter().enumerate() {
            dispatcher.record_use(server);
            let slow = (check + number as u64).is_multiple_of(3);
            let pace_percent = if slow { 500 } else { 100 };
            let load = LoadReport { running: 0, waiting: 0, pace_percent };
            let notice = ServerNotice {
                load: Some(load),
                rate_limit: Ok(None),
                draining: false,
                retry_after: Ok(None),
            };
            dispatcher.record_notice(server, Heard::Check, notice);
        }
        tokio::time::sleep(Duration::from_secs(1) / u32::try_from(CHECKS_PER_S).expect("few"))
            .await;
    }
    running.abort();
    drop(grant);
    let told = |peer| links.bytes.lock().get(&peer).copied().unwrap_or(0);
    let far = told(FAR) / usize::try_from(SECONDS).expect("few");
    println!("{} bytes near, {} far", told(NEAR), told(FAR));
    assert!(told(FAR) > 0, "it is told of requests");
    assert!(told(NEAR) > told(FAR), "pace is told in the zone");
    // Of 24 homes 16 are of other zones.
    assert!(far * 16 < CONTROL_MAX_BYTES_PER_S, "{far} bytes a second");
}

/// Guards against words that grow with instances times homes: each of hundreds that are no homes, with a
/// request now and then, tells the homes of all zones.
#[tokio::test(start_paused = true)]
async fn an_instance_that_is_no_home_tells_only_the_homes_of_its_zone() {
    let mut settings = bed_settings("i", "a", &["a", "b"], &[]);
    settings.instance.cpu_share = 0.1;
    let board = Arc::new(Blackboard::new(settings, 1));
    for row in [member(2, "a", NEAR), member(3, "b", FAR)] {
        board.members.lock().merge(&row, 1_000);
    }
    board.publish_members();
    let allowance = RetryAllowance { ratio: 0.2, window_us: 10_000_000, slack: 10.0 };
    let dispatcher = Dispatcher::new("a", allowance);
    dispatcher.list_server(server(1));
    let links = Recorder::default();
    let share = LoadReporter { board, links: links.clone(), dispatcher: dispatcher.clone() };
    let running = tokio::spawn(share.run());
    let grant = dispatcher.try_acquire_spare("parts", &long_ask()).expect("a slot");
    tokio::time::sleep(Duration::from_secs(SECONDS)).await;
    running.abort();
    drop(grant);
    let told = |peer| links.bytes.lock().get(&peer).copied().unwrap_or(0);
    assert!(told(NEAR) > 0, "a home of its zone uses the same servers");
    assert_eq!(told(FAR), 0);
}
