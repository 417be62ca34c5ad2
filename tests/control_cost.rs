//! What an instance spends on itself grows no faster than what it knows.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use sorrelwick::balance::RepeatAllowance;
use sorrelwick::gateway::Dispatcher;
use sorrelwick::gateway::ServerRow;
use sorrelwick::gateway::ServerState;

const ALLOWANCE: RepeatAllowance =
    RepeatAllowance { ratio: 0.2, window_us: 10_000_000, slack: 10.0 };

fn dispatcher_with(servers: usize) -> Dispatcher {
    let dispatcher = Dispatcher::new("burnaby", ALLOWANCE);
    for number in 0..servers {
        dispatcher.list(ServerRow {
            id: format!("i-{number:08x}").into(),
            service: "catalogue".into(),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: "burnaby".into(),
            slots: 4,
            state: ServerState::Ready,
            warmup_ms: 0,
        });
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
