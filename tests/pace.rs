//! How the failure detector adapts to slow answers.

use std::time::Duration;

use sorrelwick::member::Pace;

const PING_INTERVAL_MS: u64 = 250;
const PING_TIMEOUT_MS: u64 = 200;
const SUSPECT_TIMEOUT_MS: u64 = 600;

fn pace_after(round_trips_ms: impl IntoIterator<Item = u64>) -> Pace {
    let mut pace = Pace::new(PING_TIMEOUT_MS);
    round_trips_ms.into_iter().for_each(|round_trip_ms| pace.record(round_trip_ms));
    pace
}

/// Guards against a healthy fleet that detects deaths later than configured.
#[test]
fn quick_answers_leave_the_configured_times() {
    let pace = pace_after((0..100).map(|at| at % 20));
    assert_eq!(pace.stretch(PING_TIMEOUT_MS), Duration::from_millis(PING_TIMEOUT_MS));
    assert_eq!(pace.stretch(SUSPECT_TIMEOUT_MS), Duration::from_millis(SUSPECT_TIMEOUT_MS));
}

/// Guards against the feedback in which a fleet short of processor time suspects its live members:
/// each suspicion costs messages that delay further answers.
#[test]
fn slow_answers_stretch_timeouts_alike_and_within_bounds() {
    let slow = pace_after([100]);
    assert_eq!(slow.stretch(PING_TIMEOUT_MS), Duration::from_millis(4 * PING_TIMEOUT_MS));
    assert_eq!(slow.stretch(SUSPECT_TIMEOUT_MS), Duration::from_millis(4 * SUSPECT_TIMEOUT_MS));
    let stuck = pace_after([60_000; 15]);
    assert_eq!(stuck.stretch(SUSPECT_TIMEOUT_MS), Duration::from_millis(8 * SUSPECT_TIMEOUT_MS));
    assert_eq!(stuck.stretch_interval(PING_INTERVAL_MS), 2 * Duration::from_millis(250));
}

/// Guards against one slow member that delays the detection of all others.
#[test]
fn a_few_slow_members_do_not_stretch_the_times() {
    let pace = pace_after((0..100).map(|at| if at % 3 == 0 { 600 } else { 5 }));
    assert_eq!(pace.stretch(SUSPECT_TIMEOUT_MS), Duration::from_millis(SUSPECT_TIMEOUT_MS));
}

/// Guards against an instance that detects deaths late for long after an overload has ended.
#[test]
fn times_return_to_normal_with_quick_answers() {
    let mut pace = pace_after([500; 15]);
    (0..4).for_each(|_| pace.record(5));
    assert_eq!(pace.stretch(SUSPECT_TIMEOUT_MS), Duration::from_millis(SUSPECT_TIMEOUT_MS));
}
