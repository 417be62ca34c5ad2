//! Guarantee: the probes of a service stay within its measuring budget in every second.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sorrelwick::board::Blackboard;
use sorrelwick::board::EventKind;
use sorrelwick::conf::MeasuringSettings;
use sorrelwick::measure::TokenBuckets;
use sorrelwick::measure::tokens_of_shard;
use sorrelwick::model::Preference;
use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::bed::wait_until;

mod common;

use common::property;

const SECOND_MS: u64 = 1_000;

/// The largest number of events within any second.
fn max_in_any_second(mut at_ms: Vec<u64>) -> usize {
    at_ms.sort_unstable();
    let window =
        |from: usize| at_ms[from..].iter().take_while(|t| **t < at_ms[from] + SECOND_MS).count();
    (0..at_ms.len()).map(window).max().unwrap_or(0)
}

/// The tokens of all shards add up to the budget, for any budget and number of shards.
#[test]
fn tokens_of_all_shards_add_up_to_the_budget() {
    property(300, |u| {
        let budget = u.int_in_range(0..=500)?;
        let shards = u.int_in_range(1..=100)?;
        let total: u32 = (0..shards).map(|shard| tokens_of_shard(budget, shard, shards)).sum();
        assert_eq!(total, budget);
        Ok(())
    });
}

/// Instances with a shard each request grants from each other at any time, messages are late or
/// lost, instances pause between taking a token and probing, and two of them each act as the only
/// home. No second may see more probes than the budget. Only time differences matter, since each
/// instance has its own clock.
#[test]
fn no_schedule_of_grants_and_freezes_exceeds_the_budget() {
    const SERVICE: &str = "orders";
    const GRANT_MS: u64 = 2_000;
    property(400, |u| {
        let shards: u32 = u.int_in_range(2..=4)?;
        let budget: u32 = u.int_in_range(0..=9)?;
        let holders: Vec<TokenBuckets> = (0..shards).map(|_| TokenBuckets::default()).collect();
        let own = |shard: u32| u64::from(shard);
        let mut now_ms = 10_000;
        let mut probes = Vec::new();
        for _ in 0..400 {
            now_ms += u.int_in_range(0..=120)?;
            let shard = u.int_in_range(0..=shards - 1)?;
            let buckets = &holders[shard as usize];
            let count = tokens_of_shard(budget, shard, shards);
            if u.ratio(1, 6)? {
                // A home requests the tokens of this shard; the answer is late or lost.
                let home = u.int_in_range(0..=shards - 1)?;
                let asked_ms = now_ms;
                now_ms += u.int_in_range(0..=300)?;
                if home != shard
                    && buckets.grant_own(SERVICE, own(shard), now_ms + GRANT_MS, now_ms)
                {
                    now_ms += u.int_in_range(0..=300)?;
                    if !u.ratio(1, 4)? {
                        let until_ms = asked_ms + GRANT_MS;
                        holders[home as usize].put_tokens(
                            SERVICE,
                            own(shard),
                            count,
                            until_ms,
                            now_ms,
                        );
                    }
                }
                continue;
            }
            if !buckets.own_granted(SERVICE, now_ms) {
                buckets.put_tokens(SERVICE, own(shard), count, now_ms + 9_000, now_ms);
            }
            if let Some(spent) = buckets.try_take(SERVICE, now_ms) {
                probes.push(now_ms);
                spent.mark_sent(now_ms);
            }
        }
        let most = max_in_any_second(probes);
        assert!(most <= budget as usize, "{most} probes in a second, budget {budget}");
        Ok(())
    });
}

/// A process pauses for ten seconds after it took a token and before it sends the probe. When it
/// resumes, it must not send the next probe with that token right after it.
#[test]
fn a_pause_between_taking_a_token_and_probing_causes_no_burst() {
    let buckets = TokenBuckets::default();
    buckets.put_tokens("orders", 1, 1, 100_000, 0);
    let spent = buckets.try_take("orders", 2_000).expect("a token");
    // The process pauses from 2,000 to 12,000 and then sends the probe.
    assert!(buckets.try_take("orders", 12_000).is_some(), "a probe is due by the clock alone");
    let buckets = TokenBuckets::default();
    buckets.put_tokens("orders", 1, 1, 100_000, 0);
    let spent_now = buckets.try_take("orders", 2_000).expect("a token");
    spent_now.mark_sent(12_000);
    spent.mark_sent(12_000);
    assert!(buckets.try_take("orders", 12_900).is_none(), "too soon after the one before");
    assert!(buckets.try_take("orders", 13_300).is_some());
}

