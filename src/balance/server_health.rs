//! Whether one backend server is there and does its work.

use super::SendEnd;

/// Weight of one end in the share of failures.
const FAILURE_WEIGHT: f64 = 0.3;
/// The share of failures halves in this time without an end, so that a server is tried again.
const FAILURE_HALF_LIFE_US: f64 = 1_000_000.0;
/// What a refusal counts as against a failure: nothing ran, and the request goes elsewhere at once.
/// Counted in full, servers that all shed some of their requests look three times slower than the
/// aims allow, and requests wait though there are slots.
const REFUSAL_SAMPLE: f64 = 0.25;
/// First pause after a connection could not be opened or broke; doubles with each in a row.
const PAUSE_US: u64 = 150_000;
const PAUSE_DOUBLINGS_MAX: u32 = 4;
/// Health checks without answer in a row before a server counts as gone, and for how long; one
/// alone is lost by a busy network.
const MISSES_MAX: u32 = 2;
const MISSED_PAUSE_US: u64 = 300_000;
/// Broken connections in a row before the pause: a single reset says little of the server.
const RESETS_MAX: u32 = 3;

/// What sends and health checks told of a server's health.
#[derive(Clone, Debug)]
pub struct ServerHealth {
    /// Share of ends that were failures, as of `failures_at_us`.
    failures: f64,
    failures_at_us: u64,
    breaks: u32,
    paused_until_us: u64,
    heard_us: u64,
    /// Health checks without answer in a row.
    misses: u32,
    /// Its health check says that it is not well.
    unwell: bool,
}

impl ServerHealth {
    /// Of a server of which nothing bad is known.
    #[must_use]
    pub const fn new(now_us: u64) -> Self {
        Self {
            failures: 0.0,
            failures_at_us: now_us,
            breaks: 0,
            paused_until_us: 0,
            heard_us: now_us,
            misses: 0,
            unwell: false,
        }
    }

    /// Takes note of the end of a send that says something of the server.
    pub fn ended(&mut self, end: SendEnd, now_us: u64) {
        match end {
            SendEnd::Cancelled | SendEnd::Unsent => return,
            SendEnd::Answered => {
                self.breaks = 0;
                self.heard_us = now_us;
            }
            SendEnd::Failed | SendEnd::Refused => self.heard_us = now_us,
            SendEnd::Unreachable => self.pause(now_us),
            SendEnd::Broken => {
                self.breaks += 1;
                if self.breaks >= RESETS_MAX {
                    self.pause(now_us);
                }
            }
            SendEnd::TimedOut => {}
        }
        let failures = self.failures(now_us);
        let sample = match end {
            SendEnd::Answered => 0.0,
            SendEnd::Refused => REFUSAL_SAMPLE,
            _ => 1.0,
        };
        self.failures = failures + FAILURE_WEIGHT * (sample - failures);
        self.failures_at_us = now_us;
    }

    fn pause(&mut self, now_us: u64) {
        let doublings = self.breaks.min(PAUSE_DOUBLINGS_MAX);
        self.breaks += 1;
        self.paused_until_us = now_us + (PAUSE_US << doublings);
    }

    /// Whether it is left alone for a moment, as it seems not to be there.
    #[must_use]
    pub const fn paused(&self, now_us: u64) -> bool {
        now_us < self.paused_until_us
    }

    /// Share of failures, fading while nothing ends there: a server that fails at once must not
    /// look idle and so attract everything.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "an age in microseconds")]
    pub fn failures(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.failures_at_us) as f64;
        self.failures * (-age_us / FAILURE_HALF_LIFE_US).exp2()
    }

    /// Takes note of any word of it.
    pub const fn heard(&mut self, now_us: u64) {
        self.heard_us = now_us;
    }

    /// When it was heard last.
    #[must_use]
    pub const fn heard_us(&self) -> u64 {
        self.heard_us
    }

    /// Takes in the answer to a health check.
    pub const fn checked(&mut self, well: bool, now_us: u64) {
        self.unwell = !well;
        self.misses = 0;
        self.heard_us = now_us;
    }

    /// Takes note that a health check got no answer.
    pub fn unheard(&mut self, now_us: u64) {
        self.misses += 1;
        if self.misses >= MISSES_MAX {
            self.paused_until_us = self.paused_until_us.max(now_us + MISSED_PAUSE_US);
        }
    }

    /// Whether its health check says that it is not well.
    #[must_use]
    pub const fn unwell(&self) -> bool {
        self.unwell
    }
}
