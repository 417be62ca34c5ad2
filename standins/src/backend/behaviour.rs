//! Switches that change the behaviour of a running backend server.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;

/// Faults of one backend server; all off at the start.
#[derive(Debug, Default)]
pub struct Behaviour {
    /// Announces draining in each response, and still runs requests.
    pub draining: AtomicBool,
    /// Responds 500 at once, without running the request.
    pub failing: AtomicBool,
    /// Responds 503 instead of queueing when all slots are busy.
    pub shedding: AtomicBool,
    /// Responds 503 with this `Retry-After` to all requests; 0 turns it off.
    pub retry_after_s: AtomicU32,
    /// Factor on the service time; 0 counts as 1.
    pub slow_factor: AtomicU32,
    /// Health checks get 200 without load and state headers, even while the server fails.
    pub always_healthy: AtomicBool,
    /// Accepts requests and never responds.
    pub frozen: AtomicBool,
    /// Reported load in percent of the actual one; 0 counts as 100.
    pub report_percent: AtomicU32,
    /// Number of next responses whose connection is closed in the middle of the body.
    pub bodies_to_truncate: AtomicU64,
    /// Whether those responses are chunked, without `Content-Length`.
    pub truncate_chunked: AtomicBool,
    /// Number of next requests that are run and whose connection is closed without a response.
    pub responses_to_drop: AtomicU64,
}
