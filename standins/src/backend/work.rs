//! Service times and response bodies.

use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// The response body for a request id: the id, repeated, so that a mixed-up response is noticed.
#[must_use]
pub fn body_for(request_id: &str, len: usize) -> Bytes {
    let pattern = format!("[{request_id}]");
    let bytes: Vec<u8> = pattern.bytes().cycle().take(len).collect();
    Bytes::from(bytes)
}

/// Exponentially distributed service times with a heavy tail: one in a hundred is ten times as long.
#[derive(Debug)]
pub struct WorkTimes {
    mean_us: f64,
    rng: Pcg64Mcg,
}

const TAIL_PROBABILITY: f64 = 0.01;
const TAIL_FACTOR: f64 = 10.0;

impl WorkTimes {
    /// Service times with mean `mean_us` before the tail; the same seed yields the same times.
    #[must_use]
    pub fn new(mean_us: u64, seed: u64) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "a mean of microseconds")]
        let mean_us = mean_us as f64;
        Self { mean_us, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Draws the next service time.
    pub fn next_time(&mut self) -> Duration {
        let uniform: f64 = self.rng.random();
        let tail = self.rng.random_bool(TAIL_PROBABILITY);
        let exponential = -(1.0 - uniform).ln() * self.mean_us;
        let us = if tail { exponential * TAIL_FACTOR } else { exponential };
        Duration::from_secs_f64(us / 1e6)
    }
}
