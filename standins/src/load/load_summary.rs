//! Results of a load run.

use hdrhistogram::Histogram;

use crate::caller::CallResult;

const MAX_US: u64 = 120_000_000;
const DIGITS: u8 = 3;

/// Counts and latencies of a run. Latencies are measured from the scheduled time of a request.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    /// Latencies of correct responses, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Latencies of rejections (outcome `not-run`), in microseconds.
    pub rejection_us: Histogram<u64>,
    pub correct: u64,
    /// Complete responses with another body than expected.
    pub mismatched: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub failed: u64,
    pub broken: u64,
    pub not_sent: u64,
}

impl Default for LoadSummary {
    /// # Panics
    /// Never: the histogram bounds are valid.
    fn default() -> Self {
        let histogram = || Histogram::new_with_max(MAX_US, DIGITS).expect("valid bounds");
        Self {
            latency_us: histogram(),
            rejection_us: histogram(),
            correct: 0,
            mismatched: 0,
            not_run: 0,
            unknown: 0,
            failed: 0,
            broken: 0,
            not_sent: 0,
        }
    }
}

impl LoadSummary {
    /// Records the result of a call that completed `us` microseconds after its scheduled time.
    pub fn record(&mut self, result: &CallResult, expected: &[u8], us: u64) {
        match result {
            CallResult::NotSent => self.not_sent += 1,
            CallResult::Broken => self.broken += 1,
            CallResult::Answered { status, outcome, body, .. } => match (outcome.as_str(), *status)
            {
                ("not-run", _) => {
                    self.not_run += 1;
                    self.rejection_us.saturating_record(us);
                }
                ("unknown", _) => self.unknown += 1,
                (_, 500..) => self.failed += 1,
                _ if body == expected => {
                    self.correct += 1;
                    self.latency_us.saturating_record(us);
                }
                _ => self.mismatched += 1,
            },
        }
    }

    /// Adds the counts and latencies of `other`.
    pub fn merge(&mut self, other: &Self) {
        // Cannot fail, because both histograms have the same bounds.
        let _ = self.latency_us.add(&other.latency_us);
        let _ = self.rejection_us.add(&other.rejection_us);
        self.correct += other.correct;
        self.mismatched += other.mismatched;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.failed += other.failed;
        self.broken += other.broken;
        self.not_sent += other.not_sent;
    }

    /// Number of all calls.
    #[must_use]
    pub const fn calls(&self) -> u64 {
        self.correct
            + self.mismatched
            + self.not_run
            + self.unknown
            + self.failed
            + self.broken
            + self.not_sent
    }

    /// Latency quantile of correct responses, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "microseconds to print")]
        let us = self.latency_us.value_at_quantile(quantile) as f64;
        us / 1000.0
    }

    /// Formats a table row.
    #[must_use]
    pub fn table_row(&self, name: &str) -> String {
        format!(
            "{name:<28} {:>8} {:>8.2} {:>8.2} {:>8.2} {:>6} {:>6} {:>6} {:>6} {:>6}",
            self.correct,
            self.quantile_ms(0.5),
            self.quantile_ms(0.99),
            self.quantile_ms(0.999),
            self.not_run,
            self.unknown,
            self.failed,
            self.broken + self.not_sent,
            self.mismatched,
        )
    }

    /// Formats the table header.
    #[must_use]
    pub fn table_header() -> String {
        format!(
            "{:<28} {:>8} {:>8} {:>8} {:>8} {:>6} {:>6} {:>6} {:>6} {:>6}",
            "run", "right", "p50 ms", "p99 ms", "p99.9", "notrun", "unkn", "5xx", "broken", "wrong"
        )
    }
}
