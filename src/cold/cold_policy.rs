//! The handling of a service's cold servers.

use super::ColdLimit;

/// The operators' policy for the cold servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdPolicy {
    /// `None` if cold servers of the service tolerate as much as others.
    pub limit: Option<ColdLimit>,
    /// How long a server stays cold, in microseconds.
    pub warmup_us: u64,
}
