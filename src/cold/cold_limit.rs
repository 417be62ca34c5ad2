//! The limit on requests to a cold server.

/// Views of the set of homes that may exist at the same time, on both sides of a network partition
/// and while homes change. The homes of each view send to a cold server, within an equal part of
/// the limit.
const CONCURRENT_VIEWS_MAX: f64 = 3.0;
/// Window in which instances enforce the limit, in microseconds: the second for which operators
/// state it, plus a margin for requests that arrive later than others because they wait for a new
/// connection and a health check.
pub const COLD_WINDOW_US: u64 = 1_300_000;

/// The operators' limit on the requests that a cold server gets in any second from all instances
/// together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests per second that cold servers of the service tolerate.
    pub per_s: f64,
    /// The operators tolerate this many times the limit.
    pub overage_factor: f64,
    /// Requests per second that the operators tolerate in addition.
    pub slack_requests: f64,
}

impl ColdLimit {
    /// Requests that a server may get in any second from the instances of one view. At least one,
    /// as a cold server would otherwise never be used.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a few requests, never below zero"
    )]
    pub fn starts_per_view(&self) -> u32 {
        let limit = self.per_s.max(0.0).mul_add(self.overage_factor, self.slack_requests);
        (limit / CONCURRENT_VIEWS_MAX).max(1.0) as u32
    }
}
