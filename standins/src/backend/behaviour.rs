//! Switches that change how a backend server behaves while it runs.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;

/// All faults of one backend server; off at the start.
#[derive(Debug, Default)]
pub struct Behaviour {
    /// Says so in each answer, and goes on working.
    pub draining: AtomicBool,
    /// Answers work with 500 at once.
    pub failing: AtomicBool,
    /// Answers work with 503 instead of queueing it.
    pub shedding: AtomicBool,
    /// Answers all work with 503 and asks for so many seconds of rest; 0 changes nothing.
    pub retry_after_s: AtomicU32,
    /// Multiplies the time of work; 0 and 1 change nothing.
    pub slow_factor: AtomicU32,
    /// Health says 200 whatever else is true.
    pub always_healthy: AtomicBool,
    /// Takes requests in and never answers.
    pub frozen: AtomicBool,
    /// Reported load is this much per cent of the true one; 0 stands for 100.
    pub report_percent: AtomicU32,
    /// So many next answers are cut in the middle of the body.
    pub bodies_to_truncate: AtomicU64,
    /// Those answers are sent in chunks, without telling their length beforehand.
    pub truncate_chunked: AtomicBool,
    /// So many next requests are run, and the connection is closed without an answer.
    pub responses_to_drop: AtomicU64,
}
