//! The decisions of who gets which server, who waits and who is refused, without network, under the
//! loads that they answer.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "modelled times and counts are small"
)]

use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use sorrelwick::balance::RequestSpec;
use sorrelwick::balance::RetryAllowance;
use sorrelwick::balance::RetryBudget;
use sorrelwick::balance::RetryNeed;
use sorrelwick::balance::SendOutcome;
use sorrelwick::balance::ServicePool;
use sorrelwick::model::LoadReport;
use sorrelwick::model::ServerRow;
use sorrelwick::model::ServerState;
use sorrelwick::peer::ServerLoadRow;

mod common;

const MS: u64 = 1_000;
const ZONE: &str = "z";

fn row(id: &str, slots: u32) -> ServerRow {
    ServerRow {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZONE.into(),
        slots,
        state: ServerState::Ready,
        warmup_ms: 0,
        started_ms: 0,
        sequence: 0,
    }
}

fn pool(servers: usize, slots: u32) -> ServicePool {
    let mut pool = ServicePool::default();
    for number in 0..servers {
        pool.upsert_server(row(&format!("s{number}"), slots), 0);
    }
    pool
}

fn ask(route: &str, priority: u32, aim_ms: f64, now_us: u64) -> RequestSpec {
    RequestSpec {
        route: route.into(),
        workspace: None,
        priority,
        target_ms: aim_ms,
        arrived_us: now_us,
        spent_before_us: 0,
        deadline_us: now_us + (aim_ms * 2_500.0) as u64,
        tried_servers: smallvec::SmallVec::new(),
    }
}

fn half() -> impl FnMut() -> f64 {
    || 0.5
}

/// Orders wait behind lookups that nobody minds to repeat.
#[test]
fn the_most_urgent_request_gets_the_first_free_slot() {
    let mut pool = pool(1, 1);
    let first = ask("look", 2, 600.0, MS);
    let choice = pool.acquire_slot(1, &first, ZONE, MS, &mut half()).expect("a free server");
    pool.enqueue(2, ask("look", 2, 600.0, 2 * MS), 2 * MS).expect("it waits");
    pool.enqueue(3, ask("order", 0, 600.0, 3 * MS), 3 * MS).expect("it waits");
    pool.finish_request(&choice.server, 1, &first, SendOutcome::Answered, 50 * MS);
    let (served, _) = pool.dispatch_queued(ZONE, 50 * MS, &mut half()).expect("a slot is free");
    assert_eq!(served.ticket, 3);
}

/// A caller is held until its deadline although the queue before it could never be served in time.
#[test]
fn who_cannot_be_served_in_time_is_refused_at_once() {
    let mut pool = pool(1, 1);
    let first = ask("look", 2, 600.0, MS);
    let choice = pool.acquire_slot(1, &first, ZONE, MS, &mut half()).expect("a free server");
    pool.finish_request(&choice.server, 1, &first, SendOutcome::Answered, 201 * MS);
    pool.acquire_slot(2, &first, ZONE, 202 * MS, &mut half()).expect("a free server");
    pool.enqueue(3, ask("look", 2, 600.0, 203 * MS), 203 * MS).expect("one may wait");
    let refusal = pool.enqueue(4, ask("look", 2, 600.0, 204 * MS), 204 * MS);
    let refusal = refusal.expect_err("two hundred milliseconds each, and an aim of six hundred");
    assert!(!refusal.no_server && (50..=2_000).contains(&refusal.retry_after_ms), "{refusal:?}");
}

/// All instances start at once after a loss of power. The first ones up give out most slots, and a
/// home that comes half a second later refuses everything it gets, for as long as they do: it has
/// no part of the requests, so it reckons with no part of the slots.
///
/// The pattern: all usable slots in use by others. Grounds: three homes, twelve servers of three
/// slots, work of 160 ms in an aim of 400, as on the deployments of today.
#[test]
fn a_home_that_starts_late_reckons_with_its_fair_part() {
    let mut pool = pool(12, 3);
    pool.fair_share = 1.0 / 3.0;
    let first = ask("look", 2, 400.0, MS);
    let choice = pool.acquire_slot(100, &first, ZONE, MS, &mut half()).expect("a free server");
    let now_us = 161 * MS;
    pool.finish_request(&choice.server, 100, &first, SendOutcome::Answered, now_us);
    for server in &mut pool.servers {
        let row = ServerLoadRow { server: server.key, in_flight: 2, pace_percent: 100 };
        server.record_peer_load(7, row, now_us);
    }
    let asks = (0..8).map(|number| (number, ask("look", 2, 400.0, now_us)));
    let waiting = asks.filter(|(number, ask)| pool.enqueue(*number, ask.clone(), now_us).is_ok());
    assert!(waiting.count() >= 5);
}

