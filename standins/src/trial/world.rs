//! Initial state of a simulation: servers with their slow periods, and homes with their slot pools.

use std::collections::VecDeque;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use sorrelwick::decide::HomeCandidate;
use sorrelwick::decide::QueueAge;
use sorrelwick::decide::ServerLoad;
use sorrelwick::decide::SlotPool;
use sorrelwick::decide::assign_keepers;

use super::Policy;
use super::Scene;
use super::server::AttemptId;
use super::server::Server;

pub const ZONES: usize = 3;
pub const START_US: u64 = 1_000_000_000;
pub const SECOND_US: u64 = 1_000_000;
const INSTANCES: usize = 19;
const SLOW_US: u64 = 200_000;
/// Offset of the slow period within each second, so that the first one is not cut off.
const SLOW_FROM_US: u64 = 300_000;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    pub zone: usize,
    pub due_us: u64,
    pub open: bool,
    pub waiting: bool,
    pub tries: u32,
    pub attempts: Vec<AttemptId>,
}

/// An attempt of a request on a server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub request: usize,
    pub home: usize,
    pub server: usize,
    pub work_us: f64,
    pub began_us: u64,
    pub open: bool,
}

/// An instance that dispatches requests to servers.
#[derive(Clone, Debug)]
pub struct Home {
    pub zone: usize,
    pub pool: SlotPool,
    pub in_flight: Vec<u32>,
    pub queue: VecDeque<usize>,
    pub queue_age: QueueAge,
    /// Requests that wait for a slot for a hedged attempt; served before the queue.
    pub overdue: VecDeque<usize>,
    pub free_slot_reports: Vec<(u32, u64)>,
    pub round_robin_turn: u64,
}

/// Creates the servers of a scene.
pub fn servers_of(scene: &Scene, rng: &mut Pcg64Mcg) -> Vec<Server> {
    let (count, slots, _) = scene.size.shape();
    let mut servers: Vec<Server> = (0..count)
        .map(|at| Server {
            zone: at % ZONES,
            slots: slots as usize,
            fails: scene.failing_server && at == 0,
            slow_periods: Vec::new(),
            running: Vec::new(),
            queue: VecDeque::new(),
        })
        .collect();
    for second in 0..scene.seconds + 2 {
        if !scene.slow_third {
            break;
        }
        let from = START_US + second * SECOND_US + SLOW_FROM_US;
        let mut order: Vec<usize> = (0..count).collect();
        for at in (1..count).rev() {
            order.swap(at, rng.random_range(0..=at));
        }
        for at in &order[..count / 3] {
            servers[*at].slow_periods.push((from, from + SLOW_US));
        }
    }
    servers
}

/// Creates the homes of a scene; all instances if the policy sprays requests.
pub fn homes_for(scene: &Scene, policy: Policy, servers: &[Server]) -> Vec<Home> {
    let count = match policy {
        _ if policy.sprays() => INSTANCES,
        _ if policy.has_single_home() => 1,
        _ => scene.homes,
    };
    let names: Vec<String> = (0..servers.len()).map(|at| format!("b{at}")).collect();
    let zone_names = ["a", "b", "c"];
    let candidates: Vec<HomeCandidate<'_>> = (0..count)
        .map(|at| HomeCandidate { incarnation: at as u64 + 1, zone: zone_names[at % ZONES] })
        .collect();
    let placed: Vec<(&str, &str)> =
        names.iter().zip(servers).map(|(id, s)| (id.as_str(), zone_names[s.zone])).collect();
    let keepers = assign_keepers(&placed, &candidates);
    (0..count)
        .map(|at| {
            let loads = servers.iter().zip(&keepers).map(|(server, keeper)| {
                let slots = u32::try_from(server.slots).unwrap_or(1);
                let mut load = ServerLoad::warm(slots);
                load.is_keeper = *keeper == at;
                load
            });
            Home {
                zone: at % ZONES,
                pool: SlotPool::new(loads.collect(), scene.seed + at as u64),
                in_flight: vec![0; servers.len()],
                queue: VecDeque::new(),
                queue_age: QueueAge::default(),
                overdue: VecDeque::new(),
                free_slot_reports: vec![(0, 0); count],
                round_robin_turn: at as u64,
            }
        })
        .collect()
}
