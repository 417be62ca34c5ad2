//! The load that a backend server reports.

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
