//! Estimates how much time a caller spent on earlier attempts of a request.

use std::collections::HashMap;

use parking_lot::Mutex;
use smallvec::SmallVec;

/// Maximum number of routes; when it is reached, the table is cleared.
const ROUTES_MAX: usize = 10_000;
/// Ratio between the bounds of adjacent bins, and so the resolution of the histogram.
const BIN_WIDTH_RATIO: f64 = 1.02;
/// Number of samples at which all weights are halved, so that the estimate follows changes in the
/// callers' timeouts.
const DECAY_AT_SAMPLES: f64 = 256.0;
/// Minimum number of samples for an estimate from the histogram.
const MIN_SAMPLES: f64 = 24.0;
/// A bin counts as first attempts if it holds at least this fraction of the fullest bin. The
/// timeouts of retries spread over about ten times the width of those of first attempts: even if
/// four requests in ten are retries, a bin of them holds less than a sixth of the fullest.
const DENSE_BIN_RATIO: f64 = 0.3;
/// Before the histogram has enough samples: the shortest timeout of a first attempt, as a fraction
/// of the longest one seen. Where callers' timeouts differ, they do so by 15%.
const ASSUMED_SPREAD_RATIO: f64 = 0.8;

/// Estimates the time spent on earlier attempts from the timeouts that callers send, by route.
///
/// A caller that retries after a refusal or a lost response sends its remaining time, which is less
/// than the timeout of first attempts on the route. The difference is missing from its latency
/// target too: without this correction, a retry could be given a slot in which it can only be late.
/// Callers also differ in their timeouts. If all were compared with the longest one, nearly all
/// requests would look like retries, and would be queued behind others or refused although their
/// time has just begun.
#[derive(Debug, Default)]
pub struct SpentTimeEstimator {
    by_route: Mutex<HashMap<String, Histogram>>,
}

/// Histogram of callers' timeouts, with bins of equal ratio and decaying weights.
#[derive(Debug, Default)]
struct Histogram {
    /// Number and weight of each bin, sorted by number.
    bins: SmallVec<[(u16, f64); 16]>,
    /// Sum of all weights.
    total: f64,
    /// Longest timeout seen, which does not decay.
    max_ms: u64,
}

/// Range of the timeouts of first attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
struct FirstAttempts {
    min_ms: f64,
    mean_ms: f64,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the logarithm of a time is at most some hundreds"
)]
fn bin_of(timeout_ms: u64) -> u16 {
    ((timeout_ms.max(1) as f64).ln() / BIN_WIDTH_RATIO.ln()) as u16
}

/// The lower bound of a bin.
fn bin_start_ms(bin: u16) -> f64 {
    BIN_WIDTH_RATIO.powi(i32::from(bin))
}

impl Histogram {
    fn record(&mut self, timeout_ms: u64) {
        self.max_ms = self.max_ms.max(timeout_ms);
        let bin = bin_of(timeout_ms);
        match self.bins.binary_search_by_key(&bin, |(known, _)| *known) {
            Ok(at) => self.bins[at].1 += 1.0,
            Err(at) => self.bins.insert(at, (bin, 1.0)),
        }
        self.total += 1.0;
        if self.total >= DECAY_AT_SAMPLES {
            self.decay();
        }
    }

    /// Halves all weights and removes bins that are left with less than half a sample.
    fn decay(&mut self) {
        for (_, weight) in &mut self.bins {
            *weight /= 2.0;
        }
        self.bins.retain(|(_, weight)| *weight >= 0.5);
        self.total = self.bins.iter().map(|(_, weight)| weight).sum();
    }

    /// The bins close in weight to the fullest one: the timeouts of first attempts are similar,
    /// those of retries are spread out.
    #[expect(clippy::cast_precision_loss, reason = "times of a few seconds")]
    fn first_attempts(&self) -> FirstAttempts {
        if self.total < MIN_SAMPLES {
            let max_ms = self.max_ms as f64;
            return FirstAttempts { min_ms: max_ms * ASSUMED_SPREAD_RATIO, mean_ms: max_ms };
        }
        let max_weight = self.bins.iter().map(|(_, weight)| *weight).fold(0.0, f64::max);
        let dense = self.bins.iter().filter(|(_, weight)| *weight >= max_weight * DENSE_BIN_RATIO);
        let (mut sum, mut total_weight, mut least) = (0.0, 0.0, u16::MAX);
        for (bin, weight) in dense {
            least = least.min(*bin);
            sum += bin_start_ms(*bin) * weight;
            total_weight += weight;
        }
        FirstAttempts { min_ms: bin_start_ms(least), mean_ms: sum / f64::max(total_weight, 1.0) }
    }
}

impl SpentTimeEstimator {
    /// Records the timeout of a request and estimates the time that its caller spent on earlier
    /// attempts; 0 if it may be a first attempt.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "non-negative times of a few seconds"
    )]
    pub fn spent_ms(&self, route: &str, timeout_ms: u64) -> u64 {
        let mut by_route = self.by_route.lock();
        if !by_route.contains_key(route) {
            if by_route.len() >= ROUTES_MAX {
                by_route.clear();
            }
            by_route.insert(route.to_owned(), Histogram::default());
        }
        let Some(histogram) = by_route.get_mut(route) else {
            return 0;
        };
        histogram.record(timeout_ms);
        let first = histogram.first_attempts();
        let timeout_ms = timeout_ms as f64;
        if timeout_ms >= first.min_ms { 0 } else { (first.mean_ms - timeout_ms).max(0.0) as u64 }
    }
}
