//! What a backend server saw, to compare with what callers were told.

use std::collections::HashMap;

use parking_lot::Mutex;
use tokio::time::Instant;

/// One request that was run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request_id: String,
    pub at: Instant,
}

#[derive(Debug, Default)]
struct Rows {
    runs: Vec<Run>,
    measuring: Vec<Instant>,
    turned_away: Vec<Instant>,
    crashes: Vec<Instant>,
}

/// The log of one backend server.
#[derive(Debug, Default)]
pub struct Record {
    rows: Mutex<Rows>,
}

impl Record {
    pub(super) fn ran(&self, request_id: &str) {
        let run = Run { request_id: request_id.into(), at: Instant::now() };
        self.rows.lock().runs.push(run);
    }

    pub(super) fn measured(&self) {
        self.rows.lock().measuring.push(Instant::now());
    }

    pub(super) fn turned_away(&self) {
        self.rows.lock().turned_away.push(Instant::now());
    }

    /// When the server turned a request away and asked for rest.
    #[must_use]
    pub fn turns_away(&self) -> Vec<Instant> {
        self.rows.lock().turned_away.clone()
    }

    pub(super) fn crashed(&self) {
        self.rows.lock().crashes.push(Instant::now());
    }

    /// When the server crashed.
    #[must_use]
    pub fn crashes(&self) -> Vec<Instant> {
        self.rows.lock().crashes.clone()
    }

    /// All runs, in the order they began.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.rows.lock().runs.clone()
    }

    /// How often each request id ran.
    #[must_use]
    pub fn counts(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for run in &self.rows.lock().runs {
            *counts.entry(run.request_id.clone()).or_insert(0) += 1;
        }
        counts
    }

    /// When calls arrived that were made only to measure.
    #[must_use]
    pub fn measuring(&self) -> Vec<Instant> {
        self.rows.lock().measuring.clone()
    }
}
