//! Rate limits that backend servers advertise in their responses.

use std::sync::Arc;
use std::time::Duration;

use sorrelwick::balance::SendOutcome;
use sorrelwick::balance::ServicePool;
use sorrelwick::cold::ColdPolicy;
use sorrelwick::limit::AdvertisedLimit;
use sorrelwick::limit::InvalidRateLimit;
use sorrelwick::limit::LIMIT_WINDOW_US;
use sorrelwick::limit::RateLimit;
use sorrelwick::model::ReportSource;
use sorrelwick::starts::HomeSet;
use sorrelwick::task::TaskGuard;
use standins::routed::CONFIG_KEY;
use standins::routed::GatewayFleet;
use standins::routed::RawServer;
use standins::routed::ReportedLimit;
use standins::routed::ready_row;
use standins::routed::spec_now;
use standins::routed::two_routes;
use tokio::time::Instant;

mod common;

const MS: u64 = 1_000;
const SECOND_US: u64 = 1_000_000;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// The window over which servers measure their limits.
const SERVER_WINDOW: Duration = Duration::from_secs(4);
/// All instances keep to a limit from this time after it was first advertised.
const ENFORCED_AFTER: Duration = Duration::from_secs(3);
/// Requests that arrive after this time were sent by an instance that knew the limit.
const LIMIT_KNOWN_AFTER: Duration = Duration::from_millis(500);

/// Requests that a server tolerates within [`SERVER_WINDOW`].
fn tolerated(per_s: f64) -> f64 {
    1.5 * per_s * SERVER_WINDOW.as_secs_f64() + 5.0
}

/// Most arrivals within [`SERVER_WINDOW`] at a server that advertised a limit at `advertised_at`.
/// Counts windows that end after [`ENFORCED_AFTER`], and arrivals after [`LIMIT_KNOWN_AFTER`].
fn most_within_window(arrived_at: &[Instant], advertised_at: Instant) -> usize {
    let after_known = arrived_at.iter().filter(|at| **at >= advertised_at + LIMIT_KNOWN_AFTER);
    let within = |end: &Instant| {
        after_known.clone().filter(|at| **at <= *end && *end - **at < SERVER_WINDOW).count()
    };
    arrived_at
        .iter()
        .filter(|end| **end >= advertised_at + ENFORCED_AFTER)
        .map(within)
        .max()
        .unwrap_or(0)
}

