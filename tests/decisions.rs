//! Decision functions: against baseline policies where they must agree, against the oracle and
//! fixed bounds where they must be better, and without allocation on the request path.

use sorrelwick::decide::Admission;
use sorrelwick::decide::AttemptOutcome;
use sorrelwick::decide::QueueView;
use sorrelwick::decide::RatioBudget;
use sorrelwick::decide::RetryView;
use sorrelwick::decide::ServerLoad;
use sorrelwick::decide::ServerScope;
use sorrelwick::decide::SlotPool;
use sorrelwick::decide::baseline;
use sorrelwick::decide::choose_server;
use sorrelwick::decide::decide_admission;
use sorrelwick::decide::may_retry;
use standins::trial::Policy;
use standins::trial::Scene;
use standins::trial::ServiceSize;
use standins::trial::TrialOutcome;
use standins::trial::run_trial;

mod common;

use common::property;

const NOW_US: u64 = 1_000_000_000;

/// If only the own requests in flight are known and all servers have free slots, the choice is that
/// of the least-in-flight baseline.
#[test]
fn selection_agrees_with_least_in_flight_when_nothing_else_is_known() {
    property(500, |u| {
        let count = u.int_in_range(1..=40)?;
        let mut loads = Vec::new();
        for _ in 0..count {
            let mut load = ServerLoad::warm(8);
            load.in_flight = u.int_in_range(0..=7)?;
            loads.push(load);
        }
        let in_flight: Vec<u32> = loads.iter().map(|load| load.in_flight).collect();
        let ours =
            choose_server(&loads, ServerScope::Own, &[], 0.0, u.choose_index(count)?, NOW_US);
        let expected = baseline::least_in_flight(&in_flight).expect("a server");
        assert_eq!(in_flight[ours.expect("room everywhere")], in_flight[expected]);
        Ok(())
    });
}

/// No sequence of starts and ends assigns more slots than there are, or selects a server that is
/// closed, already tried or kept by another home.
#[test]
fn no_slot_is_assigned_twice_and_no_closed_server_is_selected() {
    property(300, |u| {
        let mut loads = Vec::new();
        for _ in 0..u.int_in_range(1..=8)? {
            let mut load = ServerLoad::warm(u.int_in_range(1..=3)?);
            load.closed = u.ratio(1, 5)?;
            load.is_keeper = !u.ratio(1, 5)?;
            loads.push(load);
        }
        let mut pool = SlotPool::new(loads, 7);
        let mut held = Vec::new();
        let mut now_us = NOW_US;
        for _ in 0..200 {
            now_us += u.int_in_range(0..=3_000)?;
            if u.ratio(1, 2)? {
                let tried = [u.int_in_range(0..=8)?];
                if let Some(index) = pool.acquire_slot(ServerScope::Own, &tried, now_us) {
                    let load = &pool.loads()[index];
                    assert!(load.is_keeper && !load.closed && index != tried[0]);
                    assert!(load.in_flight <= load.slots);
                    held.push(index);
                }
            } else if !held.is_empty() {
                let index = held.swap_remove(u.choose_index(held.len())?);
                let latency_us = u.int_in_range(1..=50_000)?;
                let ends = [
                    AttemptOutcome::Answered { latency_us },
                    AttemptOutcome::Failed,
                    AttemptOutcome::Refused,
                    AttemptOutcome::Cancelled,
                ];
                pool.release_slot(index, *u.choose(&ends)?, now_us);
            }
            let in_flight: u32 = pool.loads().iter().map(|load| load.in_flight).sum();
            assert_eq!(in_flight as usize, held.len());
        }
        Ok(())
    });
}

/// Guards against a server that fails instantly, looks idle and attracts all requests. If all
/// servers fail, not all of them may be ejected.
#[test]
fn a_server_that_fails_instantly_is_ejected_but_never_all() {
    let mut pool = SlotPool::new(vec![ServerLoad::warm(4); 6], 1);
    let mut to_failing = 0;
    for turn in 0..2_000_u64 {
        let now_us = NOW_US + turn * 200;
        let index = pool.acquire_slot(ServerScope::Own, &[], now_us).expect("room");
        to_failing += u64::from(index == 0);
        let finish = if index == 0 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Answered { latency_us: 150 }
        };
        pool.release_slot(index, finish, now_us + 150);
    }
    assert!(to_failing <= 10, "{to_failing} of 2,000 went to the failing server");
    let mut pool = SlotPool::new(vec![ServerLoad::warm(4); 6], 1);
    for turn in 0..500_u64 {
        let now_us = NOW_US + turn * 200;
        let index =
            pool.acquire_slot(ServerScope::Own, &[], now_us).expect("some server is always left");
        pool.release_slot(index, AttemptOutcome::Failed, now_us + 150);
    }
}

