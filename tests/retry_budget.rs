//! Who gets the retries while the retry budget is short.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "modelled times and counts are small"
)]

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use sorrelwick::retry::DenialReason;
use sorrelwick::retry::EarlierAttempt;
use sorrelwick::retry::RefusedRequests;
use sorrelwick::retry::RequestHash;
use sorrelwick::retry::RetryAllowance;
use sorrelwick::retry::RetryBudget;
use sorrelwick::retry::RetryClass;
use sorrelwick::retry::RetryRank;

const MS: u64 = 1_000;
const WINDOW_US: u64 = 10_000 * MS;
const ALLOWANCE: RetryAllowance =
    RetryAllowance { ratio: 0.18, window_us: WINDOW_US, slack_retries: 5.0 };
const REJECTED: [f64; 4] = [0.10, 0.35, 0.55, 0.80];

/// A load on one instance and service: more than half a window of calm, then servers reject some
/// sends for 24 s. Each request is sent twice at most, and callers come back once.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Requests a second, by priority.
    per_s: [f64; 3],
    /// Part of the sends that is rejected.
    rejected: f64,
    /// Part of the callers that come back after a refusal.
    returning: f64,
    /// Whether any request may use the budget, as compared with.
    first_come: bool,
}

const TYPICAL: Load =
    Load { per_s: [15.0, 45.0, 20.0], rejected: 0.0, returning: 1.0, first_come: false };

/// What callers got of a load while servers rejected sends.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    callers: [f64; 3],
    /// Callers refused for good.
    refused: [f64; 3],
    /// Last attempts that were denied a retry while a fifth of the budget was idle.
    denied_beside_idle: u32,
    /// Moments of a denied retry, in the second half, and the sum of the used parts of the budget
    /// then.
    denied: u32,
    used: f64,
}

impl Outcome {
    fn refused_share(&self) -> f64 {
        self.refused.iter().sum::<f64>() / self.callers.iter().sum::<f64>()
    }

    fn refused_share_of(&self, priority: usize) -> f64 {
        self.refused[priority] / self.callers[priority]
    }

    /// Used part of the budget, on average over the moments at which a retry was denied.
    fn used_share(&self) -> f64 {
        if self.denied == 0 { 1.0 } else { self.used / f64::from(self.denied) }
    }
}

/// An arrival, the earliest first: its time, priority and caller.
type Arrival = Reverse<(u64, usize, u64)>;

fn run(load: Load, seed: u64) -> Outcome {
    const CALM_US: u64 = 6_000 * MS;
    const END_US: u64 = CALM_US + 24_000 * MS;
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut arrivals: BinaryHeap<Arrival> = BinaryHeap::new();
    let mut callers = 0;
    for (priority, per_s) in load.per_s.iter().enumerate() {
        let mut at_us = WINDOW_US;
        while at_us < WINDOW_US + END_US {
            at_us += (-rng.random_range(1e-9..1.0_f64).ln() / per_s * 1e6) as u64;
            callers += 1;
            arrivals.push(Reverse((at_us, priority, callers)));
        }
    }
    let mut budget = RetryBudget::default();
    let mut refused_requests = RefusedRequests::default();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut outcome = Outcome::default();
    while let Some(Reverse((now_us, priority, caller))) = arrivals.pop() {
        let hash = RequestHash::of([127, 0, 0, 1].into(), "h", "GET", &caller.to_string());
        let earlier = refused_requests.take(hash, now_us);
        let rejecting = now_us > WINDOW_US + CALM_US;
        outcome.callers[priority] += f64::from(u8::from(rejecting && earlier.is_none()));
        budget.record_request(&ALLOWANCE, now_us);
        requests.push(now_us);
        // The fate of each send of a caller does not depend on those before it.
        let fate = |send: u64| {
            Pcg64::seed_from_u64(seed << 40 | caller << 2 | send).random_range(0.0..1.0)
        };
        let first_send = if earlier.is_some() { 2 } else { 0 };
        let rejects = |send: u64| rejecting && fate(first_send + send) < load.rejected;
        if !rejects(0) {
            continue;
        }
        let class = match earlier {
            None if !load.first_come => RetryClass::CallerCanRetry,
            _ => RetryClass::LastAttempt,
        };
        let rank = if load.first_come { 0 } else { priority as u32 };
        let rank = RetryRank::new(class, rank, false);
        budget.set_return_share(refused_requests.return_share());
        if budget.try_spend(&ALLOWANCE, rank, now_us).is_ok() {
            retries.push(now_us);
            if !rejects(1) {
                continue;
            }
        } else {
            let count = |times: &[u64]| times.iter().filter(|at| **at + WINDOW_US > now_us).count();
            let allowed = ALLOWANCE.ratio * count(&requests) as f64 + ALLOWANCE.slack_retries;
            let used = count(&retries) as f64 / allowed;
            if now_us > WINDOW_US + CALM_US + 12_000 * MS {
                outcome.denied += 1;
                let last = class == RetryClass::LastAttempt;
                outcome.denied_beside_idle += u32::from(last && used < 0.8);
                outcome.used += used;
            }
        }
        if earlier.is_some() {
            outcome.refused[priority] += 1.0;
            continue;
        }
        let attempt = EarlierAttempt { first_arrived_us: now_us, refused_us: now_us, refusals: 1 };
        refused_requests.record(hash, attempt);
        if rng.random_range(0.0..1.0) < load.returning {
            let back_us = now_us + rng.random_range(70 * MS..600 * MS);
            arrivals.push(Reverse((back_us, priority, caller)));
        } else {
            outcome.refused[priority] += 1.0;
        }
    }
    outcome
}

