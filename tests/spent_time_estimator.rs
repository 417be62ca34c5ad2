//! Estimates of the time that callers spent on earlier attempts, from the timeouts that they send.

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use sorrelwick::gateway::SpentTimeEstimator;

/// A request as its caller sends it.
struct SentRequest {
    timeout_ms: u64,
    /// Time actually spent on earlier attempts.
    spent_ms: u64,
}

/// Requests of callers whose timeout is 2 s, less up to the fraction `spread` of it. The fraction
/// `retries` of them are retries, after a random time of up to `spent_max_ms`.
fn requests(count: usize, spread: f64, retries: f64, spent_max_ms: u64) -> Vec<SentRequest> {
    let mut random = Pcg64::seed_from_u64(7);
    let draw = |_| {
        let first_ms = (2_000.0 * (1.0 - random.random_range(0.0..=spread))).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a few seconds"
        )]
        let first_ms = first_ms as u64;
        let spent_ms =
            if random.random_bool(retries) { random.random_range(60..=spent_max_ms) } else { 0 };
        SentRequest { timeout_ms: first_ms - spent_ms, spent_ms }
    };
    (0..count).map(draw).collect()
}

/// The fraction of first attempts that are taken for retries, and the mean error in milliseconds of
/// the time spent, over retries after a fifth of the timeout or more.
fn estimate_errors(sent: &[SentRequest]) -> (f64, f64) {
    let estimator = SpentTimeEstimator::default();
    let (mut first_attempts, mut taken_for_retries, mut retries, mut error_ms) =
        (0.0, 0.0, 0.0, 0.0);
    for (number, request) in sent.iter().enumerate() {
        let spent_ms = estimator.spent_ms("look", request.timeout_ms);
        if number < 100 {
            continue;
        }
        if request.spent_ms == 0 {
            first_attempts += 1.0;
            taken_for_retries += if spent_ms > 0 { 1.0 } else { 0.0 };
        } else if request.spent_ms >= 400 {
            retries += 1.0;
            #[expect(clippy::cast_precision_loss, reason = "milliseconds")]
            let error = spent_ms.abs_diff(request.spent_ms) as f64;
            error_ms += error;
        }
    }
    (taken_for_retries / f64::max(first_attempts, 1.0), error_ms / f64::max(retries, 1.0))
}

/// Guards against queuing first attempts behind others, or refusing them, because their callers'
/// timeouts are a little shorter than the longest one.
///
/// The timeouts of first attempts spread over 15% here, as they do in deployments. Compared with
/// the longest one, 99% of them would look like retries.
#[test]
fn differing_timeouts_are_not_taken_for_retries() {
    let (taken_for_retries, _) = estimate_errors(&requests(5_000, 0.15, 0.0, 0));
    assert!(taken_for_retries < 0.03, "{taken_for_retries}");
    let (taken_for_retries, error_ms) = estimate_errors(&requests(5_000, 0.15, 0.3, 1_400));
    assert!(taken_for_retries < 0.06, "{taken_for_retries}");
    assert!(error_ms < 120.0, "{error_ms}");
}

#[test]
fn equal_timeouts_give_accurate_spent_time() {
    let (taken_for_retries, error_ms) = estimate_errors(&requests(5_000, 0.0, 0.4, 1_400));
    assert!(taken_for_retries == 0.0 && error_ms < 45.0, "{taken_for_retries}, {error_ms}");
}

/// Guards against a single caller with a timeout of a minute making all others look like retries.
#[test]
fn one_long_timeout_does_not_affect_others() {
    let estimator = SpentTimeEstimator::default();
    for _ in 0..60 {
        estimator.spent_ms("look", 2_000);
    }
    estimator.spent_ms("look", 60_000);
    assert_eq!(estimator.spent_ms("look", 2_000), 0);
    assert!(estimator.spent_ms("look", 1_000) >= 900);
}

/// Guards against a lasting error if the first requests after a start are all retries.
#[test]
fn recovers_from_starting_among_retries() {
    let estimator = SpentTimeEstimator::default();
    for timeout_ms in (700..1_300).step_by(30) {
        estimator.spent_ms("look", timeout_ms);
    }
    for _ in 0..30 {
        assert_eq!(estimator.spent_ms("look", 2_000), 0);
    }
    assert!(estimator.spent_ms("look", 1_000) >= 900);
}
