//! Results of a simulation.

use hdrhistogram::Histogram;

/// Counts and latencies of a simulation.
#[derive(Clone, Debug)]
pub struct TrialOutcome {
    pub latency_us: Histogram<u64>,
    pub requests: u64,
    pub answered: u64,
    pub refused: u64,
    /// Failed responses that reached a caller.
    pub failed: u64,
    pub attempts: u64,
    pub retries: u64,
    pub hedges: u64,
    pub forwarded: u64,
    /// Requests that had to wait, at a home or at a server, while another server had a free slot.
    pub misplaced: u64,
    /// Milliseconds from the end of an overload until all queues are empty.
    pub recovery_ms: u64,
}

impl Default for TrialOutcome {
    /// # Panics
    /// Never: the histogram bounds are valid.
    fn default() -> Self {
        Self {
            latency_us: Histogram::new_with_max(60_000_000, 3).expect("valid bounds"),
            requests: 0,
            answered: 0,
            refused: 0,
            failed: 0,
            attempts: 0,
            retries: 0,
            hedges: 0,
            forwarded: 0,
            misplaced: 0,
            recovery_ms: 0,
        }
    }
}

impl TrialOutcome {
    /// Latency quantile of answered requests, in milliseconds.
    #[must_use]
    pub fn latency_quantile_ms(&self, quantile: f64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "microseconds to print")]
        let us = self.latency_us.value_at_quantile(quantile) as f64;
        us / 1000.0
    }

    /// `count` per thousand requests.
    #[must_use]
    pub fn per_thousand(&self, count: u64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "counts to print")]
        let ratio = count as f64 / self.requests.max(1) as f64;
        ratio * 1000.0
    }

    /// Formats the table header.
    #[must_use]
    pub fn table_header() -> String {
        format!(
            "{:<20} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
            "policy",
            "p50 ms",
            "p99 ms",
            "p99.9",
            "answered",
            "refused",
            "retry/k",
            "hedge/k",
            "pass/k",
            "mispl/k"
        )
    }

    /// Formats a table row.
    #[must_use]
    pub fn table_row(&self, name: &str) -> String {
        format!(
            "{name:<20} {:>8.1} {:>8.1} {:>8.1} {:>8} {:>8} {:>8.1} {:>8.1} {:>8.1} {:>8.1}",
            self.latency_quantile_ms(0.5),
            self.latency_quantile_ms(0.99),
            self.latency_quantile_ms(0.999),
            self.answered,
            self.refused,
            self.per_thousand(self.retries),
            self.per_thousand(self.hedges),
            self.per_thousand(self.forwarded),
            self.per_thousand(self.misplaced),
        )
    }
}
