//! Cold backend servers: the requests per second that all instances together send them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sorrelwick::balance::SendOutcome;
use sorrelwick::balance::ServicePool;
use sorrelwick::balance::server_key;
use sorrelwick::cold::ColdLimit;
use sorrelwick::cold::ColdPolicy;
use sorrelwick::cold::ColdState;
use sorrelwick::model::LoadReport;
use sorrelwick::model::ServerRow;
use sorrelwick::starts::HomeSet;
use standins::routed::CONFIG_KEY;
use standins::routed::EVACUATIONS_PREFIX;
use standins::routed::GatewayFleet;
use standins::routed::RawServer;
use standins::routed::ready_row;
use standins::routed::spec_now;
use standins::routed::two_routes;

mod common;

const MS: u64 = 1_000;
const SECOND_US: u64 = 1_000_000;
const LIMIT: ColdLimit = ColdLimit { per_s: 4.8, overage_factor: 1.5, slack_requests: 8.0 };
/// `LIMIT` in whole requests.
const REQUESTS_MAX: usize = 15;
const WARMUP_MS: u64 = 3_000;

fn row(id: &str, warmup_ms: u64) -> ServerRow {
    ServerRow { warmup_ms, ..ready_row(id) }
}

fn share(homes: &[u64], own: u64) -> HomeSet {
    HomeSet { homes: Some(homes.to_vec()), own }
}

/// Guards against partitioned or restarted instances that each consider themselves homes and
/// together crash a cold server.
#[test]
fn three_views_of_the_homes_keep_the_limit_together() {
    common::property(400, |u| {
        let bound = ColdLimit {
            per_s: f64::from(u.int_in_range(0..=400)?) / 10.0,
            overage_factor: f64::from(u.int_in_range(10..=30)?) / 10.0,
            slack_requests: f64::from(u.int_in_range(3..=40)?),
        };
        let key: u32 = u.arbitrary()?;
        let mut sum = 0;
        for view in 0..3 {
            let homes: Vec<u64> =
                (0..u.int_in_range(1..=40)?).map(|home| view * 1_000 + home).collect();
            sum += homes
                .iter()
                .map(|own| share(&homes, *own).start_share(key).of(bound.starts_per_view()))
                .sum::<u32>();
        }
        assert!(
            f64::from(sum) <= bound.per_s * bound.overage_factor + bound.slack_requests,
            "{sum}: {bound:?}"
        );
        Ok(())
    });
}

/// Guards against starts that are lost to integer division between homes.
#[test]
fn the_homes_of_one_view_use_up_its_share() {
    for homes in 1..=40_u64 {
        let homes: Vec<u64> = (0..homes).collect();
        let sum: u32 = homes
            .iter()
            .map(|own| share(&homes, *own).start_share(7).of(LIMIT.starts_per_view()))
            .sum();
        assert_eq!(sum, LIMIT.starts_per_view());
        assert_eq!(share(&homes, 1_000).start_share(7).of(LIMIT.starts_per_view()), 0);
    }
}

/// Guards against exceeding the limit with short requests: all servers are cold, slots become free
/// at once, and more callers than slots send through six homes.
#[test]
fn a_cold_server_with_short_requests_gets_no_more_than_its_limit() {
    let homes: Vec<u64> = (0..6).collect();
    let mut pools: Vec<ServicePool> = Vec::new();
    for own in &homes {
        let mut pool = ServicePool::default();
        let policy = ColdPolicy { limit: Some(LIMIT), warmup_us: WARMUP_MS * MS };
        pool.set_start_limits(policy, &Arc::new(share(&homes, *own)));
        pool.upsert_server(row("s0", WARMUP_MS), 0);
        pools.push(pool);
    }
    let mut arrivals: VecDeque<u64> = VecDeque::new();
    let (mut most, mut all) = (0, 0);
    for now_us in (0..WARMUP_MS * MS).step_by(2_000) {
        for (pool, ticket) in pools.iter_mut().zip(now_us..) {
            let spec = spec_now(now_us);
            let Some(choice) = pool.acquire_slot(ticket, &spec, "z", now_us, &mut || 0.5) else {
                continue;
            };
            arrivals.push_back(now_us);
            all += 1;
            while arrivals.front().is_some_and(|at| at + SECOND_US <= now_us) {
                arrivals.pop_front();
            }
            most = most.max(arrivals.len());
            pool.finish_request(&choice.server, ticket, &spec, SendOutcome::Answered, now_us + MS);
        }
    }
    assert!(most <= REQUESTS_MAX, "{most} within a second");
    // The limit is also used up.
    assert!(all >= 8, "{all} in {WARMUP_MS} ms");
}

/// Guards against requests that got a slot but were not sent, and still count against the limit.
#[test]
fn unsent_requests_do_not_count_against_the_cold_limit() {
    let mut pool = ServicePool::default();
    let policy = ColdPolicy { limit: Some(LIMIT), warmup_us: WARMUP_MS * MS };
    pool.set_start_limits(policy, &Arc::new(share(&[1], 1)));
    pool.upsert_server(row("s0", WARMUP_MS), 0);
    for ticket in 1..100 {
        let now_us = ticket * MS;
        let spec = spec_now(now_us);
        let choice = pool.acquire_slot(ticket, &spec, "z", now_us, &mut || 0.5).expect("room");
        pool.finish_request(&choice.server, ticket, &spec, SendOutcome::Unsent, now_us);
    }
}

