//! Choosing among thousands of servers: what a request costs must not grow with them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sorrelwick::balance::SUBSET_MAX;
use sorrelwick::balance::SendOutcome;
use sorrelwick::balance::ServerSubset;
use sorrelwick::balance::ServicePool;
use sorrelwick::model::ServerRow;
use standins::routed::ask_now;
use standins::routed::ready_row;

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

fn part(place: usize, homes: usize) -> ServerSubset {
    ServerSubset { zone: ZONE.into(), index: place, homes }
}

/// Time of so many requests, one after the other, each with others waiting or not.
fn time_of(servers: usize) -> Duration {
    const REQUESTS: u64 = 400;
    let mut pool = pool_of(servers);
    pool.set_subset(Some(&part(0, 4)));
    let mut random = || 0.5;
    let mut shortest = Duration::MAX;
    for run in 0..5 {
        let began = Instant::now();
        for number in 0..REQUESTS {
            let now_us = (1 + run * REQUESTS + number) * 10 * MS;
            let ask = ask_now(now_us);
            let choice = pool.acquire_slot(number, &ask, ZONE, now_us, &mut random).expect("room");
            assert!(pool.dispatch_queued(ZONE, now_us, &mut random).is_none());
            pool.finish_request(
                &choice.server,
                number,
                &ask,
                SendOutcome::Answered,
                now_us + 5 * MS,
            );
        }
        shortest = shortest.min(began.elapsed());
    }
    shortest
}

/// Guards against homes that spend their processor on looking at thousands of servers for each request.
#[test]
fn a_request_costs_the_same_among_one_and_sixteen_thousand_servers() {
    let (few, many) = (time_of(1_000), time_of(16_000));
    println!("{few:?} among 1,000, {many:?} among 16,000");
    assert!(many < few * 3, "{few:?} among 1,000, {many:?} among 16,000");
}

/// Guards against homes of a zone that all keep connections to the same servers.
#[test]
fn each_home_chooses_among_servers_of_its_own_first() {
    let pool = pool_of(2_000);
    let near = |place| part(place, 4).select_if_larger(&pool.servers).expect("there are many");
    let mut all: Vec<usize> = (0..4).flat_map(near).collect();
    all.sort_unstable();
    let count = all.len();
    all.dedup();
    assert_eq!((count, all.len()), (4 * SUBSET_MAX, 4 * SUBSET_MAX));
    assert_eq!(
        part(0, 4).select_if_larger(&pool_of(4 * SUBSET_MAX / 2).servers),
        None,
        "few are all near"
    );
}

/// Guards against requests that wait although far servers have room.
#[test]
fn while_no_near_server_has_room_the_others_are_used() {
    let mut pool = pool_of(1_000);
    pool.set_subset(Some(&part(0, 4)));
    let near = part(0, 4).select_if_larger(&pool.servers).expect("there are many");
    let near: Vec<_> = near.iter().map(|at| Arc::clone(&pool.servers[*at].row.id)).collect();
    let mut random = || 0.5;
    let mut far = 0;
    // One look at all servers each 5 ms is enough for as many requests.
    for number in 0..1_000 {
        let now_us = (1 + number) * 6 * MS;
        let choice = pool.acquire_slot(number, &ask_now(now_us), ZONE, now_us, &mut random);
        far += u32::from(!near.contains(&choice.expect("room").server));
    }
    assert!(far > 500, "{far} went to far ones");
}
