//! What a cold server may get.

/// Views of the homes that may be held at the same time, each with its own homes that start requests
/// at a cold server: on two sides of a cut, and while homes change. Each keeps to its part.
const CONCURRENT_VIEWS_MAX: f64 = 3.0;
/// The span of the operators' bound, and a margin for requests that take longer than others on their
/// way, so that starts further apart arrive within one second: a connection and a health check.
pub const COLD_WINDOW_US: u64 = 1_300_000;

/// The operators' bound on what a cold server gets in any second from all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests a second that the service's cold servers tolerate.
    pub per_s: f64,
    /// By how much that may be exceeded, as a factor and in requests.
    pub overage: f64,
    pub slack: f64,
}

impl ColdLimit {
    /// Requests that a server may get in any second from the instances that hold one view; at least
    /// one, or a cold server would never be used.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a few requests, never below zero"
    )]
    pub fn starts_per_view(&self) -> u32 {
        let bound = self.per_s.max(0.0).mul_add(self.overage, self.slack);
        (bound / CONCURRENT_VIEWS_MAX).max(1.0) as u32
    }
}
