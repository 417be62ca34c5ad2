//! The load that a backend server reports.

/// Largest plausible number of requests at one server.
const REQUESTS_MAX: u32 = 1_000_000;
/// Largest plausible slowdown: a thousand times as slow as usual.
const SLOWDOWN_MAX_PERCENT: u32 = 100_000;

/// Load of a backend server at the time of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it is processing.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// How long it takes per request, in percent of its normal time: 200 is half its normal speed.
    pub slowdown_percent: u32,
}

impl LoadReport {
    /// Whether a server can be in this state. Expected times are computed with the numbers; a slowdown
    /// of 0 would make the usual service time of a route infinite.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        (1..=SLOWDOWN_MAX_PERCENT).contains(&self.slowdown_percent)
            && self.running <= REQUESTS_MAX
            && self.waiting <= REQUESTS_MAX
    }
}
