//! Backend servers in need: limits in requests a second that they name in their answers.

use std::sync::Arc;
use std::time::Duration;

use sorrelwick::balance::SendOutcome;
use sorrelwick::balance::ServicePool;
use sorrelwick::cold::ColdRule;
use sorrelwick::limit::AdvertisedLimit;
use sorrelwick::limit::InvalidRateLimit;
use sorrelwick::limit::LIMIT_WINDOW_US;
use sorrelwick::limit::RateLimit;
use sorrelwick::model::Heard;
use sorrelwick::starts::HomeShare;
use sorrelwick::task::TaskGuard;
use standins::routed::CONFIG_KEY;
use standins::routed::LimitWord;
use standins::routed::RawServer;
use standins::routed::RoutedBed;
use standins::routed::ask_now;
use standins::routed::ready_row;
use standins::routed::two_routes;
use tokio::time::Instant;

mod common;

const MS: u64 = 1_000;
const SECOND_US: u64 = 1_000_000;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// The span over which a limit is judged.
const SPAN: Duration = Duration::from_secs(4);
/// All instances keep to a limit from so long after it was first named.
const KNOWN_BY: Duration = Duration::from_secs(3);
/// What an instance sends so long after it was told is its own doing.
const TOLD_BY: Duration = Duration::from_millis(500);

/// What a server bears within [`SPAN`].
fn borne(per_s: f64) -> f64 {
    1.5 * per_s * SPAN.as_secs_f64() + 5.0
}

/// Most arrivals within [`SPAN`] at a server that named a limit at `named_at`: of the spans that end
/// after [`KNOWN_BY`], what came after [`TOLD_BY`].
fn most_within_span(arrived_at: &[Instant], named_at: Instant) -> usize {
    let told = arrived_at.iter().filter(|at| **at >= named_at + TOLD_BY);
    let within =
        |end: &Instant| told.clone().filter(|at| **at <= *end && *end - **at < SPAN).count();
    arrived_at.iter().filter(|end| **end >= named_at + KNOWN_BY).map(within).max().unwrap_or(0)
}