/// The sum of several seeds.
fn run_seeds(load: Load) -> Outcome {
    (0..8).map(|seed| run(load, seed)).fold(Outcome::default(), |mut sum, one| {
        for priority in 0..3 {
            sum.callers[priority] += one.callers[priority];
            sum.refused[priority] += one.refused[priority];
        }
        sum.denied_beside_idle += one.denied_beside_idle;
        sum.denied += one.denied;
        sum.used += one.used;
        sum
    })
}

/// Guards against a budget that first attempts use up, or that lies idle for callers' last ones,
/// whatever part of the sends is rejected.
#[test]
fn fewer_callers_are_refused_for_good_than_first_come_first_served() {
    for rejected in REJECTED {
        let load = Load { rejected, ..TYPICAL };
        let ranked = run_seeds(load).refused_share();
        let first_come = run_seeds(Load { first_come: true, ..load }).refused_share();
        println!(
            "{rejected} rejected: {ranked} refused for good, {first_come} in order of arrival"
        );
        // With one of ten rejected the budget is not short, and the order changes nothing.
        let short = rejected > 0.2;
        assert!(ranked < first_come || !short && ranked <= first_come, "{rejected} rejected");
    }
}

/// Guards against urgent requests that are refused because less urgent ones got the retries. With
/// retries for all its last attempts, a caller is refused for good if three sends are rejected.
#[test]
fn the_urgent_route_gets_its_last_attempts_retried() {
    for rejected in REJECTED {
        let outcome = run_seeds(Load { rejected, ..TYPICAL });
        let refused = outcome.refused_share_of(0);
        println!("{rejected} rejected: {refused} of the urgent callers refused for good");
        assert!(refused <= rejected.powi(3) + 0.01, "{rejected} rejected: {refused}");
    }
}

/// Guards against retries that are kept for nobody while callers' last attempts are denied, also if
/// most callers never come back.
#[test]
fn little_of_the_budget_is_idle_while_retries_are_denied() {
    for rejected in REJECTED {
        for returning in [1.0, 0.3, 0.0] {
            let outcome = run_seeds(Load { rejected, returning, ..TYPICAL });
            let used = outcome.used_share();
            println!("{rejected} rejected, {returning} of the callers come back: {used} used");
            assert!(used > 0.9, "{rejected} rejected, {returning} come back: {used}");
            assert_eq!(outcome.denied_beside_idle, 0, "{rejected} rejected, {returning} come back");
        }
    }
}