/// A caller that comes back after a refusal has less of its aim left than its arrival tells.
#[test]
fn time_that_a_caller_spent_before_counts() {
    let mut pool = pool(1, 1);
    pool.acquire_slot(1, &ask("look", 2, 600.0, MS), ZONE, MS, &mut half()).expect("a free server");
    let mut back = ask("look", 2, 600.0, 2 * MS);
    back.spent_before_us = 500 * MS;
    pool.enqueue(2, back, 2 * MS).expect("a late one waits a little");
    assert!(pool.expire_queued(40 * MS).is_empty());
    assert_eq!(pool.expire_queued(100 * MS).as_slice(), [2]);
}

/// A server that fails at once looks idle, and so attracts everything.
#[test]
fn a_server_that_fails_at_once_does_not_attract_the_traffic() {
    let mut pool = pool(3, 4);
    let mut rng = Pcg64::seed_from_u64(1);
    let mut random = || rng.random_range(0.0..1.0);
    let mut failed = 0;
    for number in 0..300_u64 {
        let now_us = MS + number * 10 * MS;
        let asked = ask("look", 2, 600.0, now_us);
        let choice = pool.acquire_slot(number, &asked, ZONE, now_us, &mut random).expect("room");
        let bad = &*choice.server == "s0";
        failed += u32::from(bad);
        let end = if bad { SendOutcome::Failed } else { SendOutcome::Answered };
        pool.finish_request(&choice.server, number, &asked, end, now_us + MS);
    }
    assert!(failed < 30, "{failed} of 300 went to the server that fails");
}

/// A server that vanished without a word keeps getting requests, and all of them are lost.
#[test]
fn a_server_that_falls_silent_gets_no_more() {
    let mut pool = pool(2, 4);
    let asked = ask("look", 2, 600.0, MS);
    pool.server_mut("s1").expect("it is there").record_check_timeout(MS);
    pool.server_mut("s1").expect("it is there").record_check_timeout(101 * MS);
    for number in 0..3 {
        let choice = pool.acquire_slot(number, &asked, ZONE, 110 * MS, &mut half()).expect("room");
        assert_eq!(&*choice.server, "s0");
    }
}

/// A request that would be late on the slow servers that are free waits for a fast one.
#[test]
fn a_request_waits_rather_than_begin_on_a_slow_server() {
    let mut pool = pool(1, 4);
    let report = |pace_percent| LoadReport { running: 0, waiting: 0, pace_percent };
    pool.server_mut("s0").expect("it is there").record_load(report(500), MS);
    let asked = ask("look", 2, 600.0, MS);
    assert!(pool.acquire_slot(1, &asked, ZONE, MS, &mut half()).is_none());
    pool.enqueue(1, asked, MS).expect("it waits");
    assert!(pool.dispatch_queued(ZONE, 2 * MS, &mut half()).is_none());
    pool.server_mut("s0").expect("it is there").record_load(report(100), 30 * MS);
    assert!(pool.dispatch_queued(ZONE, 30 * MS, &mut half()).is_some());
}

/// One end of a piece of work in the modelled load.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct End {
    at_us: std::cmp::Reverse<u64>,
    ticket: u64,
}

/// Work left of a request, in microseconds at full speed, and when that was so.
struct Running {
    server: Arc<str>,
    asked: RequestSpec,
    left_us: f64,
}

