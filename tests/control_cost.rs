//! The cost of an instance's own control work grows no faster than the data it holds.

use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sorrelwick::balance::RequestSpec;
use sorrelwick::balance::ServicePool;
use sorrelwick::board::Blackboard;
use sorrelwick::conf::parse_settings;
use sorrelwick::gateway::Dispatcher;
use sorrelwick::gateway::HomesPlan;
use sorrelwick::gateway::homes_of_zone;
use sorrelwick::member::MemberRow;
use sorrelwick::member::MemberState;
use sorrelwick::model::ServerRow;
use sorrelwick::model::ServerState;
use sorrelwick::peer::ServerLoadRow;
use sorrelwick::peer::ServerLoads;
use sorrelwick::retry::RetryAllowance;

const RETRY_ALLOWANCE: RetryAllowance =
    RetryAllowance { ratio: 0.2, window_us: 10_000_000, slack_retries: 10.0 };

/// A ready backend server.
fn row(number: usize, slots: u32) -> ServerRow {
    ServerRow {
        id: format!("i-{number:08x}").into(),
        service: "catalogue".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "burnaby".into(),
        slots,
        state: ServerState::Ready,
        warmup_ms: 0,
        started_ms: 0,
        sequence: 0,
    }
}

/// A dispatcher that lists this many servers.
fn dispatcher_with(servers: usize) -> Dispatcher {
    let dispatcher = Dispatcher::new("burnaby", RETRY_ALLOWANCE);
    for number in 0..servers {
        dispatcher.list_server(row(number, 4));
    }
    dispatcher
}

/// The shortest of 30 runs, the one least disturbed by other work on the machine.
fn shortest(mut work: impl FnMut()) -> Duration {
    let run = |_| {
        let started = Instant::now();
        work();
        started.elapsed()
    };
    (0..30).map(run).min().unwrap()
}

/// Guards against late responses in a large fleet that has no other fault: each instance lists its
/// requests at all servers 40 times per second for each home; with 400 servers a linear search per
/// server took a third of its processor. Ten times the servers may take ten times as long, plus a
/// margin for caches; a search in a list takes a hundred times as long.
#[test]
fn collecting_loads_is_linear_in_the_servers() {
    let (few, many) = (dispatcher_with(400), dispatcher_with(4_000));
    let took_few = shortest(|| drop(black_box(few.own_loads())));
    let took_many = shortest(|| drop(black_box(many.own_loads())));
    assert!(took_many < took_few * 30, "{took_few:?} for 400 servers, {took_many:?} for 4,000");
}

/// The same for requests: each looks servers up several times, which must not take longer with more
/// servers.
#[test]
fn server_lookup_time_is_independent_of_the_server_count() {
    let look_up = |dispatcher: &Dispatcher| {
        let servers = dispatcher.servers();
        let every: Vec<_> = servers.iter().step_by(servers.len() / 100).collect();
        shortest(|| {
            for server in &every {
                black_box(dispatcher.reports_load(server));
            }
        })
    };
    let (few, many) = (look_up(&dispatcher_with(400)), look_up(&dispatcher_with(4_000)));
    assert!(many < few * 5, "{few:?} among 400 servers, {many:?} among 4,000");
}

/// Guards against a cost per message that depends on all servers: forty homes, each of which
/// received loads of thirty-nine others several times per second, did nothing else with 800
/// servers. The cost must depend on the servers in the message only.
#[test]
fn applying_a_peer_load_is_independent_of_the_server_count() {
    let apply = |dispatcher: &Dispatcher| {
        let servers = dispatcher.servers();
        let listed = servers.iter().take(10);
        let rows: Vec<ServerLoadRow> = listed
            .map(|server| ServerLoadRow {
                server_hash: server.key,
                in_flight: 1,
                slowdown_percent: 100,
            })
            .collect();
        let loads = ServerLoads { from: 7, rows };
        shortest(|| dispatcher.record_peer_loads(&loads))
    };
    let (few, many) = (apply(&dispatcher_with(400)), apply(&dispatcher_with(4_000)));
    assert!(many < few * 5, "{few:?} among 400 servers, {many:?} among 4,000");
}

