//! Checks whether a few backend servers can be reached. Only opens connections, which requests use
//! later: probes are limited by the measuring budget.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::task::JoinSet;

use crate::reach::CheckResult;
use crate::reach::ReachEvidence;
use crate::reach::ServerChecker;
use crate::route::CheckoutError;
use crate::route::Router;
use crate::route::ServiceState;
use crate::route::Upstream;

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Checks servers of the declared services.
#[derive(Clone, Debug)]
pub struct DaemonServerChecker {
    pub router: Router,
}

impl DaemonServerChecker {
    /// Opens a connection to a server; `None` if this instance has as many open as it may have.
    async fn check_server(self, state: Arc<ServiceState>, upstream: Arc<Upstream>) -> Option<bool> {
        let (evidence, reached) = match upstream.open_new(CONNECT_TIMEOUT).await {
            Ok(conn) => {
                conn.return_to_pool();
                (ReachEvidence::RespondedOnNewConnection, true)
            }
            Err(CheckoutError::TooManyOpen) => return None,
            Err(CheckoutError::Unreachable) => (ReachEvidence::ConnectFailed, false),
        };
        self.router.record_reach(&state, &upstream, evidence);
        Some(reached)
    }
}

impl ServerChecker for DaemonServerChecker {
    fn services(&self) -> Vec<Arc<str>> {
        let services = self.router.board.services();
        let with_servers = services.values().filter(|state| !state.spec.backend_servers.is_empty());
        with_servers.map(|state| state.spec.name.as_str().into()).collect()
    }

    async fn check(&self, service: &str, servers_max: usize) -> CheckResult {
        let Some(state) = self.router.board.services().get(service).cloned() else {
            return CheckResult::default();
        };
        let servers = state.runtime.slot_queue.declared_servers();
        let mut checks = JoinSet::new();
        for server in servers.sample(&mut rand::rng(), servers_max) {
            let upstream = Arc::clone(&server.upstream);
            checks.spawn(self.clone().check_server(Arc::clone(&state), upstream));
        }
        CheckResult::collect(checks).await
    }
}