/// Guards against a server that becomes cold between the selection and the send and gets a request
/// too many.
#[test]
fn a_server_that_becomes_cold_after_selection_is_rejected() {
    let mut pool = ServicePool::default();
    let policy = ColdPolicy { limit: Some(LIMIT), warmup_us: WARMUP_MS * MS };
    pool.set_start_limits(policy, &Arc::new(share(&[1, 2, 3, 4, 5, 6], 1)));
    pool.upsert_server(row("s0", 0), 0);
    let key = server_key(&row("s0", 0));
    for ticket in 0..5 {
        let spec = spec_now(MS);
        let choice = pool.acquire_slot(ticket, &spec, "z", MS, &mut || 0.5).expect("a warm server");
        pool.finish_request(&choice.server, ticket, &spec, SendOutcome::Refused, MS);
    }
    let spec = spec_now(2 * MS);
    let choice = pool.acquire_slot(9, &spec, "z", 2 * MS, &mut || 0.5).expect("a warm server");
    // Ten times the expected time, so that the server is not rejected just for being slow.
    let expected_ms = 10.0 * choice.expected_ms;
    assert!(!pool.is_worse("s0", key, &spec, expected_ms, 2 * MS));
    pool.server_mut("s0").expect("listed").record_warmup_left(Some(WARMUP_MS), 3 * MS);
    assert!(pool.is_worse("s0", key, &spec, expected_ms, 3 * MS));
}

/// Platform entry and health checks of a server may contradict each other: the newer report counts.
#[test]
fn the_newer_report_on_the_warm_up_counts() {
    let mut state = ColdState::new(WARMUP_MS, 0);
    assert!(!state.is_warm(MS));
    // A server that never reported itself as cold says nothing by omitting it.
    state.record_health(None, 2 * MS);
    assert!(!state.is_warm(2 * MS));
    state.record_health(Some(2_000), 3 * MS);
    state.record_health(None, 4 * MS);
    assert!(state.is_warm(4 * MS));
    state.record_entry(1_000, 5 * MS);
    assert!(!state.is_warm(5 * MS));
    state.record_health(None, 6 * MS);
    assert!(state.is_warm(6 * MS));
    state.presume_cold(WARMUP_MS * MS, 7 * MS);
    assert!(!state.is_warm(7 * MS));
    assert!(state.is_warm((7 + WARMUP_MS) * MS));
}

/// Guards against crashing the servers of a zone that return cold from an evacuation before they
/// have reported it.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_readmitted_cold_is_not_crashed() {
    let bed = GatewayFleet::start(&["a", "a"]).await;
    let server = RawServer::spawn("s1").await;
    let mut config: serde_json::Value = serde_json::from_str(&two_routes(1)).expect("JSON");
    config["services"][0]["warmup_s"] = 3.0.into();
    config["services"][0]["cold_per_s"] = 4.8.into();
    bed.store.put(CONFIG_KEY, &config.to_string());
    bed.store.put("servers/s1", &server.entry("parts", "a", 4, "ready"));
    bed.wait_until_ready().await;
    while bed.call(0, "GET /look/a", "first", &[]).await.status != 200 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    bed.store.put(&format!("{EVACUATIONS_PREFIX}a"), "{}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    server.start_cold_phase(Duration::from_millis(WARMUP_MS), REQUESTS_MAX);
    bed.store.remove(&format!("{EVACUATIONS_PREFIX}a"));
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(1_500) {
        for at in 0..2 {
            bed.call(at, "GET /look/a", "again", &[]).await;
        }
    }
    assert!(server.crash_times().is_empty());
    assert!(
        (1..=REQUESTS_MAX).contains(&server.cold_peak_arrivals_per_s()),
        "{}",
        server.cold_peak_arrivals_per_s()
    );
}

/// Guards against counting the slowness of all servers twice, in the usual time and in their
/// slowdown: nearly all requests would be refused although slots are free.
#[test]
fn slowness_of_all_servers_is_counted_once() {
    let mut pool = ServicePool::default();
    for server in 0..12 {
        pool.upsert_server(row(&format!("s{server}"), WARMUP_MS), 0);
    }
    let slow = LoadReport { running: 0, waiting: 0, slowdown_percent: 200 };
    for ticket in 0..400 {
        let now_us = (ticket + 1) * 5 * MS;
        let spec = spec_now(now_us);
        let choice = pool.acquire_slot(ticket, &spec, "z", now_us, &mut || 0.5);
        let choice = choice.unwrap_or_else(|| panic!("request {ticket} finds no server"));
        let server = pool.server_mut(&choice.server).expect("listed");
        server.record_load(slow, now_us + MS);
        server.record_warmup_left(Some(WARMUP_MS), now_us + MS);
        // The usual time is 220 ms of a target of 600 ms.
        assert!(choice.expected_ms < 600.0, "request {ticket}: {choice:?}");
        pool.finish_request(
            &choice.server,
            ticket,
            &spec,
            SendOutcome::Answered,
            now_us + 440 * MS,
        );
    }
    let typical_ms = pool.typical_ms(&spec_now(0));
    assert!((200.0..280.0).contains(&typical_ms), "{typical_ms} ms");
}
