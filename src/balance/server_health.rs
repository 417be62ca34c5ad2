//! Whether one backend server is there and does its work.

use super::SendOutcome;

/// Weight of one end in the share of failures.
const FAILURE_WEIGHT: f64 = 0.3;
/// The share of failures halves in this time without an end, so that a server is tried again.
const FAILURE_HALF_LIFE_US: f64 = 1_000_000.0;
/// What a refusal counts as against a failure: nothing ran, and the request goes elsewhere at once.
/// Counted in full, servers that all shed some of their requests look three times slower than the
/// aims allow, and requests wait though there are slots.
const REFUSAL_SAMPLE: f64 = 0.25;
/// First pause after a connection could not be opened or broke; doubles with each in a row.
const EJECTION_BASE_US: u64 = 150_000;
const EJECTION_DOUBLINGS_MAX: u32 = 4;
/// Health checks without answer in a row before a server counts as gone, and for how long; one
/// alone is lost by a busy network.
const CHECK_TIMEOUTS_MAX: u32 = 2;
const CHECK_TIMEOUTS_EJECTION_US: u64 = 300_000;
/// Broken connections in a row before the pause: a single reset says little of the server.
const BROKEN_CONNECTIONS_MAX: u32 = 3;

/// What sends and health checks told of a server's health.
#[derive(Clone, Debug)]
pub struct ServerHealth {
    /// Share of ends that were failures, as of `failures_at_us`.
    failure_rate: f64,
    failure_rate_at_us: u64,
    connection_failures: u32,
    ejected_until_us: u64,
    last_contact_us: u64,
    /// Health checks without answer in a row.
    check_timeouts: u32,
    /// Its health check says that it is not well.
    unhealthy: bool,
}

impl ServerHealth {
    /// Of a server of which nothing bad is known.
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

    /// Takes note of the end of a send that says something of the server.
    pub fn record_outcome(&mut self, end: SendOutcome, now_us: u64) {
        match end {
            SendOutcome::Cancelled | SendOutcome::Unsent => return,
            SendOutcome::Answered => {
                self.connection_failures = 0;
                self.last_contact_us = now_us;
            }
            SendOutcome::Failed | SendOutcome::Refused => self.last_contact_us = now_us,
            SendOutcome::Unreachable => self.eject(now_us),
            SendOutcome::Broken => {
                self.connection_failures += 1;
                if self.connection_failures >= BROKEN_CONNECTIONS_MAX {
                    self.eject(now_us);
                }
            }
            SendOutcome::TimedOut => {}
        }
        let failures = self.failure_rate(now_us);
        let sample = match end {
            SendOutcome::Answered => 0.0,
            SendOutcome::Refused => REFUSAL_SAMPLE,
            _ => 1.0,
        };
        self.failure_rate = failures + FAILURE_WEIGHT * (sample - failures);
        self.failure_rate_at_us = now_us;
    }

    fn eject(&mut self, now_us: u64) {
        let doublings = self.connection_failures.min(EJECTION_DOUBLINGS_MAX);
        self.connection_failures += 1;
        self.ejected_until_us = now_us + (EJECTION_BASE_US << doublings);
    }

    /// Whether it is left alone for a moment, as it seems not to be there.
    #[must_use]
    pub const fn is_ejected(&self, now_us: u64) -> bool {
        now_us < self.ejected_until_us
    }

    /// Share of failures, fading while nothing ends there: a server that fails at once must not
    /// look idle and so attract everything.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "an age in microseconds")]
    pub fn failure_rate(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.failure_rate_at_us) as f64;
        self.failure_rate * (-age_us / FAILURE_HALF_LIFE_US).exp2()
    }

    /// Takes note of any word of it.
    pub const fn record_contact(&mut self, now_us: u64) {
        self.last_contact_us = now_us;
    }

    /// When it was heard last.
    #[must_use]
    pub const fn last_contact_us(&self) -> u64 {
        self.last_contact_us
    }

    /// Takes in the answer to a health check.
    pub const fn record_health_check(&mut self, well: bool, now_us: u64) {
        self.unhealthy = !well;
        self.check_timeouts = 0;
        self.last_contact_us = now_us;
    }

    /// Takes note that a health check got no answer.
    pub fn record_check_timeout(&mut self, now_us: u64) {
        self.check_timeouts += 1;
        if self.check_timeouts >= CHECK_TIMEOUTS_MAX {
            self.ejected_until_us = self.ejected_until_us.max(now_us + CHECK_TIMEOUTS_EJECTION_US);
        }
    }

    /// Whether its health check says that it is not well.
    #[must_use]
    pub const fn is_unhealthy(&self) -> bool {
        self.unhealthy
    }
}
