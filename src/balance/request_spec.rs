//! What a request requires of a server, the server selected for it, and its refusal.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::limit::RateLimit;

/// What a request requires of a server, and its time limits.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The route, whose service time is tracked separately.
    pub route: Arc<str>,
    /// Workspace that the request belongs to. Requests without a workspace are served in order of
    /// arrival.
    pub workspace: Option<Arc<str>>,
    /// Lower values are served first.
    pub priority: u32,
    /// Latency target for the whole request, from the caller's first attempt.
    pub target_ms: f64,
    /// When the request arrived at this instance.
    pub arrived_us: u64,
    /// Time since the caller's first attempt until it arrived here, spent at this instance or
    /// another.
    pub spent_before_us: u64,
    /// The caller does not wait for the answer beyond this time.
    pub deadline_us: u64,
    /// Servers that the request was already sent to.
    pub tried_servers: SmallVec<[Arc<str>; 4]>,
}

impl RequestSpec {
    /// Milliseconds left until the latency target is missed; negative afterwards.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "times of one request")]
    pub fn target_left_ms(&self, now_us: u64) -> f64 {
        let used_us = now_us.saturating_sub(self.arrived_us) + self.spent_before_us;
        self.target_ms - used_us as f64 / 1000.0
    }

    /// Milliseconds left until the deadline; 0 afterwards.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "times of one request")]
    pub fn deadline_left_ms(&self, now_us: u64) -> f64 {
        self.deadline_us.saturating_sub(now_us) as f64 / 1000.0
    }
}

/// The server selected for a request, and what this instance assumed about it at that time.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerChoice {
    /// ID of the server.
    pub server: Arc<str>,
    /// Requests running or queued on the server, including this one.
    pub running: u32,
    /// Expected time until the server answers.
    pub expected_ms: f64,
    /// Age of the last slowdown report, in microseconds; `None` if the server never sent one.
    pub slowdown_age_us: Option<u64>,
    /// Whether the server was assumed to be cold.
    pub cold: bool,
    /// The rate limit that the server advertises, if any.
    pub rate_limit: Option<RateLimit>,
    /// Age of the last report on the rate limit, in microseconds.
    pub rate_limit_age_us: Option<u64>,
}

/// A refused request: why, and when the caller should retry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusal {
    /// The service has no usable server. Otherwise, none has a free slot in time.
    pub no_server: bool,
    /// When the caller should retry.
    pub retry_after_ms: u64,
    /// Requests queued on this instance at the time of the refusal.
    pub waiting: usize,
    /// Usable slots at the time of the refusal, shared by all instances.
    pub slots: u32,
    /// Servers that advertise a rate limit.
    pub rate_limited: usize,
    /// Servers that asked this instance to send nothing for a time.
    pub in_cooldown: usize,
}
