//! How much of its time a caller has spent on a request before it came here.

use std::collections::HashMap;

use parking_lot::Mutex;
use smallvec::SmallVec;

/// Routes that are remembered; a table that grows further starts anew.
const ROUTES_MAX: usize = 10_000;
/// Ratio of the bounds of one bin: times that differ by less are told apart no more.
const BIN_WIDTH_RATIO: f64 = 1.02;
/// Samples after which each counts half, so that callers that change are followed.
const DECAY_AT_SAMPLES: f64 = 256.0;
/// Samples before the histogram is believed.
const MIN_SAMPLES: f64 = 24.0;
/// A bin belongs to first attempts when it holds this part of what the fullest holds. Callers that
/// come back do so after any time: they spread over some ten times the width, and even where they
/// are four of ten, their bins hold less than a sixth.
const DENSE_BIN_RATIO: f64 = 0.3;
/// Part of the longest time seen that first attempts allow at least, until the histogram is
/// believed: callers differ by 15 in 100 on the deployments where they do.
const ASSUMED_SPREAD_RATIO: f64 = 0.8;

/// The times that callers of each route allow at first.
///
/// A caller that comes back after a refusal or a lost answer tells what it has left, which is less
/// than what callers of the route allow at first. The difference is gone from its aim too: without
/// this, one that came back would be given a slot in which it can only be late. Callers also differ
/// in what they allow: measured against the longest of these, nearly all requests seem to have
/// come back, and are put behind others or refused although their aim has just begun.
#[derive(Debug, Default)]
pub struct SpentTimeEstimator {
    by_route: Mutex<HashMap<String, Histogram>>,
}

/// Times told, in bins of equal ratio; older ones count less.
#[derive(Debug, Default)]
struct Histogram {
    /// Number of the bin and what it holds, in order.
    bins: SmallVec<[(u16, f64); 16]>,
    total: f64,
    max_ms: u64,
}

/// What first attempts allow.
#[derive(Clone, Copy, Debug, PartialEq)]
struct FirstAttempts {
    min_ms: f64,
    mean_ms: f64,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "logarithm of a time, some hundreds"
)]
fn bin_of(told_ms: u64) -> u16 {
    ((told_ms.max(1) as f64).ln() / BIN_WIDTH_RATIO.ln()) as u16
}

/// The least time of a bin.
fn bin_start_ms(bin: u16) -> f64 {
    BIN_WIDTH_RATIO.powi(i32::from(bin))
}

impl Histogram {
    fn record(&mut self, told_ms: u64) {
        self.max_ms = self.max_ms.max(told_ms);
        let bin = bin_of(told_ms);
        match self.bins.binary_search_by_key(&bin, |(known, _)| *known) {
            Ok(at) => self.bins[at].1 += 1.0,
            Err(at) => self.bins.insert(at, (bin, 1.0)),
        }
        self.total += 1.0;
        if self.total >= DECAY_AT_SAMPLES {
            self.decay();
        }
    }

    /// Halves all; what was seen once and long ago is forgotten.
    fn decay(&mut self) {
        for (_, held) in &mut self.bins {
            *held /= 2.0;
        }
        self.bins.retain(|(_, held)| *held >= 0.5);
        self.total = self.bins.iter().map(|(_, held)| held).sum();
    }

    /// The run of dense bins around the fullest one: first attempts are alike, returns are not.
    #[expect(clippy::cast_precision_loss, reason = "times of some seconds")]
    fn first_attempts(&self) -> FirstAttempts {
        if self.total < MIN_SAMPLES {
            let longest_ms = self.max_ms as f64;
            return FirstAttempts {
                min_ms: longest_ms * ASSUMED_SPREAD_RATIO,
                mean_ms: longest_ms,
            };
        }
        let most = self.bins.iter().map(|(_, held)| *held).fold(0.0, f64::max);
        let dense = self.bins.iter().filter(|(_, held)| *held >= most * DENSE_BIN_RATIO);
        let (mut sum, mut weight, mut least) = (0.0, 0.0, u16::MAX);
        for (bin, held) in dense {
            least = least.min(*bin);
            sum += bin_start_ms(*bin) * held;
            weight += held;
        }
        FirstAttempts { min_ms: bin_start_ms(least), mean_ms: sum / f64::max(weight, 1.0) }
    }
}

impl SpentTimeEstimator {
    /// Time spent before by a caller that allows `told_ms` now; 0 for what may be a first attempt.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "times of some seconds, above zero"
    )]
    pub fn spent_ms(&self, route: &str, told_ms: u64) -> u64 {
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
        histogram.record(told_ms);
        let first = histogram.first_attempts();
        let told_ms = told_ms as f64;
        if told_ms >= first.min_ms { 0 } else { (first.mean_ms - told_ms).max(0.0) as u64 }
    }
}