/// A burst of 1.5 times what the servers can do, for eight seconds. Servers slow down all of their
/// work by `knee` while all of their slots are in use. Returns the share answered within the aim.
///
/// Work of 220 ms on 11 servers of 4 slots, as one home of a zone has them.
fn burst(knee: f64, slots: u32) -> f64 {
    let mut pool = pool(11, slots);
    let mut rng = Pcg64::seed_from_u64(7);
    let capacity_per_s = 11.0 * f64::from(slots - 1) / 0.22;
    let gap_us = (1e6 / (capacity_per_s * 1.5)) as u64;
    let mut running: HashMap<u64, Running> = HashMap::new();
    let (mut asked, mut in_aim, mut ticket) = (0_u32, 0_u32, 0_u64);
    let mut next_us = MS;
    for now_us in (MS..8_000 * MS).step_by(MS as usize) {
        // Work advances, slower on servers that are full.
        let mut on_server: HashMap<Arc<str>, u32> = HashMap::new();
        for work in running.values() {
            *on_server.entry(Arc::clone(&work.server)).or_default() += 1;
        }
        let mut ended = BinaryHeap::new();
        for (ticket, work) in &mut running {
            let full = on_server[&work.server] >= slots;
            work.left_us -= MS as f64 / if full { knee } else { 1.0 };
            if work.left_us <= 0.0 {
                ended.push(End { at_us: std::cmp::Reverse(now_us), ticket: *ticket });
            }
        }
        while let Some(end) = ended.pop() {
            let work = running.remove(&end.ticket).expect("it runs");
            in_aim += u32::from(now_us - work.asked.arrived_us <= 600 * MS);
            pool.finish_request(
                &work.server,
                end.ticket,
                &work.asked,
                SendOutcome::Answered,
                now_us,
            );
        }
        let mut random = || rng.random_range(0.0..1.0);
        while next_us <= now_us {
            next_us += gap_us;
            ticket += 1;
            asked += 1;
            let _ = pool.enqueue(ticket, ask("look", 2, 600.0, now_us), now_us);
        }
        pool.expire_queued(now_us);
        while let Some((waiting, choice)) = pool.dispatch_queued(ZONE, now_us, &mut random) {
            let left_us = random().mul_add(180.0, 130.0) * 1_000.0;
            let server = choice.server;
            running.insert(waiting.ticket, Running { server, asked: waiting.spec, left_us });
        }
    }
    f64::from(in_aim) / f64::from(asked)
}

/// Counter staff see nearly all lookups late in a burst: every server is filled to the last slot,
/// which slows all that runs there by 1.7, so that less is served than with one slot left free.
///
/// The pattern: a burst of 1.5 times the capacity of slots but one. Grounds: the share that can be
/// served is 1 / 1.5 = 0.67; with all slots in use it would be 0.67 * 4/3 / 1.7 = 0.52, and later
/// than the aim. Measured 0.55 with the limit; what is lost is the learning and the refusals.
#[test]
fn in_a_burst_the_last_slot_is_left_free_where_it_slows_the_rest() {
    let with_knee = burst(1.7, 4);
    assert!(with_knee > 0.5, "{with_knee}");
}

/// The same burst where the last slot slows nothing: it is used, as 4/3 of the work is served.
#[test]
fn in_a_burst_the_last_slot_is_used_where_it_slows_nothing() {
    let without_knee = burst(1.0, 4);
    assert!(without_knee > 0.7, "{without_knee}");
}

/// An outage is amplified: every instance repeats what fails, together more than the operators
/// allow for the service.
#[test]
fn repeats_of_all_homes_together_stay_within_the_operators_budget() {
    let (window_us, ratio, slack, homes) = (10_000 * MS, 0.2, 64.0, 3);
    let allowance =
        RetryAllowance { ratio: ratio * 0.9, window_us, slack: slack * 0.7 / f64::from(homes) };
    common::property(60, |u| {
        let mut budgets: Vec<RetryBudget> = (0..homes).map(|_| RetryBudget::default()).collect();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut now_us = window_us;
        for _ in 0..u.int_in_range(100..=1_500)? {
            now_us += u.int_in_range(0..=60 * MS)?;
            let budget = &mut budgets[u.int_in_range(0..=homes as usize - 1)?];
            budget.record_request(&allowance, now_us);
            requests.push(now_us);
            if u.ratio(4, 5)? && budget.try_spend(&allowance, RetryNeed::LastChance, now_us) {
                repeats.push(now_us);
            }
        }
        for (at, end_us) in repeats.iter().enumerate() {
            let within = |times: &[u64]| {
                times
                    .iter()
                    .filter(|time| **time <= *end_us && **time + window_us > *end_us)
                    .count()
            };
            let allowed = ratio * within(&requests) as f64 + slack;
            assert!(within(&repeats[..=at]) as f64 <= allowed);
        }
        Ok(())
    });
}