/// In-flight requests are reported to each home several times per second. An instance without any,
/// as nearly all of a large fleet, must find that out without a scan of the servers.
#[test]
fn an_idle_instance_finds_no_loads_without_a_scan() {
    let (few, many) = (dispatcher_with(400), dispatcher_with(4_000));
    assert!(many.own_loads().is_empty());
    let took_few = shortest(|| drop(black_box(few.own_loads())));
    let took_many = shortest(|| drop(black_box(many.own_loads())));
    let least = Duration::from_micros(1);
    assert!(took_many < took_few.max(least) * 5, "{took_few:?} and {took_many:?}");
}

/// A live member.
fn member(incarnation: u64) -> MemberRow {
    let peer = SocketAddr::from(([10, 0, 0, 1], 1_000)).ip();
    let port = u16::try_from(incarnation % 60_000).expect("a port");
    let address = SocketAddr::new(peer, port);
    MemberRow {
        incarnation,
        generation: 0,
        state: MemberState::Alive,
        name: format!("front-{incarnation}"),
        zone: format!("z{}", incarnation % 5),
        caller_address: address,
        operator_address: address,
        peer_address: address,
        capacity_per_s: 100,
        reaches_servers: true,
        uptime_ms: 1_000,
        successor: None,
    }
}

/// The state of an instance that knows this many members, itself included.
fn board_with(members: u64) -> Blackboard {
    let settings = parse_settings("t", r#"{ instance: { name: "a", zone: "z0" } }"#);
    let board = Blackboard::new(settings.expect("valid"), 1);
    for incarnation in 2..=members {
        board.members.lock().merge_synced(&member(incarnation), 1_000);
    }
    board.publish_members();
    board
}

/// Guards against a cost per member change that depends on the fleet: when hundreds of instances
/// start, each learns of the others one by one. Each change rebuilt all rows and searched them
/// linearly, and each selection of homes sorted them, which took half of the processor of an idle
/// fleet of 472.
#[test]
fn a_member_change_is_independent_of_the_member_count() {
    let change = |board: &Blackboard| {
        let mut generation = 0;
        shortest(|| {
            generation += 1;
            let row = MemberRow { generation, ..member(77) };
            assert!(board.members.lock().merge(&row, 1_000));
            board.publish_members();
            black_box(homes_of_zone(&board.members_view(), "z2", HomesPlan::FIRST_ONLY));
        })
    };
    let (few, many) = (board_with(450), board_with(4_500));
    let (took_few, took_many) = (change(&few), change(&many));
    assert!(took_many < took_few * 5, "{took_few:?} of 450 members, {took_many:?} of 4,500");
    let before = few.members_view();
    assert!(few.members.lock().merge(&MemberRow { generation: 1_000, ..member(78) }, 1_000));
    few.publish_members();
    let after = few.members_view();
    let copied =
        before.rows.iter().zip(&after.rows).filter(|(one, other)| !Arc::ptr_eq(one, other));
    assert_eq!(copied.count(), 1, "rows of unchanged members were rebuilt");
}

/// Guards against trying every queued request on every server at each response. In a burst, with
/// all servers full and hundreds of requests queued, that took more than the processor had: the
/// instance answered no pings, was declared dead, and its callers overloaded smaller ones. The
/// check must cost about the same with 1,000 queued requests as with ten.
#[test]
fn a_long_queue_before_full_servers_costs_no_more_than_a_short_one() {
    let dispatch_with_queue = |queued: u64| {
        let mut pool = ServicePool::default();
        for number in 0..360 {
            pool.upsert_server(row(number, 4), 0);
        }
        let spec = RequestSpec {
            route: "lookup".into(),
            workspace: None,
            priority: 2,
            target_ms: 60_000.0,
            arrived_us: 1_000,
            spent_before_us: 0,
            deadline_us: 120_000_000,
            tried_servers: smallvec::SmallVec::new(),
        };
        let mut ticket = 0;
        while pool.acquire_slot(ticket, &spec, "burnaby", 1_000, &mut || 0.5).is_some() {
            ticket += 1;
        }
        for number in 0..queued {
            pool.enqueue(ticket + number, spec.clone(), 1_000).expect("its target is far off");
        }
        shortest(|| {
            let served = pool.dispatch_queued("burnaby", 1_000, &mut || 0.5);
            assert!(served.is_none());
        })
    };
    let (short, long) = (dispatch_with_queue(10), dispatch_with_queue(1_000));
    assert!(long < short * 5, "{short:?} with 10 queued, {long:?} with 1,000");
}