fn probe_times_ms(bed: &TestBed, start: tokio::time::Instant) -> Vec<u64> {
    let times = bed.backends.iter().flat_map(|backend| backend.record.probe_times());
    times.map(|at| u64::try_from((at - start).as_millis()).unwrap_or(u64::MAX)).collect()
}

async fn bed_with_budget(budget: u32) -> TestBed {
    let mut plan = TestBedPlan { instances: 5, ..TestBedPlan::default() };
    plan.measuring.shards = 8;
    let bed = TestBed::start(plan).await;
    let mut service = bed.service("orders");
    service.measuring_budget_per_s = budget;
    service.preference = Preference::Tail;
    let revision = bed.put_service(0, &service, 0).await.expect("accepted");
    bed.wait_until_applied("orders", revision).await;
    bed
}

/// A service allows six probes per second. One instance is killed, one is added, and the store goes
/// down and comes back: its servers must never see a seventh probe in a second.
#[tokio::test(flavor = "multi_thread")]
async fn the_servers_see_no_more_than_the_budget_through_faults() {
    const BUDGET: u32 = 6;
    let start = tokio::time::Instant::now();
    let mut bed = bed_with_budget(BUDGET).await;
    wait_until("probes are sent", async || probe_times_ms(&bed, start).len() > 8).await;
    bed.kill(1);
    bed.add_daemon().await;
    let seen = probe_times_ms(&bed, start).len();
    wait_until("probes go on", async || probe_times_ms(&bed, start).len() > seen + 8).await;
    bed.stop_platform();
    // The shards end with their leases, and the probes with the shards.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let seen = probe_times_ms(&bed, start).len();
    bed.start_platform().await;
    wait_until("probes go on again", async || probe_times_ms(&bed, start).len() > seen + 8).await;
    let most = max_in_any_second(probe_times_ms(&bed, start));
    println!(
        "budget {BUDGET}, most in a second {most}, in all {}",
        probe_times_ms(&bed, start).len()
    );
    assert!(most <= BUDGET as usize, "{most} measuring calls in a second");
}

/// With a budget of zero, no probe is sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_budget_of_zero_sends_no_probe() {
    let bed = bed_with_budget(0).await;
    bed.backends[0].behaviour.draining.store(true, Ordering::Release);
    let caller = bed.caller("orders", 0);
    for number in 0..200 {
        let id = format!("z-{number}");
        caller.call(&standins::caller::Call::get("/x?work_us=100", &id)).await;
    }
    let counts: HashMap<String, usize> = bed.run_counts();
    assert_eq!(counts.len(), 200);
    assert!(bed.backends.iter().all(|backend| backend.record.probe_times().is_empty()));
}

/// Guards against probes beyond the budget because two instances hold the same shard: a restored
/// store has lost the lease of the first, which goes on using it.
#[tokio::test(flavor = "multi_thread")]
async fn no_shard_is_held_twice_over_a_restore_of_the_store() {
    let measuring = MeasuringSettings { shards: 1, ..MeasuringSettings::default() };
    let plan =
        TestBedPlan { instances: 2, measuring, lease_ttl_ms: 3_000, ..TestBedPlan::default() };
    let bed = TestBed::start(plan).await;
    let copy = bed.state.copy();
    let holds = |board: &Arc<Blackboard>| {
        let events = board.events.after(0);
        let last = events.iter().rev().find_map(|event| match event.kind {
            EventKind::ShardTaken { .. } => Some(true),
            EventKind::ShardLost { .. } => Some(false),
            _ => None,
        });
        last == Some(true)
    };
    wait_until("the shard is held", async || bed.boards().iter().any(holds)).await;
    for _ in 0..5 {
        bed.state.restore(&copy);
        let since = std::time::Instant::now();
        while since.elapsed() < Duration::from_secs(3) {
            let holders = bed.boards().iter().filter(|board| holds(board)).count();
            assert!(holders <= 1, "{holders} instances hold the only shard");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}
