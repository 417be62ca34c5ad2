//! Who came back, and how long ago a request began, by what callers say that they still wait.

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use sorrelwick::gateway::SpentTimeEstimator;

/// A request as a caller sends it.
struct Sent {
    told_ms: u64,
    /// Spent before, really.
    spent_ms: u64,
}

/// Requests of callers that allow 2 s, less up to `spread` of it, of which a part came back after
/// any time up to `back_ms`.
fn requests(count: usize, spread: f64, returns: f64, back_ms: u64) -> Vec<Sent> {
    let mut random = Pcg64::seed_from_u64(7);
    let draw = |_| {
        let first_ms = (2_000.0 * (1.0 - random.random_range(0.0..=spread))).round();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "some seconds")]
        let first_ms = first_ms as u64;
        let spent_ms =
            if random.random_bool(returns) { random.random_range(60..=back_ms) } else { 0 };
        Sent { told_ms: first_ms - spent_ms, spent_ms }
    };
    (0..count).map(draw).collect()
}

/// Of first attempts, the share that is taken for one that came back; of returns after a fifth of
/// the time or more, the mean error of the time spent, in milliseconds.
fn judged(sent: &[Sent]) -> (f64, f64) {
    let patience = SpentTimeEstimator::default();
    let (mut first, mut mistaken, mut returns, mut error_ms) = (0.0, 0.0, 0.0, 0.0);
    for (number, request) in sent.iter().enumerate() {
        let spent_ms = patience.spent_ms("look", request.told_ms);
        if number < 100 {
            continue;
        }
        if request.spent_ms == 0 {
            first += 1.0;
            mistaken += if spent_ms > 0 { 1.0 } else { 0.0 };
        } else if request.spent_ms >= 400 {
            returns += 1.0;
            #[expect(clippy::cast_precision_loss, reason = "milliseconds")]
            let error = spent_ms.abs_diff(request.spent_ms) as f64;
            error_ms += error;
        }
    }
    (mistaken / f64::max(first, 1.0), error_ms / f64::max(returns, 1.0))
}

/// Callers of a shop wait for two seconds, some for a little less. Nearly every request looks as if
/// it had been refused before, and waits behind the few of the most patient caller, or is refused
/// with its whole time before it.
///
/// Grounds: first attempts over 15 in 100 of the deadline, as deployments draw them; against the
/// longest time seen, 99 in 100 of them would seem to have spent something.
#[test]
fn callers_that_differ_are_not_taken_for_ones_that_came_back() {
    let (mistaken, _) = judged(&requests(5_000, 0.15, 0.0, 0));
    assert!(mistaken < 0.03, "{mistaken}");
    let (mistaken, error_ms) = judged(&requests(5_000, 0.15, 0.3, 1_400));
    assert!(mistaken < 0.06, "{mistaken}");
    assert!(error_ms < 120.0, "{error_ms}");
}

#[test]
fn where_all_allow_the_same_the_time_spent_is_told_exactly() {
    let (mistaken, error_ms) = judged(&requests(5_000, 0.0, 0.4, 1_400));
    assert!(mistaken == 0.0 && error_ms < 45.0, "{mistaken}, {error_ms}");
}

/// One caller that waits for a minute must not make all others look late.
#[test]
fn one_patient_caller_changes_nothing_for_the_others() {
    let patience = SpentTimeEstimator::default();
    for _ in 0..60 {
        patience.spent_ms("look", 2_000);
    }
    patience.spent_ms("look", 60_000);
    assert_eq!(patience.spent_ms("look", 2_000), 0);
    assert!(patience.spent_ms("look", 1_000) >= 900);
}

/// Right after a start, only callers that came back are there, and then the first new ones.
#[test]
fn a_start_among_returns_is_got_over() {
    let patience = SpentTimeEstimator::default();
    for told_ms in (700..1_300).step_by(30) {
        patience.spent_ms("look", told_ms);
    }
    for _ in 0..30 {
        assert_eq!(patience.spent_ms("look", 2_000), 0);
    }
    assert!(patience.spent_ms("look", 1_000) >= 900);
}