/// Guards against a reserve that comes too late: after one second of a shed, first attempts have
/// left the last ones what they need.
#[test]
fn the_reserve_for_last_attempts_exists_from_the_first_second() {
    let mut budget = RetryBudget::default();
    for at_ms in 0..10_000 {
        if at_ms % 12 == 0 {
            budget.record_request(&ALLOWANCE, WINDOW_US + at_ms * MS);
        }
    }
    let rank = |class| RetryRank::new(class, 0, false);
    let mut now_us = 2 * WINDOW_US;
    let mut granted = 0;
    for _ in 0..80 {
        now_us += 12 * MS;
        budget.record_request(&ALLOWANCE, now_us);
        let first = rank(RetryClass::CallerCanRetry);
        granted += u32::from(budget.try_spend(&ALLOWANCE, first, now_us).is_ok());
    }
    println!("{granted} of 80 first attempts got a retry");
    assert!(granted < 20, "{granted} of 80 first attempts got a retry");
    let denial = budget.try_spend(&ALLOWANCE, rank(RetryClass::CallerCanRetry), now_us);
    assert_eq!(denial.map_err(|denial| denial.reason), Err(DenialReason::Reserved));
    assert!(budget.try_spend(&ALLOWANCE, rank(RetryClass::LastAttempt), now_us).is_ok());
}

/// Guards against hedges that take the retries of rejected requests.
#[test]
fn hedges_get_what_rejected_requests_leave() {
    let mut budget = RetryBudget::default();
    let hedge = RetryRank::new(RetryClass::Hedge, 0, false);
    let last = RetryRank::new(RetryClass::LastAttempt, 3, true);
    for at in 0..1_000 {
        budget.record_request(&ALLOWANCE, WINDOW_US + at * 10 * MS);
    }
    let now_us = 2 * WINDOW_US;
    let mut spend = |rank| budget.try_spend(&ALLOWANCE, rank, now_us).is_ok();
    let hedges = (0..1_000).filter(|_| spend(hedge)).count();
    let retries = (0..1_000).filter(|_| spend(last)).count();
    assert!(hedges > 80 && retries > 80, "{hedges} hedges, {retries} retries");
    assert!(!spend(hedge));
}

/// Guards against retries that are made while all servers reject everything, so that none are left
/// when they accept requests again.
#[test]
fn no_retry_is_made_while_servers_reject_everything() {
    let mut budget = RetryBudget::default();
    let last = RetryRank::new(RetryClass::LastAttempt, 0, false);
    let mut now_us = WINDOW_US;
    let mut denial_after = |accepted_one_in: u64| {
        for at in 0..400 {
            now_us += 10 * MS;
            budget.record_request(&ALLOWANCE, now_us);
            budget.record_send(at % accepted_one_in != 0, now_us);
        }
        budget.try_spend(&ALLOWANCE, last, now_us).err().map(|denial| denial.reason)
    };
    assert_eq!(denial_after(400), Some(DenialReason::ServersRejecting));
    assert_eq!(denial_after(10), None, "one of ten sends is accepted");
    assert_eq!(denial_after(1), None, "the servers accept everything again");
}

/// Guards against amplified outages: over any number of instances, whatever ranks ask, retries
/// within a window exceed the ratio and the slack.
#[test]
fn the_budget_holds_over_all_instances() {
    common::property(24, |u| {
        let instances = *u.choose(&[2_u32, 3, 16, 120, 500])?;
        let allowance = RetryAllowance { slack_retries: 60.0 / f64::from(instances), ..ALLOWANCE };
        // The part of the operators' ratio that instances use.
        let ratio = allowance.ratio / 0.95;
        let mut rng = Pcg64::seed_from_u64(u.arbitrary()?);
        let mut budgets: Vec<RetryBudget> =
            (0..instances).map(|_| RetryBudget::default()).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now_us = WINDOW_US;
        for _ in 0..6_000 {
            now_us += rng.random_range(0..20 * MS);
            let budget = &mut budgets[rng.random_range(0..instances as usize)];
            budget.set_return_share(rng.random_range(0.0..1.0));
            budget.record_request(&allowance, now_us);
            requests.push(now_us);
            let classes = [RetryClass::LastAttempt, RetryClass::CallerCanRetry, RetryClass::Hedge];
            let class = classes[rng.random_range(0..3)];
            let rank = RetryRank::new(class, rng.random_range(0..6), rng.random_range(0..2) == 0);
            while budget.try_spend(&allowance, rank, now_us).is_ok() {
                retries.push(now_us);
            }
        }
        for (at, end_us) in retries.iter().enumerate() {
            let from_us = end_us - WINDOW_US;
            let first_retry = retries.partition_point(|at_us| *at_us < from_us);
            let first_request = requests.partition_point(|at_us| *at_us < from_us);
            let last_request = requests.partition_point(|at_us| at_us <= end_us);
            let allowed = ratio * (last_request - first_request) as f64 + 60.0;
            assert!((at + 1 - first_retry) as f64 <= allowed, "{instances} instances");
        }
        Ok(())
    });
}

