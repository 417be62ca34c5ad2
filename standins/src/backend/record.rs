//! Log of the events of a backend server, to compare with the results of callers.

use std::collections::HashMap;

use parking_lot::Mutex;
use tokio::time::Instant;

/// A request that was run, and when.
#[derive(Clone, Debug)]
pub struct Run {
    pub request_id: String,
    pub at: Instant,
}

#[derive(Debug, Default)]
struct Rows {
    runs: Vec<Run>,
    probes: Vec<Instant>,
    rejections: Vec<Instant>,
    crashes: Vec<Instant>,
}

/// Event log of one backend server.
#[derive(Debug, Default)]
pub struct Record {
    rows: Mutex<Rows>,
}

impl Record {
    pub(super) fn record_run(&self, request_id: &str) {
        let run = Run { request_id: request_id.into(), at: Instant::now() };
        self.rows.lock().runs.push(run);
    }

    pub(super) fn record_probe(&self) {
        self.rows.lock().probes.push(Instant::now());
    }

    pub(super) fn record_rejection(&self) {
        self.rows.lock().rejections.push(Instant::now());
    }

    /// Times at which the server refused a request with `Retry-After`.
    #[must_use]
    pub fn rejection_times(&self) -> Vec<Instant> {
        self.rows.lock().rejections.clone()
    }

    pub(super) fn record_crash(&self) {
        self.rows.lock().crashes.push(Instant::now());
    }

    /// Times of the server's crashes.
    #[must_use]
    pub fn crashes(&self) -> Vec<Instant> {
        self.rows.lock().crashes.clone()
    }

    /// All runs, in the order of their start.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.rows.lock().runs.clone()
    }

    /// Number of runs by request id.
    #[must_use]
    pub fn counts(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for run in &self.rows.lock().runs {
            *counts.entry(run.request_id.clone()).or_insert(0) += 1;
        }
        counts
    }

    /// Arrival times of probes and health checks.
    #[must_use]
    pub fn probe_times(&self) -> Vec<Instant> {
        self.rows.lock().probes.clone()
    }
}