/// Guards against a quiet service that sends all requests to one server: the latencies of the
/// others are never updated, and a server that was slow once stays unused.
#[test]
fn a_quiet_service_uses_all_its_servers() {
    let mut pool = SlotPool::new(vec![ServerLoad::warm(4); 6], 1);
    let mut used = [0; 6];
    for turn in 0..1_500_u64 {
        let now_us = NOW_US + turn * 2_000;
        let index = pool.acquire_slot(ServerScope::Own, &[], now_us).expect("room");
        used[index] += 1;
        // Servers differ a little, and the first one is very slow at the beginning.
        let latency_us = 900 + 30 * index as u64 + if index == 0 && turn < 50 { 9_000 } else { 0 };
        pool.release_slot(index, AttemptOutcome::Answered { latency_us }, now_us + 1_000);
    }
    assert!(used.iter().all(|count| *count > 50), "{used:?}");
}

/// Extra attempts are limited to their share of the requests, whatever fails.
#[test]
fn extra_attempts_are_a_share_of_the_requests() {
    property(200, |u| {
        let mut budget = RatioBudget::new(0.02);
        let requests = u.int_in_range(1..=5_000)?;
        let mut spent = 0;
        for _ in 0..requests {
            budget.record_request();
            spent += u32::from(budget.try_spend());
        }
        assert!(f64::from(spent) <= 11.0 + 0.02 * f64::from(requests), "{spent} of {requests}");
        Ok(())
    });
}

/// A request that is not idempotent is retried only if it did not run.
#[test]
fn only_idempotent_or_unrun_requests_are_retried() {
    property(500, |u| {
        let view = RetryView {
            idempotent: u.arbitrary()?,
            not_run: u.arbitrary()?,
            attempts: u.int_in_range(0..=5)?,
            remaining_us: u.arbitrary()?,
            median_service_us: 10.0,
            has_budget_left: u.arbitrary()?,
        };
        if may_retry(&view) {
            assert!(view.idempotent || view.not_run);
            assert!(view.has_budget_left && view.attempts < 3);
        }
        Ok(())
    });
}

/// An admitted request can run before its deadline as far as known, and a refused one gets a
/// retry-after time.
#[test]
fn admitted_requests_can_run_and_refused_ones_get_a_retry_time() {
    property(500, |u| {
        let view = QueueView {
            waiting: u.int_in_range(0..=2_000)?,
            queue_age_us: u.int_in_range(0..=2_000_000)?,
            waiting_max: 1_000,
            slots: u.int_in_range(0..=100)?,
            median_service_us: f32::from(u.arbitrary::<u16>()?),
            remaining_us: u.int_in_range(0..=2_000_000)?,
        };
        match decide_admission(&view) {
            Admission::Wait { at_most_us } => {
                assert!(view.slots > 0 && view.waiting < view.waiting_max);
                assert!(at_most_us > 0 && at_most_us <= view.remaining_us);
            }
            Admission::QueueFull { retry_after_ms }
            | Admission::TooLate { retry_after_ms }
            | Admission::NoServer { retry_after_ms } => assert!(retry_after_ms > 0),
        }
        Ok(())
    });
}

/// A queue of four slots in which a patient request arrives.
const PATIENT: QueueView = QueueView {
    waiting: 59,
    queue_age_us: 3_000_000,
    waiting_max: 1_000,
    slots: 4,
    median_service_us: 50_000.0,
    remaining_us: 20_000_000,
};

/// Guards against refusing a request "for its deadline" whose caller would wait much longer than the
/// queue takes.
#[test]
fn request_waits_in_a_burst_while_its_deadline_permits() {
    assert_eq!(decide_admission(&PATIENT), Admission::Wait { at_most_us: 19_900_000 });
}

/// Guards against refusing a patient request by what the first answers of a burst took, while
/// connections were opened: 0.7 s in place of the usual 60 ms.
#[test]
fn first_answers_of_a_burst_are_not_extrapolated_far() {
    let young =
        QueueView { waiting: 109, queue_age_us: 800_000, median_service_us: 680_000.0, ..PATIENT };
    assert!(matches!(decide_admission(&young), Admission::Wait { .. }));
    let older = QueueView { queue_age_us: 4_000_000, ..young };
    assert!(matches!(decide_admission(&older), Admission::TooLate { .. }));
}

/// Guards against overload that outlasts its cause: with patient callers, a queue that never empties
/// would grow to their deadlines, and serve no more requests for it.
#[test]
fn request_does_not_wait_long_in_a_lasting_queue() {
    let lasting = QueueView { queue_age_us: 11_000_000, ..PATIENT };
    assert!(matches!(decide_admission(&lasting), Admission::TooLate { .. }));
    let short = QueueView { waiting: 9, ..lasting };
    assert_eq!(decide_admission(&short), Admission::Wait { at_most_us: 500_000 });
}

/// Guards against requests that wait until hardly any time is left to serve them: half of them
/// would run into their deadlines at a server, with an unknown outcome.
#[test]
fn admitted_request_keeps_time_to_be_served() {
    let last_moment = QueueView { waiting: 0, queue_age_us: 0, remaining_us: 100_000, ..PATIENT };
    assert!(matches!(decide_admission(&last_moment), Admission::TooLate { .. }));
}

