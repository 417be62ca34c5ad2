//! Selection among thousands of servers: the cost per request must not grow with their number.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sorrelwick::balance::SUBSET_MAX;
use sorrelwick::balance::SendOutcome;
use sorrelwick::balance::ServerSubset;
use sorrelwick::balance::ServicePool;
use sorrelwick::model::ServerRow;
use standins::routed::ready_row;
use standins::routed::spec_now;

const MS: u64 = 1_000;
const ZONE: &str = "z";

fn pool_of(servers: usize) -> ServicePool {
    let mut pool = ServicePool::default();
    for number in 0..servers {
        pool.upsert_server(
            ServerRow { zone: ZONE.into(), ..ready_row(&format!("s{number:05}")) },
            0,
        );
    }
    pool
}

fn partition(index: usize, homes: usize) -> ServerSubset {
    ServerSubset { zone: ZONE.into(), index, homes }
}

/// Time of sequential requests, each with an attempt to dispatch from the queue; the shortest of
/// five runs.
fn shortest_time(servers: usize) -> Duration {
    const REQUESTS: u64 = 400;
    let mut pool = pool_of(servers);
    pool.set_subset(Some(&partition(0, 4)));
    let mut random = || 0.5;
    let mut shortest = Duration::MAX;
    for run in 0..5 {
        let began = Instant::now();
        for number in 0..REQUESTS {
            let now_us = (1 + run * REQUESTS + number) * 10 * MS;
            let spec = spec_now(now_us);
            let choice = pool.acquire_slot(number, &spec, ZONE, now_us, &mut random).expect("room");
            assert!(pool.dispatch_queued(ZONE, now_us, &mut random).is_none());
            pool.finish_request(
                &choice.server,
                number,
                &spec,
                SendOutcome::Answered,
                now_us + 5 * MS,
            );
        }
        shortest = shortest.min(began.elapsed());
    }
    shortest
}

/// Guards against homes that spend their CPU time on scanning thousands of servers for each
/// request.
#[test]
fn a_request_costs_the_same_among_one_and_sixteen_thousand_servers() {
    let (few, many) = (shortest_time(1_000), shortest_time(16_000));
    println!("{few:?} among 1,000, {many:?} among 16,000");
    assert!(many < few * 3, "{few:?} among 1,000, {many:?} among 16,000");
}

/// Guards against homes of a zone that all keep connections to the same servers.
#[test]
fn each_home_prefers_its_own_servers() {
    let pool = pool_of(2_000);
    let preferred =
        |index| partition(index, 4).select_if_larger(&pool.servers).expect("there are many");
    let mut all: Vec<usize> = (0..4).flat_map(preferred).collect();
    all.sort_unstable();
    let count = all.len();
    all.dedup();
    assert_eq!((count, all.len()), (4 * SUBSET_MAX, 4 * SUBSET_MAX));
    assert_eq!(
        partition(0, 4).select_if_larger(&pool_of(4 * SUBSET_MAX / 2).servers),
        None,
        "a small partition needs no subset"
    );
}

/// Guards against requests that wait although servers outside the subset have free slots.
#[test]
fn other_servers_are_used_while_no_preferred_one_is_available() {
    let mut pool = pool_of(1_000);
    pool.set_subset(Some(&partition(0, 4)));
    let preferred = partition(0, 4).select_if_larger(&pool.servers).expect("there are many");
    let preferred: Vec<_> =
        preferred.iter().map(|at| Arc::clone(&pool.servers[*at].row.id)).collect();
    let mut random = || 0.5;
    let mut others = 0;
    // All servers are scanned at most every 5 ms, so requests come at 6 ms intervals.
    for number in 0..1_000 {
        let now_us = (1 + number) * 6 * MS;
        let choice = pool.acquire_slot(number, &spec_now(now_us), ZONE, now_us, &mut random);
        others += u32::from(!preferred.contains(&choice.expect("room").server));
    }
    assert!(others > 500, "{others} went to servers outside the subset");
}
