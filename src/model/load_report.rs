//! What a backend server tells of its load.

/// Load at the moment of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    pub running: u32,
    pub waiting: u32,
    /// How long work takes there now; 100 is the usual.
    pub slowdown_percent: u32,
}