/// Acquiring and releasing a slot does not allocate.
#[test]
fn selection_does_not_allocate() {
    let mut pool = SlotPool::new(vec![ServerLoad::warm(4); 1_000], 1);
    let seen = allocation_counter::measure(|| {
        for turn in 0..1_000 {
            let now_us = NOW_US + turn * 100;
            let index = pool.acquire_slot(ServerScope::Own, &[3], now_us).expect("room");
            pool.release_slot(index, AttemptOutcome::Answered { latency_us: 90 }, now_us + 90);
        }
    });
    assert_eq!(seen.count_total, 0);
}

fn pair(scene: &Scene, policy: Policy) -> (TrialOutcome, TrialOutcome) {
    (run_trial(scene, policy), run_trial(scene, Policy::Oracle))
}

fn scene(size: ServiceSize) -> Scene {
    Scene { size, seconds: 20, ..Scene::default() }
}

/// Regression bounds on seeded runs, which give the same counts each time. The figures behind the
/// bounds are in docs/MEASUREMENTS.md.
#[test]
fn steady_load_stays_within_a_twentieth_of_the_oracle() {
    for size in
        [ServiceSize::Catalogue, ServiceSize::Portal, ServiceSize::Orders, ServiceSize::Filings]
    {
        for load in [0.5, 0.8] {
            let scene = Scene { load, ..scene(size) };
            let (ours, oracle) = pair(&scene, Policy::KeepersPullHedge);
            assert!(
                ours.latency_quantile_ms(0.99) <= 1.05 * oracle.latency_quantile_ms(0.99),
                "{size:?} {load}: {}",
                ours.table_row("")
            );
            assert_eq!(ours.refused, 0);
            assert!(ours.per_thousand(ours.hedges + ours.retries) <= 50.0);
        }
    }
}

#[test]
fn shifting_load_beats_the_baseline_and_stays_near_the_oracle() {
    for (size, of_baseline, of_oracle) in [
        (ServiceSize::Catalogue, 0.45, 1.4),
        (ServiceSize::Portal, 0.45, 1.4),
        (ServiceSize::Orders, 0.60, 1.65),
        (ServiceSize::Filings, 0.60, 1.65),
    ] {
        let scene = Scene { slow_third: true, ..scene(size) };
        let (ours, oracle) = pair(&scene, Policy::KeepersPullHedge);
        let baseline_run = run_trial(&scene, Policy::SprayRoundRobin);
        let line = format!("{size:?}: {}", ours.table_row(""));
        assert!(
            ours.latency_quantile_ms(0.99) <= of_baseline * baseline_run.latency_quantile_ms(0.99),
            "{line}"
        );
        assert!(
            ours.latency_quantile_ms(0.99) <= of_oracle * oracle.latency_quantile_ms(0.99),
            "{line}"
        );
        assert!(
            ours.latency_quantile_ms(0.999) <= 2.5 * oracle.latency_quantile_ms(0.999),
            "{line}"
        );
        assert!(ours.per_thousand(ours.hedges + ours.retries) <= 50.0, "{line}");
    }
}

#[test]
fn uneven_callers_cost_at_most_a_tenth_more() {
    for size in [ServiceSize::Catalogue, ServiceSize::Portal] {
        let even = run_trial(&scene(size), Policy::KeepersPullHedge);
        let zones = [0.60, 0.25, 0.15];
        let uneven = run_trial(&Scene { zones, ..scene(size) }, Policy::KeepersPullHedge);
        assert!(
            uneven.latency_quantile_ms(0.99) <= 1.1 * even.latency_quantile_ms(0.99),
            "{size:?}: {}",
            uneven.table_row("")
        );
    }
}

/// Guards against overload that outlasts its cause: for ten seconds 1.5 times the capacity arrives.
/// The servers stay busy with useful work, the rest is refused at once, and afterwards nobody waits
/// for long.
#[test]
fn overload_is_refused_and_does_not_outlast_its_cause() {
    let scene = Scene { overload_s: Some((5, 15, 1.5)), ..scene(ServiceSize::Catalogue) };
    let ours = run_trial(&scene, Policy::KeepersPullHedge);
    assert!(ours.refused > 0);
    assert!(ours.recovery_ms > 0 && ours.recovery_ms < 3_000, "{} ms", ours.recovery_ms);
    // 120 slots of 10 ms: 12,000 per second for 10 s, and 80% of that for the other 8 s counted.
    let capacity = 12_000.0 * (10.0 + 0.8 * 8.0);
    let goodput = f64::from(u32::try_from(ours.answered).unwrap_or(u32::MAX)) / capacity;
    assert!(goodput >= 0.95, "goodput {goodput}");
}

#[test]
fn one_failing_server_costs_almost_no_answer() {
    let scene = Scene { failing_server: true, load: 0.5, ..scene(ServiceSize::Orders) };
    let ours = run_trial(&scene, Policy::KeepersPullHedge);
    let baseline_run = run_trial(&scene, Policy::SprayRoundRobin);
    assert!(ours.per_thousand(ours.failed) < 2.0, "{} failed", ours.failed);
    assert!(
        baseline_run.per_thousand(baseline_run.failed) > 100.0,
        "the scenario must affect the baseline"
    );
}
