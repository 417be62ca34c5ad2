//! What a request asks of a service, and what it is told.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::limit::RateLimit;

/// What a request needs of a server.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    pub route: Arc<str>,
    /// Whose it is; of requests of no workspace the first is served first.
    pub workspace: Option<Arc<str>>,
    /// 0 is served first.
    pub priority: u32,
    pub target_ms: f64,
    /// When it arrived here.
    pub arrived_us: u64,
    /// Time that its caller spent on it before, at this instance or another.
    pub spent_before_us: u64,
    /// Nobody waits for the answer after this.
    pub deadline_us: u64,
    /// Servers that it was sent to already.
    pub tried_servers: SmallVec<[Arc<str>; 4]>,
}

impl RequestSpec {
    /// Milliseconds until its aim is missed; below zero once it is.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "times of one request")]
    pub fn target_left_ms(&self, now_us: u64) -> f64 {
        let used_us = now_us.saturating_sub(self.arrived_us) + self.spent_before_us;
        self.target_ms - used_us as f64 / 1000.0
    }

    /// Milliseconds until nobody waits for the answer any more.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "times of one request")]
    pub fn deadline_left_ms(&self, now_us: u64) -> f64 {
        self.deadline_us.saturating_sub(now_us) as f64 / 1000.0
    }
}

/// The server chosen for a request, and what was believed of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerChoice {
    pub server: Arc<str>,
    /// Requests there, this one included.
    pub running: u32,
    pub expected_ms: f64,
    /// Age of the last word on its pace; `None` for a server that never told it.
    pub slowdown_age_us: Option<u64>,
    /// Whether it was believed cold.
    pub cold: bool,
    /// The limit that it named; `None` without one.
    pub rate_limit: Option<RateLimit>,
    /// Age of the server's last word on that.
    pub rate_limit_age_us: Option<u64>,
}

/// A request is not served; when to come back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusal {
    /// No server of the service may be used, as against none has room.
    pub no_server: bool,
    pub retry_after_ms: u64,
    /// Requests that waited here when it was refused.
    pub waiting: usize,
    /// Slots that could be used then, by all instances together.
    pub slots: u32,
    /// Servers that name limits, and servers that asked this instance for rest.
    pub rate_limited: usize,
    pub in_cooldown: usize,
}