/// Callers in each zone, more than an unlimited server has slots, until dropped.
fn callers(bed: &Arc<GatewayFleet>) -> Vec<TaskGuard> {
    let caller = |number: usize| {
        let bed = Arc::clone(bed);
        TaskGuard::spawn(async move {
            loop {
                bed.call(number % bed.instances.len(), "GET /look/a", "look", &[]).await;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
    };
    (0..3 * bed.instances.len()).map(caller).collect()
}

/// Arrivals at a rate-limited server beside an unlimited one, with three instances and callers in
/// all zones.
async fn arrivals_at_limited_server(reported: ReportedLimit) -> (Vec<Instant>, Instant) {
    let bed = Arc::new(GatewayFleet::start(&ZONES).await);
    let (limited, unlimited) = (RawServer::spawn("s1").await, RawServer::spawn("s2").await);
    bed.store.put(CONFIG_KEY, &two_routes(1));
    bed.store.put("servers/s1", &limited.entry("parts", "a", 4, "ready"));
    bed.store.put("servers/s2", &unlimited.entry("parts", "a", 4, "ready"));
    bed.wait_until_ready().await;
    for server in [&limited, &unlimited] {
        server.set_work_time(Duration::from_millis(100));
    }
    let callers = callers(&bed);
    tokio::time::sleep(Duration::from_secs(1)).await;
    limited.set_reported_limit(Some(reported));
    let advertised_at = Instant::now();
    tokio::time::sleep(ENFORCED_AFTER + SERVER_WINDOW).await;
    drop(callers);
    (limited.arrival_times(), advertised_at)
}

fn limit(text: &str) -> RateLimit {
    text.parse().expect("a limit")
}

/// The pool of one of these homes, with servers of these IDs.
fn pool(homes: &[u64], own: u64, servers: &[&str]) -> ServicePool {
    let mut pool = ServicePool::default();
    let share = HomeSet { homes: Some(homes.to_vec()), own };
    pool.set_start_limits(ColdPolicy::default(), &Arc::new(share));
    for id in servers {
        pool.upsert_server(ready_row(id), 0);
    }
    pool
}

fn advertise_limit(pool: &mut ServicePool, id: &str, text: &str, now_us: u64) {
    let server = pool.server_mut(id).expect("listed");
    server.start_limits.rate_limit.record(ReportSource::Response, Some(limit(text)), now_us);
}

/// Guards against texts that are not rates but are accepted as limits.
#[test]
fn only_a_number_of_requests_per_second_is_a_limit() {
    for (text, per_s) in [("1.2", 1.2), (" 3 ", 3.0), ("0", 0.0)] {
        assert_eq!(text.parse().map(RateLimit::per_s), Ok(per_s), "{text}");
    }
    for text in ["", "-1", "NaN", "inf", "1/s", "1,2"] {
        assert_eq!(text.parse::<RateLimit>(), Err(InvalidRateLimit), "{text}");
    }
}

/// Guards against health checks without a limit that end a limit advertised in answers to requests.
#[test]
fn health_checks_end_a_limit_only_if_they_ever_reported_one() {
    let mut limit_state = AdvertisedLimit::default();
    assert!(limit_state.record(ReportSource::Response, Some(limit("1.2")), 1));
    assert!(!limit_state.record(ReportSource::HealthCheck, None, 2));
    assert_eq!(limit_state.current(), Some(limit("1.2")));
    assert!(limit_state.record(ReportSource::Response, None, 3));
    assert_eq!(limit_state.current(), None);
    assert!(limit_state.record(ReportSource::HealthCheck, Some(limit("2")), 4));
    assert_eq!(limit_state.age_us(7), Some(3));
    assert!(limit_state.record(ReportSource::HealthCheck, None, 8));
    assert_eq!((limit_state.current(), limit_state.age_us(9)), (None, None));
}

/// Guards against a rate-limited server that gets its usual load because the instances do not
/// enforce its limit together.
#[tokio::test(flavor = "multi_thread")]
async fn a_rate_limited_server_gets_no_more_from_all_instances_together() {
    for in_health_checks in [false, true] {
        let reported = ReportedLimit { per_s: 1.2, in_health_checks };
        let (arrived_at, advertised_at) = arrivals_at_limited_server(reported).await;
        let most = most_within_window(&arrived_at, advertised_at);
        #[expect(clippy::cast_precision_loss, reason = "some hundred requests")]
        let tolerated = most as f64 <= tolerated(reported.per_s);
        assert!(tolerated, "{most} within {SERVER_WINDOW:?}, {reported:?}");
        let after = arrived_at.iter().filter(|at| **at >= advertised_at + ENFORCED_AFTER).count();
        assert!(after >= 3, "hardly used any more: {after} in {SERVER_WINDOW:?}, {reported:?}");
    }
}

/// Guards against exceeding a limit while homes are replaced: old and new homes start requests
/// within the same window.
#[test]
fn replaced_homes_keep_to_what_a_server_tolerates() {
    common::property(1_000, |u| {
        let per_s = f64::from(u.int_in_range(1..=400)?) / 10.0;
        let limit: RateLimit = per_s.to_string().parse().expect("a limit");
        let key: u32 = u.arbitrary()?;
        let before: Vec<u64> = (0..u.int_in_range(1..=40)?).collect();
        let replaced = if before.len() >= 8 { u.int_in_range(1..=2)? } else { 1 };
        let mut after = before[replaced..].to_vec();
        after.extend((0..replaced).map(|home| 1_000 + home as u64));
        let part = |homes: &[u64], own: u64| {
            let part = HomeSet { homes: Some(homes.to_vec()), own }.start_share(key);
            part.of(limit.starts_tolerated(part.homes()))
        };
        // Each home counts only its own starts, before and after the change.
        let all = before.iter().chain(after.iter().filter(|home| **home >= 1_000));
        let sum: u32 = all.map(|own| part(&before, *own).max(part(&after, *own))).sum();
        assert!(f64::from(sum) <= tolerated(per_s), "{sum} for {limit:?}, {} homes", before.len());
        Ok(())
    });
}

/// Times in microseconds at which six homes start requests on a rate-limited server while their
/// callers send more than it accepts.
fn starts_under_overload(text: &str) -> Vec<u64> {
    let homes: Vec<u64> = (0..6).collect();
    let mut pools: Vec<ServicePool> = homes.iter().map(|own| pool(&homes, *own, &["s0"])).collect();
    for pool in &mut pools {
        advertise_limit(pool, "s0", text, 0);
    }
    let mut started_us = Vec::new();
    for now_us in (0..60 * SECOND_US).step_by(5_000) {
        for (pool, ticket) in pools.iter_mut().zip(now_us..) {
            let spec = spec_now(now_us);
            if let Some(choice) = pool.acquire_slot(ticket, &spec, "z", now_us, &mut || 0.5) {
                started_us.push(now_us);
                pool.finish_request(
                    &choice.server,
                    ticket,
                    &spec,
                    SendOutcome::Answered,
                    now_us + MS,
                );
            }
        }
    }
    started_us
}

/// Guards against limits that are exceeded or not used up: short requests, and more callers than
/// the server accepts, at six homes.
#[test]
fn a_limit_is_used_up_by_all_homes_and_not_exceeded() {
    for text in ["0.5", "1", "1.2", "3", "8", "20"] {
        let started_us = starts_under_overload(text);
        let per_s = limit(text).per_s();
        let window_us = u64::try_from(SERVER_WINDOW.as_micros()).expect("some seconds");
        let within = |end: &u64| {
            started_us.iter().filter(|at| **at <= *end && *end - **at < window_us).count()
        };
        let most = started_us.iter().map(within).max().unwrap_or(0);
        #[expect(clippy::cast_precision_loss, reason = "some hundred requests")]
        let (most, used_per_s) = (most as f64, started_us.len() as f64 / 60.0);
        assert!(most <= tolerated(per_s), "{most} within {SERVER_WINDOW:?} of {text}");
        assert!(used_per_s >= 0.9 * per_s, "{used_per_s} a second of {text}");
        // The next start comes within the window.
        let pauses = started_us.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(pauses.max().is_some_and(|pause_us| pause_us <= LIMIT_WINDOW_US), "{text}");
    }
}

/// Guards against requests beyond a server's limit that do not go to servers without a limit.
#[test]
fn requests_beyond_a_limit_go_to_unlimited_servers() {
    let mut pool = pool(&[1], 1, &["s0", "s1", "s2"]);
    advertise_limit(&mut pool, "s0", "1", 0);
    let mut to_limited = 0;
    for ticket in 0..400 {
        let now_us = ticket * 50 * MS;
        let spec = spec_now(now_us);
        let choice = pool.acquire_slot(ticket, &spec, "z", now_us, &mut || 0.5).expect("room");
        to_limited += u32::from(&*choice.server == "s0");
        pool.finish_request(&choice.server, ticket, &spec, SendOutcome::Answered, now_us + 40 * MS);
    }
    // 20 seconds at one per second; the limit is not exceeded by a single request.
    assert!((10..=20).contains(&to_limited), "{to_limited} in 20 s");
}

/// Guards against requests that got a slot but were not sent, and still count against the limit.
#[test]
fn unsent_requests_do_not_count_against_a_rate_limit() {
    let mut pool = pool(&[1], 1, &["s0"]);
    advertise_limit(&mut pool, "s0", "1", 0);
    for ticket in 1..100 {
        let now_us = ticket * MS;
        let spec = spec_now(now_us);
        let choice = pool.acquire_slot(ticket, &spec, "z", now_us, &mut || 0.5).expect("room");
        pool.finish_request(&choice.server, ticket, &spec, SendOutcome::Unsent, now_us);
    }
}

/// Guards against requests that wait in vain while all servers of a service are rate-limited. If
/// none of them may start a request in time, it is refused at once with a retry-after time.
#[test]
fn a_request_that_no_rate_limited_server_can_start_in_time_is_refused_at_once() {
    let mut pool = pool(&[1], 1, &["s0", "s1"]);
    for id in ["s0", "s1"] {
        advertise_limit(&mut pool, id, "1", 0);
    }
    let now_us = 10 * SECOND_US;
    for ticket in 0..2 {
        let spec = spec_now(now_us);
        let choice = pool.acquire_slot(ticket, &spec, "z", now_us, &mut || 0.5).expect("room");
        pool.finish_request(&choice.server, ticket, &spec, SendOutcome::Answered, now_us + 50 * MS);
    }
    // The next start is allowed after an even part of the window.
    let pause_us = LIMIT_WINDOW_US / u64::from(limit("1").starts_tolerated(1));
    let soon_us = now_us + 60 * MS;
    assert!(pool.acquire_slot(90, &spec_now(soon_us), "z", soon_us, &mut || 0.5).is_none());
    let refused = pool.enqueue(90, spec_now(soon_us), soon_us).expect_err("no server may start it");
    assert!(!refused.no_server);
    let left_ms = (now_us + pause_us - soon_us) / MS;
    assert!((left_ms..=left_ms + 100).contains(&refused.retry_after_ms), "{left_ms}: {refused:?}");
    let later_us = now_us + pause_us - 100 * MS;
    pool.enqueue(91, spec_now(later_us), later_us).expect("it may start in time");
}

/// Guards against a queue that is longer than rate-limited servers can serve, however many slots
/// they have.
#[test]
fn the_queue_for_rate_limited_servers_is_as_short_as_their_limits() {
    let mut pool = pool(&[1], 1, &["s0"]);
    let warm = spec_now(0);
    let choice = pool.acquire_slot(0, &warm, "z", 0, &mut || 0.5).expect("room");
    pool.finish_request(&choice.server, 0, &warm, SendOutcome::Answered, 200 * MS);
    advertise_limit(&mut pool, "s0", "4", 200 * MS);
    let now_us = 5 * SECOND_US;
    let admitted = (1..40).filter(|ticket| pool.enqueue(*ticket, spec_now(now_us), now_us).is_ok());
    let admitted = admitted.count();
    // 400 ms are left to start, in which the server accepts one or two requests.
    assert!((1..=2).contains(&admitted), "{admitted} wait");
}

/// Guards against an instance that is not a home and sends callers away for long, though a home
/// could serve them now.
#[test]
fn an_instance_that_may_start_nothing_refuses_with_a_short_retry_time() {
    let mut pool = pool(&[1, 2, 3], 4, &["s0"]);
    advertise_limit(&mut pool, "s0", "1", 0);
    assert!(pool.acquire_slot(1, &spec_now(MS), "z", MS, &mut || 0.5).is_none());
    let refused = pool.enqueue(1, spec_now(MS), MS).expect_err("it may start nothing there");
    assert!(!refused.no_server);
    assert!(refused.retry_after_ms <= 100, "{refused:?}");
}
