//! Reachability and failure rate of one backend server.

use super::SendOutcome;

/// Weight of one outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.3;
/// Half-life of the failure rate without new outcomes, so that a failing server is tried again.
const FAILURE_HALF_LIFE_US: f64 = 1_000_000.0;
/// Sample of a refusal for the failure rate, where a failure counts 1. Nothing ran, and the request
/// is sent elsewhere at once. With full weight, if all servers shed some requests, their expected
/// times exceed the latency targets threefold and requests wait although slots are free.
const REFUSAL_SAMPLE: f64 = 0.25;
/// Ejection time after the first connection failure; doubles with each one until the next
/// successful answer.
const EJECTION_BASE_US: u64 = 150_000;
/// Maximum number of doublings of the ejection time.
const EJECTION_DOUBLINGS_MAX: u32 = 4;
/// Consecutive unanswered health checks before the server is ejected. A single one may be lost on a
/// busy network.
const CHECK_TIMEOUTS_TO_EJECT: u32 = 2;
/// Ejection time after unanswered health checks.
const CHECK_TIMEOUTS_EJECTION_US: u64 = 300_000;
/// Connection failures since the last successful answer after which a broken connection ejects the
/// server. A single reset says little about it.
const BROKEN_CONNECTIONS_TO_EJECT: u32 = 3;

/// Health of one server, from sends and health checks.
#[derive(Clone, Debug)]
pub struct ServerHealth {
    /// Failure rate as of `failure_rate_at_us`, from 0 to 1.
    failure_rate: f64,
    failure_rate_at_us: u64,
    /// Connections that failed to open or broke since the last successful answer.
    connection_failures: u32,
    ejected_until_us: u64,
    last_contact_us: u64,
    /// Consecutive health checks without a response.
    check_timeouts: u32,
    /// Whether the last health check reported the server as unhealthy.
    unhealthy: bool,
}

impl ServerHealth {
    /// A server without known failures.
    #[must_use]
    pub const fn new(now_us: u64) -> Self {
        Self {
            failure_rate: 0.0,
            failure_rate_at_us: now_us,
            connection_failures: 0,
            ejected_until_us: 0,
            last_contact_us: now_us,
            check_timeouts: 0,
            unhealthy: false,
        }
    }

    /// Records the outcome of a send. `Cancelled` and `Unsent` are ignored, as they say nothing
    /// about the server.
    pub fn record_outcome(&mut self, outcome: SendOutcome, now_us: u64) {
        match outcome {
            SendOutcome::Cancelled | SendOutcome::Unsent => return,
            SendOutcome::Answered => {
                self.connection_failures = 0;
                self.last_contact_us = now_us;
            }
            SendOutcome::Failed | SendOutcome::Refused => self.last_contact_us = now_us,
            SendOutcome::Unreachable => self.eject(now_us),
            SendOutcome::Broken => {
                self.connection_failures += 1;
                if self.connection_failures >= BROKEN_CONNECTIONS_TO_EJECT {
                    self.eject(now_us);
                }
            }
            SendOutcome::TimedOut => {}
        }
        let failures = self.failure_rate(now_us);
        let sample = match outcome {
            SendOutcome::Answered => 0.0,
            SendOutcome::Refused => REFUSAL_SAMPLE,
            _ => 1.0,
        };
        self.failure_rate = failures + OUTCOME_WEIGHT * (sample - failures);
        self.failure_rate_at_us = now_us;
    }

    fn eject(&mut self, now_us: u64) {
        let doublings = self.connection_failures.min(EJECTION_DOUBLINGS_MAX);
        self.connection_failures += 1;
        self.ejected_until_us = now_us + (EJECTION_BASE_US << doublings);
    }

    /// Whether the server is ejected for a while because it seems unreachable.
    #[must_use]
    pub const fn is_ejected(&self, now_us: u64) -> bool {
        now_us < self.ejected_until_us
    }

    /// Failure rate from 0 to 1, decaying while there are no new outcomes. Without it, a server
    /// that fails instantly would look idle and attract all requests.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "an age in microseconds")]
    pub fn failure_rate(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.failure_rate_at_us) as f64;
        self.failure_rate * (-age_us / FAILURE_HALF_LIFE_US).exp2()
    }

    /// Records that the server sent something.
    pub const fn record_contact(&mut self, now_us: u64) {
        self.last_contact_us = now_us;
    }

    /// When the server last sent something.
    #[must_use]
    pub const fn last_contact_us(&self) -> u64 {
        self.last_contact_us
    }

    /// Records the response to a health check.
    pub const fn record_health_check(&mut self, healthy: bool, now_us: u64) {
        self.unhealthy = !healthy;
        self.check_timeouts = 0;
        self.last_contact_us = now_us;
    }

    /// Records a health check without a response.
    pub fn record_check_timeout(&mut self, now_us: u64) {
        self.check_timeouts += 1;
        if self.check_timeouts >= CHECK_TIMEOUTS_TO_EJECT {
            self.ejected_until_us = self.ejected_until_us.max(now_us + CHECK_TIMEOUTS_EJECTION_US);
        }
    }

    /// Whether the last health check reported the server as unhealthy.
    #[must_use]
    pub const fn is_unhealthy(&self) -> bool {
        self.unhealthy
    }
}
