//! Usual service time of each route.

use std::collections::HashMap;

/// Weight of a sample in the moving average, which covers about the last 20 requests of a route.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Fraction of a route's latency target that is assumed as its service time before the first
/// sample.
const INITIAL_TARGET_SHARE: f64 = 0.4;

/// Moving averages of the service time by route, in milliseconds.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    by_route: HashMap<String, f64>,
}

impl ServiceTimes {
    /// The usual service time of a route; estimated from its latency target before the first
    /// sample.
    #[must_use]
    pub fn typical_ms(&self, route: &str, target_ms: f64) -> f64 {
        self.by_route.get(route).copied().unwrap_or(target_ms * INITIAL_TARGET_SHARE)
    }

    /// Adds a sample.
    pub fn record(&mut self, route: &str, target_ms: f64, took_ms: f64) {
        let before = self.typical_ms(route, target_ms);
        let after = before + SAMPLE_WEIGHT * (took_ms - before);
        match self.by_route.get_mut(route) {
            Some(known) => *known = after,
            None => {
                self.by_route.insert(route.to_owned(), after);
            }
        }
    }
}