/// Guards against hundreds of instances that are no homes and each have as much slack as a home: few
/// requests reach each of them.
#[test]
fn the_slack_of_all_instances_is_within_the_operators_slack() {
    const OPERATORS_SLACK: f64 = 214.0;
    for (homes, others) in [(1, 0), (3, 2), (4, 135), (12, 488)] {
        let retries = |is_home| {
            let share = RetryAllowance::slack_share(homes, others, is_home);
            let allowance =
                RetryAllowance { slack_retries: 0.7 * OPERATORS_SLACK * share, ..ALLOWANCE };
            let mut budget = RetryBudget::default();
            budget.record_request(&allowance, WINDOW_US);
            let rank = RetryRank::new(RetryClass::LastAttempt, 0, false);
            let spent =
                (0..1_000).filter(|_| budget.try_spend(&allowance, rank, WINDOW_US).is_ok());
            spent.count()
        };
        let sum = homes * retries(true) + others * retries(false);
        assert!(sum as f64 <= OPERATORS_SLACK, "{homes} homes, {others} others: {sum}");
    }
}

fn hash(target: &str) -> RequestHash {
    RequestHash::of([127, 0, 0, 1].into(), "h", "GET", target)
}

fn refusal(refused_us: u64) -> EarlierAttempt {
    EarlierAttempt { first_arrived_us: refused_us, refused_us, refusals: 1 }
}

/// Guards against two callers with the same head of which one is taken for the other's retry: each
/// refusal is followed by one retry, the older one first.
#[test]
fn callers_that_look_alike_are_told_apart_by_count() {
    let mut refused = RefusedRequests::default();
    refused.record(hash("/a"), refusal(1_000));
    refused.record(hash("/a"), refusal(2_000));
    assert_eq!(refused.take(hash("/b"), 3_000), None);
    assert_eq!(refused.take(hash("/a"), 3_000), Some(refusal(1_000)));
    assert_eq!(refused.take(hash("/a"), 3_000), Some(refusal(2_000)));
    assert_eq!(refused.take(hash("/a"), 3_000), None);
    assert!(refused.is_empty());
}

/// Guards against memory that grows with callers that never come back, and against a reserve for
/// them.
#[test]
fn callers_that_never_come_back_are_forgotten() {
    let mut refused = RefusedRequests::default();
    for at in 0..40_000 {
        refused.record(hash(&format!("/{at}")), refusal(at * 100));
    }
    assert!(refused.len() <= 16_384, "{}", refused.len());
    assert!(refused.return_share() < 0.05, "{}", refused.return_share());
    // The newest is known for some seconds, and then forgotten with all others.
    let last_us = 39_999 * 100;
    assert!(refused.take(hash("/39999"), last_us + 4_000 * MS).is_some());
    assert_eq!(refused.take(hash("/39998"), last_us + 6_000 * MS), None);
    assert!(refused.is_empty());
}

/// Guards against a share of returning callers that stays low after some did not come back, or that
/// counts callers' last attempts, which nobody repeats.
#[test]
fn the_share_of_returning_callers_follows_them() {
    let mut refused = RefusedRequests::default();
    let target = |at: u64| hash(&format!("/{at}"));
    let at_us = |at: u64| at * 10 * MS;
    for at in 0..1_000 {
        refused.record(target(at), refusal(at_us(at)));
    }
    assert!(refused.return_share() < 0.05, "{}", refused.return_share());
    for at in 1_000..2_000 {
        refused.record(target(at), refusal(at_us(at)));
        let earlier = refused.take(target(at), at_us(at) + 5 * MS).expect("refused");
        refused.record(
            target(at),
            EarlierAttempt { refusals: 2, refused_us: at_us(at) + 9 * MS, ..earlier },
        );
    }
    assert!(refused.return_share() > 0.95, "{}", refused.return_share());
}