/// Half of the lookups wait a quarter of a second though most slots are free: all servers shed half
/// of their requests, and by that each of them looked slower than the aim allows.
#[test]
fn requests_do_not_wait_while_servers_with_free_slots_shed_some() {
    let mut pool = pool(6, 4);
    let mut rng = Pcg64::seed_from_u64(3);
    let mut now_us = 1_000 * MS;
    let mut waited = 0;
    for ticket in 0..600 {
        now_us += 50 * MS;
        let ask = ask("look", 2, 600.0, now_us);
        let Some(choice) = pool.acquire_slot(ticket, &ask, ZONE, now_us, &mut half()) else {
            waited += 1;
            continue;
        };
        let shed = rng.random_range(0.0..1.0) < 0.5;
        let (end, took_us) =
            if shed { (SendOutcome::Refused, MS) } else { (SendOutcome::Answered, 220 * MS) };
        pool.finish_request(&choice.server, ticket, &ask, end, now_us + took_us);
    }
    assert!(waited < 6, "{waited} of 600 found no server");
}

/// Half of all requests open a connection: hundreds of servers look alike, the choice goes round all
/// of them, and each has closed its idle connection by the time it is chosen again.
#[test]
fn of_servers_that_look_alike_those_with_a_connection_are_used() {
    let mut pool = pool(300, 4);
    let mut rng = Pcg64::seed_from_u64(11);
    let mut now_us = 100_000 * MS;
    let mut answered_us: HashMap<Arc<str>, u64> = HashMap::new();
    let mut opened = 0;
    for ticket in 0..2_000 {
        now_us += 25 * MS;
        let ask = ask("look", 2, 600.0, now_us);
        let mut random = || rng.random_range(0.0..1.0);
        let choice =
            pool.acquire_slot(ticket, &ask, ZONE, now_us, &mut random).expect("free servers");
        // A server closes a connection that was idle for four seconds.
        let known = answered_us.insert(Arc::clone(&choice.server), now_us);
        opened += u32::from(known.is_none_or(|at_us| now_us - at_us > 4_000 * MS));
        let load = LoadReport { running: 1, waiting: 0, pace_percent: 100 };
        pool.server_mut(&choice.server).expect("listed").record_load(load, now_us);
        pool.finish_request(&choice.server, ticket, &ask, SendOutcome::Answered, now_us + 220 * MS);
    }
    assert!(opened < 400, "{opened} connections for 2,000 requests");
}

/// In a burst a fifth of the slots is held by certifications that nobody will see answered: they
/// could not be in time any more, were begun on servers then twenty times slower, and held their
/// slots until their deadlines. Their callers were told neither an answer nor that nothing ran.
#[test]
fn a_late_request_is_not_begun_where_it_cannot_be_answered_before_its_deadline() {
    let mut pool = pool(2, 1);
    let mut now_us = 1_000 * MS;
    // Both answer in 250 ms at first, so that this is the usual time.
    for ticket in 0..100 {
        let ask = ask("cert", 1, 800.0, now_us);
        let choice =
            pool.acquire_slot(ticket, &ask, ZONE, now_us, &mut half()).expect("a free server");
        now_us += 250 * MS;
        pool.finish_request(&choice.server, ticket, &ask, SendOutcome::Answered, now_us);
    }
    let slow = |pool: &mut ServicePool, percent, now_us| {
        for id in ["s0", "s1"] {
            let load = LoadReport { running: 0, waiting: 0, pace_percent: percent };
            pool.server_mut(id).expect("listed").record_load(load, now_us);
        }
    };
    let mut late = ask("cert", 1, 800.0, now_us);
    late.spent_before_us = 700 * MS;
    late.deadline_us = now_us + 1_200 * MS;
    slow(&mut pool, 2_000, now_us);
    assert_eq!(
        pool.acquire_slot(1_000, &late, ZONE, now_us, &mut half()),
        None,
        "begun, 5 s expected"
    );
    slow(&mut pool, 300, now_us);
    assert!(
        pool.acquire_slot(1_000, &late, ZONE, now_us, &mut half()).is_some(),
        "750 ms are in time"
    );
}

