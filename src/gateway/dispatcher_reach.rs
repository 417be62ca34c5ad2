//! Evidence on the paths from this instance to the backend servers.

use std::sync::Arc;

use super::dispatcher::Dispatcher;
use super::server::Server;
use crate::reach::ReachEvidence;
use crate::reach::ServerReach;

impl Dispatcher {
    /// Records evidence on the paths to the servers in `reach`.
    #[must_use]
    pub fn with_reach(mut self, reach: Arc<ServerReach>) -> Self {
        self.reach = reach;
        self
    }

    /// What this instance knows about its paths to the servers.
    #[must_use]
    pub const fn reach(&self) -> &Arc<ServerReach> {
        &self.reach
    }

    /// Adds evidence on the path to a server.
    pub fn record_reach(&self, server: &Server, evidence: ReachEvidence) {
        let service = &server.row.service;
        let servers = self.state.lock().pools.get(service).map_or(1, |pool| pool.servers.len());
        self.reach.record(service, server.key, evidence, servers);
    }
}
