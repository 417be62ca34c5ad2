//! What an instance spends on itself grows no faster than what it knows.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use sorrelwick::balance::Ask;
use sorrelwick::balance::RepeatAllowance;
use sorrelwick::balance::ServicePool;
use sorrelwick::gateway::Dispatcher;
use sorrelwick::model::ServerRow;
use sorrelwick::model::ServerState;

const ALLOWANCE: RepeatAllowance =
    RepeatAllowance { ratio: 0.2, window_us: 10_000_000, slack: 10.0 };

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

fn dispatcher_with(servers: usize) -> Dispatcher {
    let dispatcher = Dispatcher::new("burnaby", ALLOWANCE);
    for number in 0..servers {
        dispatcher.list(row(number, 4));
    }
    dispatcher
}

/// The shortest of many runs, which other work on the machine disturbs least.
fn shortest(mut work: impl FnMut()) -> Duration {
    let run = |_| {
        let started = Instant::now();
        work();
        started.elapsed()
    };
    (0..30).map(run).min().unwrap()
}

/// Callers of a large fleet get their answers late while nothing is wrong anywhere: each instance
/// lists its requests at all servers forty times a second for each home, and with 400 servers
/// spent a third of its processor on looking each one up in a list. Ten times the servers may
/// cost ten times the work, with some room for caches; a search in a list costs a hundred times.
#[test]
fn telling_loads_costs_in_proportion_to_the_servers() {
    let (few, many) = (dispatcher_with(400), dispatcher_with(4_000));
    let told_few = shortest(|| drop(black_box(few.own_loads())));
    let told_many = shortest(|| drop(black_box(many.own_loads())));
    assert!(told_many < told_few * 30, "{told_few:?} for 400 servers, {told_many:?} for 4,000");
}

/// As above for the requests themselves: what is believed of a server is looked up some times for
/// each request, and must not take longer the more servers there are.
#[test]
fn looking_up_a_server_does_not_depend_on_how_many_there_are() {
    let look_up = |dispatcher: &Dispatcher| {
        let servers = dispatcher.servers();
        let every: Vec<_> = servers.iter().step_by(servers.len() / 100).collect();
        shortest(|| {
            for server in &every {
                black_box(dispatcher.tells_load(server));
            }
        })
    };
    let (few, many) = (look_up(&dispatcher_with(400)), look_up(&dispatcher_with(4_000)));
    assert!(many < few * 5, "{few:?} among 400 servers, {many:?} among 4,000");
}

/// In a burst all servers are full and hundreds of requests wait. Each answer anywhere asks whether
/// one of them can be served, and trying each of them on each server took more than the processor
/// had: the instance answered no pings, was taken for dead, and its callers fell upon smaller ones.
/// Asking must cost about the same with a thousand waiting as with ten.
#[test]
fn a_long_queue_before_full_servers_costs_no_more_than_a_short_one() {
    let ask_with_waiting = |waiting: u64| {
        let mut pool = ServicePool::default();
        for number in 0..360 {
            pool.list(row(number, 4), 0);
        }
        let ask = Ask {
            route: "lookup".into(),
            priority: 2,
            aim_ms: 60_000.0,
            arrived_us: 1_000,
            spent_us: 0,
            deadline_us: 120_000_000,
            avoid: smallvec::SmallVec::new(),
        };
        let mut ticket = 0;
        while pool.take(ticket, &ask, "burnaby", 1_000, &mut || 0.5).is_some() {
            ticket += 1;
        }
        for number in 0..waiting {
            pool.enqueue(ticket + number, ask.clone(), 1_000).expect("its aim is far off");
        }
        shortest(|| {
            let served = pool.serve_waiting("burnaby", 1_000, &mut || 0.5);
            assert!(served.is_none());
        })
    };
    let (short, long) = (ask_with_waiting(10), ask_with_waiting(1_000));
    assert!(long < short * 5, "{short:?} with 10 waiting, {long:?} with 1,000");
}
