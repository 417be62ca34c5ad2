//! Checks of backend servers, made by the part of the instance that holds their connections.

use std::sync::Arc;

use super::CheckResult;

/// Checks whether servers can be reached now.
pub trait ServerChecker: Clone + Send + Sync + 'static {
    /// The services that have backend servers.
    fn services(&self) -> Vec<Arc<str>>;

    /// Opens new connections to up to `servers_max` servers of a service, chosen at random, and
    /// sends a health check on each.
    fn check(&self, service: &str, servers_max: usize) -> impl Future<Output = CheckResult> + Send;
}
