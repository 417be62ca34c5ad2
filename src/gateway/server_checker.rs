//! Checks a few backend servers over new connections.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::task::JoinSet;

use super::Dialect;
use super::caller_handler::CurrentRouteTable;
use super::dispatcher::Dispatcher;
use super::health_check::check_health;
use super::server::Server;
use crate::board::Blackboard;
use crate::board::Counter;
use crate::reach::CheckResult;
use crate::reach::ReachEvidence;
use crate::reach::ServerChecker;

/// Timeout of a check, its connection included.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Checks servers of the gateway. Clones share state.
#[derive(Clone, Debug)]
pub struct GatewayServerChecker<D> {
    dialect: D,
    board: Arc<Blackboard>,
    dispatcher: Dispatcher,
    table: CurrentRouteTable,
}

impl<D: Dialect> GatewayServerChecker<D> {
    /// A checker of the servers that `dispatcher` knows.
    #[must_use]
    pub fn new(
        dialect: D,
        board: Arc<Blackboard>,
        dispatcher: Dispatcher,
        table: CurrentRouteTable,
    ) -> Self {
        Self { dialect, board, dispatcher, table }
    }

    /// Opens a connection to a server and sends a health check; returns whether it responded, or
    /// `None` if all connections that this instance may open are in use.
    async fn check_server(self, server: Arc<Server>, path: Arc<str>) -> Option<bool> {
        self.board.counters.add(Counter::Probes);
        self.dispatcher.record_use(&server);
        let checked = async {
            let mut conn = match server.conns.open_new(CHECK_TIMEOUT).await {
                Ok(conn) => conn,
                Err(err) => return (err.kind() != ErrorKind::QuotaExceeded).then_some(false),
            };
            let keep = check_health(&self.dialect, &self.dispatcher, &server, &mut conn, &path);
            let keep = keep.await;
            if matches!(keep, Ok(true)) {
                server.conns.put_back(conn);
            }
            Some(keep.is_ok())
        };
        let reached = tokio::time::timeout(CHECK_TIMEOUT, checked).await.unwrap_or(Some(false));
        if reached == Some(false) {
            self.dispatcher.record_reach(&server, ReachEvidence::ConnectFailed);
        }
        reached
    }
}

impl<D: Dialect> ServerChecker for GatewayServerChecker<D> {
    fn services(&self) -> Vec<Arc<str>> {
        let table = self.table.load();
        let declared = table.as_ref().map(|table| &table.services);
        let with_servers = self.dispatcher.services_with_servers();
        let is_declared =
            |service: &Arc<str>| declared.is_some_and(|services| services.contains_key(service));
        with_servers.into_iter().filter(is_declared).collect()
    }

    async fn check(&self, service: &str, servers_max: usize) -> CheckResult {
        let table = self.table.load_full();
        let config = table.as_ref().and_then(|table| table.services.get(service));
        let Some(path) = config.map(|config| Arc::from(config.health_path.as_str())) else {
            return CheckResult::default();
        };
        let servers = self.dispatcher.servers_in_service(service);
        let mut checks = JoinSet::new();
        for server in servers.sample(&mut rand::rng(), servers_max) {
            checks.spawn(self.clone().check_server(Arc::clone(server), Arc::clone(&path)));
        }
        CheckResult::collect(checks).await
    }
}
