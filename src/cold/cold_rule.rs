//! What holds for the cold servers of one service.

use super::ColdLimit;

/// The operators' rule for a service's cold servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdRule {
    /// `None` for a service whose cold servers bear as much as others.
    pub limit: Option<ColdLimit>,
    /// How long a server stays cold, in microseconds.
    pub warmup_us: u64,
}