/// Callers in each zone, more than a server that is well has slots, until dropped.
fn callers(bed: &Arc<RoutedBed>) -> Vec<TaskGuard> {
    let caller = |number: usize| {
        let bed = Arc::clone(bed);
        TaskGuard::spawn(async move {
            loop {
                bed.call(number % bed.hosts.len(), "GET /look/a", "look", &[]).await;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
    };
    (0..3 * bed.hosts.len()).map(caller).collect()
}

/// One server in need and one that is well, three instances, callers in all zones.
async fn arrivals_in_need(word: LimitWord) -> (Vec<Instant>, Instant) {
    let bed = Arc::new(RoutedBed::start(&ZONES).await);
    let (in_need, well) = (RawServer::spawn("s1").await, RawServer::spawn("s2").await);
    bed.store.put(CONFIG_KEY, &two_routes(1));
    bed.store.put("servers/s1", &in_need.entry("parts", "a", 4, "ready"));
    bed.store.put("servers/s2", &well.entry("parts", "a", 4, "ready"));
    bed.settle().await;
    for server in [&in_need, &well] {
        server.work(Duration::from_millis(100));
    }
    let callers = callers(&bed);
    tokio::time::sleep(Duration::from_secs(1)).await;
    in_need.name_limit(Some(word));
    let named_at = Instant::now();
    tokio::time::sleep(KNOWN_BY + SPAN).await;
    drop(callers);
    (in_need.arrived_at(), named_at)
}

fn limit(text: &str) -> RateLimit {
    text.parse().expect("a limit")
}

/// The pool of one of these homes, with servers of these names.
fn pool(homes: &[u64], own: u64, servers: &[&str]) -> ServicePool {
    let mut pool = ServicePool::default();
    let share = HomeShare { homes: Some(homes.to_vec()), own };
    pool.set_start_limits(ColdRule::default(), &Arc::new(share));
    for id in servers {
        pool.upsert_server(ready_row(id), 0);
    }
    pool
}

fn name_limit(pool: &mut ServicePool, id: &str, text: &str, now_us: u64) {
    let server = pool.server_mut(id).expect("listed");
    server.start_limits.rate_limit.record(Heard::Answer, Some(limit(text)), now_us);
}

/// A field that names no rate is taken for one.
#[test]
fn only_a_number_of_requests_a_second_is_a_limit() {
    for (text, per_s) in [("1.2", 1.2), (" 3 ", 3.0), ("0", 0.0)] {
        assert_eq!(text.parse().map(RateLimit::per_s), Ok(per_s), "{text}");
    }
    for text in ["", "-1", "NaN", "inf", "1/s", "1,2"] {
        assert_eq!(text.parse::<RateLimit>(), Err(InvalidRateLimit), "{text}");
    }
}

/// Health answers that never name a limit end the one that answers to requests name.
#[test]
fn silence_ends_a_limit_only_where_it_was_named() {
    let mut named = AdvertisedLimit::default();
    assert!(named.record(Heard::Answer, Some(limit("1.2")), 1));
    assert!(!named.record(Heard::Check, None, 2));
    assert_eq!(named.current(), Some(limit("1.2")));
    assert!(named.record(Heard::Answer, None, 3));
    assert_eq!(named.current(), None);
    assert!(named.record(Heard::Check, Some(limit("2")), 4));
    assert_eq!(named.age_us(7), Some(3));
    assert!(named.record(Heard::Check, None, 8));
    assert_eq!((named.current(), named.age_us(9)), (None, None));
}

/// A server in need goes on getting its usual load, as its word is not kept by all instances together.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_names_a_limit_gets_no_more_from_all_instances_together() {
    for in_checks in [false, true] {
        let word = LimitWord { per_s: 1.2, in_checks };
        let (arrived_at, named_at) = arrivals_in_need(word).await;
        let most = most_within_span(&arrived_at, named_at);
        #[expect(clippy::cast_precision_loss, reason = "some hundred requests")]
        let borne = most as f64 <= borne(word.per_s);
        assert!(borne, "{most} within {SPAN:?}, {word:?}");
        let after = arrived_at.iter().filter(|at| **at >= named_at + KNOWN_BY).count();
        assert!(after >= 3, "it is hardly used any more: {after} in {SPAN:?}, {word:?}");
    }
}

/// While homes are replaced, those that come and those that go start requests within one span.
#[test]
fn homes_that_are_replaced_keep_to_what_a_server_bears() {
    common::property(1_000, |u| {
        let per_s = f64::from(u.int_in_range(1..=400)?) / 10.0;
        let limit: RateLimit = per_s.to_string().parse().expect("a limit");
        let key: u32 = u.arbitrary()?;
        let before: Vec<u64> = (0..u.int_in_range(1..=40)?).collect();
        let replaced = if before.len() >= 8 { u.int_in_range(1..=2)? } else { 1 };
        let mut after = before[replaced..].to_vec();
        after.extend((0..replaced).map(|home| 1_000 + home as u64));
        let part = |homes: &[u64], own: u64| {
            let part = HomeShare { homes: Some(homes.to_vec()), own }.start_share(key);
            part.of(limit.starts_tolerated(part.homes()))
        };
        // Each counts its own starts, before and after.
        let all = before.iter().chain(after.iter().filter(|home| **home >= 1_000));
        let sum: u32 = all.map(|own| part(&before, *own).max(part(&after, *own))).sum();
        assert!(f64::from(sum) <= borne(per_s), "{sum} of {limit:?}, {} homes", before.len());
        Ok(())
    });
}

/// Starts at a server in need, in microseconds, by six homes whose callers ask for more than it takes.
fn starts_under_pressure(text: &str) -> Vec<u64> {
    let homes: Vec<u64> = (0..6).collect();
    let mut pools: Vec<ServicePool> = homes.iter().map(|own| pool(&homes, *own, &["s0"])).collect();
    for pool in &mut pools {
        name_limit(pool, "s0", text, 0);
    }
    let mut started_us = Vec::new();
    for now_us in (0..60 * SECOND_US).step_by(5_000) {
        for (pool, ticket) in pools.iter_mut().zip(now_us..) {
            let ask = ask_now(now_us);
            if let Some(choice) = pool.acquire_slot(ticket, &ask, "z", now_us, &mut || 0.5) {
                started_us.push(now_us);
                pool.finish_request(
                    &choice.server,
                    ticket,
                    &ask,
                    SendOutcome::Answered,
                    now_us + MS,
                );
            }
        }
    }
    started_us
}

/// Pattern: a server in need of short work, more callers than it takes, at six homes. It is used as
/// much as it says, all the time, and no more than it bears.
#[test]
fn a_limit_is_used_up_by_all_homes_and_not_exceeded() {
    for text in ["0.5", "1", "1.2", "3", "8", "20"] {
        let started_us = starts_under_pressure(text);
        let per_s = limit(text).per_s();
        let span_us = u64::try_from(SPAN.as_micros()).expect("some seconds");
        let within = |end: &u64| {
            started_us.iter().filter(|at| **at <= *end && *end - **at < span_us).count()
        };
        let most = started_us.iter().map(within).max().unwrap_or(0);
        #[expect(clippy::cast_precision_loss, reason = "some hundred requests")]
        let (most, used_per_s) = (most as f64, started_us.len() as f64 / 60.0);
        assert!(most <= borne(per_s), "{most} within {SPAN:?} of {text}");
        assert!(used_per_s >= 0.9 * per_s, "{used_per_s} a second of {text}");
        // Nobody waits for longer than the span until its next start.
        let pauses = started_us.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(pauses.max().is_some_and(|pause_us| pause_us <= LIMIT_WINDOW_US), "{text}");
    }
}

/// Pattern: one server in need beside others with room. These get what is beyond its word.
#[test]
fn what_is_beyond_a_limit_goes_to_servers_that_are_well() {
    let mut pool = pool(&[1], 1, &["s0", "s1", "s2"]);
    name_limit(&mut pool, "s0", "1", 0);
    let mut of_needy = 0;
    for ticket in 0..400 {
        let now_us = ticket * 50 * MS;
        let ask = ask_now(now_us);
        let choice = pool.acquire_slot(ticket, &ask, "z", now_us, &mut || 0.5).expect("room");
        of_needy += u32::from(&*choice.server == "s0");
        pool.finish_request(&choice.server, ticket, &ask, SendOutcome::Answered, now_us + 40 * MS);
    }
    // 20 seconds; its limit is kept to the request.
    assert!((10..=20).contains(&of_needy), "{of_needy} in 20 s");
}

/// A request that was given a place at a server in need and not sent takes nothing from its limit.
#[test]
fn what_was_not_sent_takes_nothing_of_a_limit() {
    let mut pool = pool(&[1], 1, &["s0"]);
    name_limit(&mut pool, "s0", "1", 0);
    for ticket in 1..100 {
        let now_us = ticket * MS;
        let ask = ask_now(now_us);
        let choice = pool.acquire_slot(ticket, &ask, "z", now_us, &mut || 0.5).expect("room");
        pool.finish_request(&choice.server, ticket, &ask, SendOutcome::Unsent, now_us);
    }
}

/// Pattern: all servers of a service in need, more callers than they take. One that none of them may
/// begin on in time is told so at once, and when to come back, in place of waiting in vain.
#[test]
fn a_request_that_no_server_in_need_may_begin_on_in_time_is_refused_at_once() {
    let mut pool = pool(&[1], 1, &["s0", "s1"]);
    for id in ["s0", "s1"] {
        name_limit(&mut pool, id, "1", 0);
    }
    let now_us = 10 * SECOND_US;
    for ticket in 0..2 {
        let ask = ask_now(now_us);
        let choice = pool.acquire_slot(ticket, &ask, "z", now_us, &mut || 0.5).expect("room");
        pool.finish_request(&choice.server, ticket, &ask, SendOutcome::Answered, now_us + 50 * MS);
    }
    // The next start is due when the starts of the span, spread evenly, let it.
    let pause_us = LIMIT_WINDOW_US / u64::from(limit("1").starts_tolerated(1));
    let soon_us = now_us + 60 * MS;
    assert!(pool.acquire_slot(90, &ask_now(soon_us), "z", soon_us, &mut || 0.5).is_none());
    let refused = pool.enqueue(90, ask_now(soon_us), soon_us).expect_err("nobody may begin on it");
    assert!(!refused.no_server);
    let left_ms = (now_us + pause_us - soon_us) / MS;
    assert!((left_ms..=left_ms + 100).contains(&refused.retry_after_ms), "{left_ms}: {refused:?}");
    let later_us = now_us + pause_us - 100 * MS;
    pool.enqueue(91, ask_now(later_us), later_us).expect("it may begin in time");
}

/// Pattern: as above. The queue is no longer than what servers in need get through, however many slots
/// they have.
#[test]
fn the_queue_before_servers_in_need_is_as_short_as_their_limits() {
    let mut pool = pool(&[1], 1, &["s0"]);
    let warm = ask_now(0);
    let choice = pool.acquire_slot(0, &warm, "z", 0, &mut || 0.5).expect("room");
    pool.finish_request(&choice.server, 0, &warm, SendOutcome::Answered, 200 * MS);
    name_limit(&mut pool, "s0", "4", 200 * MS);
    let now_us = 5 * SECOND_US;
    let admitted = (1..40).filter(|ticket| pool.enqueue(*ticket, ask_now(now_us), now_us).is_ok());
    let admitted = admitted.count();
    // 400 ms are left to begin, in which it takes between one and two.
    assert!((1..=2).contains(&admitted), "{admitted} wait");
}

/// An instance that is no home sends callers away for long, though a home could serve them now.
#[test]
fn an_instance_that_may_begin_nothing_refuses_for_a_moment_only() {
    let mut pool = pool(&[1, 2, 3], 4, &["s0"]);
    name_limit(&mut pool, "s0", "1", 0);
    assert!(pool.acquire_slot(1, &ask_now(MS), "z", MS, &mut || 0.5).is_none());
    let refused = pool.enqueue(1, ask_now(MS), MS).expect_err("it may begin nothing there");
    assert!(!refused.no_server);
    assert!(refused.retry_after_ms <= 100, "{refused:?}");
}