/// All servers of a service shed four sends in ten, for longer than the budget's window. Callers
/// come back once with what was refused. If the budget goes to whoever is refused first, it is used
/// up when those that came back are refused too, and nobody repeats these any more.
#[test]
fn while_servers_shed_the_budget_is_kept_for_those_that_came_back() {
    let allowance = RetryAllowance { ratio: 0.18, window_us: 10_000 * MS, slack: 10.0 };
    let mut rng = Pcg64::seed_from_u64(7);
    let mut budget = RetryBudget::default();
    let mut returning = std::collections::VecDeque::new();
    let (mut asked, mut failed, mut repeats) = (0_u32, 0_u32, 0_u32);
    for step in 0..40_000_u64 {
        let now_us = 10_000 * MS + step * MS;
        let fresh = [Some(RetryNeed::CallerCanRetry)];
        let back = returning.pop_front_if(|due: &mut u64| *due <= now_us);
        for need in fresh.into_iter().chain([back.map(|_| RetryNeed::LastChance)]).flatten() {
            budget.record_request(&allowance, now_us);
            let mut served = rng.random_range(0.0..1.0) >= 0.4;
            while !served && budget.try_spend(&allowance, need, now_us) {
                repeats += 1;
                served = rng.random_range(0.0..1.0) >= 0.4;
            }
            match need {
                RetryNeed::CallerCanRetry => asked += 1,
                RetryNeed::LastChance => {}
            }
            if !served && need == RetryNeed::CallerCanRetry {
                returning.push_back(now_us + 20 * MS);
            } else if !served {
                failed += 1;
            }
        }
    }
    let requests = f64::from(asked) * 1.4;
    assert!(f64::from(repeats) <= 0.2 * requests, "{repeats} repeats for {asked}");
    assert!(f64::from(failed) < 0.05 * f64::from(asked), "{failed} of {asked} failed for good");
}

/// Requests a second of each workspace, and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
struct OfWorkspace {
    asked: u32,
    served: u32,
}

/// Sixteen servers of one slot and work of 100 ms serve 160 requests a second; `others` workspaces ask for
/// 100 of them together, and one more for 7.5 times its part. Returns that one and the sum of the others.
fn with_one_that_asks_for_more(others: u64) -> (OfWorkspace, OfWorkspace) {
    const WORK_US: u64 = 100_000;
    const SECONDS: u64 = 6;
    let mut pool = pool(16, 1);
    let usual_per_s = 100.0 / others as f64;
    let mut due: Vec<f64> = (0..=others).map(|at| at as f64 / others as f64).collect();
    let mut running: Vec<(u64, String, u64, RequestSpec)> = Vec::new();
    let (mut greedy, mut modest) = (OfWorkspace::default(), OfWorkspace::default());
    let greedy_of_ticket = |ticket: u64| ticket % 2 == 1;
    let mut tickets = 0;
    let mut random = half();
    for now_ms in 0..SECONDS * 1_000 {
        let now_us = 1_000_000 + now_ms * 1_000;
        let ended = running.extract_if(.., |(end_us, ..)| *end_us <= now_us);
        for (_, server, ticket, ask) in ended.collect::<Vec<_>>() {
            pool.finish_request(&server, ticket, &ask, SendOutcome::Answered, now_us);
        }
        for at in 0..=others {
            let per_s = if at == 0 { 60.0 + 7.5 * usual_per_s } else { usual_per_s };
            due[at as usize] += per_s / 1_000.0;
            while due[at as usize] >= 1.0 {
                due[at as usize] -= 1.0;
                tickets += 2;
                let ticket = tickets + u64::from(at == 0);
                let counted = if at == 0 { &mut greedy } else { &mut modest };
                counted.asked += 1;
                let mut ask = ask("look", 1, 600.0, now_us);
                ask.workspace = Some(format!("w{at}").into());
                // A refusal is counted by what is missing among the served.
                let _ = pool.enqueue(ticket, ask, now_us);
            }
        }
        let _ = pool.expire_queued(now_us);
        while let Some((waiting, choice)) = pool.dispatch_queued("z", now_us, &mut random) {
            let counted = if greedy_of_ticket(waiting.ticket) { &mut greedy } else { &mut modest };
            counted.served += 1;
            let server = choice.server.to_string();
            running.push((now_us + WORK_US, server, waiting.ticket, waiting.spec));
        }
    }
    (greedy, modest)
}

/// Guards against customers who are not served while another one sends many times its usual: a burst of
/// one workspace, without a quota.
#[test]
fn a_workspace_that_sends_much_takes_nothing_from_the_others() {
    for others in [4, 86, 1_000] {
        let (greedy, modest) = with_one_that_asks_for_more(others);
        println!("{others} others: {modest:?}, the greedy one {greedy:?}");
        let share = f64::from(modest.served) / f64::from(modest.asked);
        assert!(share > 0.97, "{others} others: {share}");
        assert!(greedy.served > 0, "it is served what the others leave");
    }
}
