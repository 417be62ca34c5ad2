//! Maintains the dispatcher's servers as they are listed, restarted and removed.

use std::sync::Arc;
use std::time::Duration;

use log::info;

use super::dispatcher::Dispatcher;
use super::dispatcher::DispatcherState;
use super::grant::Grant;
use super::server::Server;
use crate::balance::ServerSubset;
use crate::balance::TrackedServer;
use crate::clock::now_us;
use crate::model::ServerRow;

/// Maximum number of servers per service known to an instance that is not a home.
const SAMPLE_SERVERS_MAX: usize = 16;

impl DispatcherState {
    /// The state of one start of a server; `None` once a later start is known.
    pub(super) fn tracked_server(&mut self, server: &Server) -> Option<&mut TrackedServer> {
        let tracked = self.pools.get_mut(&server.row.service)?.server_mut(&server.row.id)?;
        (tracked.key == server.key).then_some(tracked)
    }

    /// Marks the latest server listed at an address as used, and the earlier one as superseded.
    fn claim_address(&mut self, row: &ServerRow) {
        if let Some(before) = self.claims.claim(row.address, &row.id) {
            info!(
                event = "address-taken-over", server = &*row.id, before = &*before,
                address = row.address.to_string().as_str();
                "the earlier server is not used while both are listed"
            );
            self.set_superseded(&before, true);
        }
        self.set_superseded(&row.id, false);
    }

    fn release_address(&mut self, row: &ServerRow) {
        if let Some(holder) = self.claims.release(row.address, &row.id) {
            self.set_superseded(&holder, false);
        }
    }

    fn set_superseded(&mut self, id: &str, superseded: bool) {
        if let Some(server) = self.servers.get(id).cloned()
            && let Some(tracked) = self.tracked_server(&server)
        {
            tracked.set_superseded(superseded);
        }
    }

    fn mark_unlisted(&mut self, server: &Server, grace: Duration) {
        let until_us = now_us() + u64::try_from(grace.as_micros()).unwrap_or(u64::MAX);
        self.any_unlisted = true;
        if grace.is_zero() {
            self.release_address(&server.row);
        }
        if let Some(tracked) = self.tracked_server(server) {
            tracked.unlist(until_us);
        }
    }

    /// Removes servers that are neither listed nor in use, if any was unlisted.
    fn remove_unlisted(&mut self) {
        if !self.any_unlisted {
            return;
        }
        let now_us = now_us();
        let Self { pools, servers, by_key, starts, claims, .. } = self;
        for pool in pools.values_mut() {
            pool.remove_unlisted(now_us);
        }
        let mut holders = Vec::new();
        servers.retain(|id, server| {
            let kept = pools
                .get_mut(&server.row.service)
                .is_some_and(|pool| pool.server_mut(id).is_some());
            if !kept {
                starts.mark_gone(id, now_us);
                by_key.remove(&server.key);
                holders.extend(claims.release(server.row.address, id));
            }
            kept
        });
        starts.remove_expired(now_us);
        let mut tracked = pools.values().flat_map(|pool| &pool.servers);
        self.any_unlisted = tracked.any(TrackedServer::is_unlisted);
        self.list_version += 1;
        for holder in holders {
            self.set_superseded(&holder, false);
        }
    }

    /// Discards the state of a server that started again. Within the same service the pool replaces
    /// that state itself; the pool of another service would keep it.
    fn discard_previous_start(&mut self, before: &Server, row: &ServerRow) {
        info!(
            event = "server-started-anew", server = &*row.id, service = &*before.row.service,
            before_ms = before.row.started_ms;
            "the state of the earlier start is discarded"
        );
        if before.row.service != row.service
            && let Some(pool) = self.pools.get_mut(&before.row.service)
        {
            pool.remove_server(&row.id);
        }
    }
}

impl Dispatcher {
    /// Lists a server, unless the row is from an earlier start or an earlier report than the latest
    /// known one.
    pub fn list_server(&self, row: ServerRow) {
        let mut undelivered = Vec::new();
        let mut state = self.state.lock();
        let Some(row) = state.starts.accept(row, now_us()) else {
            return;
        };
        self.apply_row(&mut state, &row, &mut undelivered);
    }

    /// Lists a server as a restored store has it: a server that was removed since is not listed
    /// again unless its entry lasts.
    pub fn list_restored_server(&self, row: ServerRow) {
        let held = self.state.lock().starts.hold_if_gone(&row, now_us());
        if !held {
            self.list_server(row);
        }
    }

    /// Applies the row of a server. A restarted server has no memory of its earlier requests, so
    /// its connections, slots, slowdown and failures are discarded here as well.
    fn apply_row(
        &self,
        state: &mut DispatcherState,
        row: &ServerRow,
        undelivered: &mut Vec<Grant>,
    ) {
        let before = state.servers.get(&row.id).cloned();
        if before.as_ref().is_none_or(|before| !before.row.is_same_start(row)) {
            if let Some(before) = before {
                state.release_address(&before.row);
                state.discard_previous_start(&before, row);
                state.by_key.remove(&before.key);
            }
            let server = Arc::new(Server::new(row.clone()));
            state.by_key.insert(server.key, Arc::clone(&server));
            state.servers.insert(Arc::clone(&row.id), server);
        }
        state.list_version += 1;
        let service = Arc::clone(&row.service);
        let evacuated = state.evacuations.contains(&row.zone);
        let draining = state.starts.is_draining(row);
        if state.pools.get(&service).is_none_or(|pool| pool.servers.is_empty()) {
            state.update_start_limits(&service);
        }
        let pool = state.pools.entry(Arc::clone(&service)).or_default();
        let tracked = pool.upsert_server(row.clone(), now_us());
        if evacuated {
            tracked.evacuate();
        }
        if draining {
            tracked.mark_draining();
        }
        state.claim_address(row);
        self.serve_waiting(state, &service, undelivered);
    }

    /// Ids of a sample of usable servers of each service, preferring those in `zone`.
    #[must_use]
    pub fn sample(&self, zone: u64) -> Vec<Arc<str>> {
        let state = self.state.lock();
        let now_us = now_us();
        state
            .pools
            .values()
            .flat_map(|pool| pool.usable_server_ids(zone, SAMPLE_SERVERS_MAX, now_us))
            .collect()
    }

    /// Of each service, the servers of this subset, to which requests are assigned first.
    #[must_use]
    pub fn servers_in_subset(&self, subset: &ServerSubset) -> Vec<Arc<Server>> {
        let state = self.state.lock();
        let pools = state.pools.values();
        let ids = pools.flat_map(|pool| {
            subset.select(&pool.servers).into_iter().map(|index| &pool.servers[index].row.id)
        });
        ids.filter_map(|id| state.servers.get(id).cloned()).collect()
    }

    /// Services of which any server may be used.
    #[must_use]
    pub fn services_with_servers(&self) -> Vec<Arc<str>> {
        let state = self.state.lock();
        let in_service = |tracked: &TrackedServer| tracked.in_service(now_us());
        let with_servers =
            state.pools.iter().filter(|(_, pool)| pool.servers.iter().any(in_service));
        with_servers.map(|(service, _)| Arc::clone(service)).collect()
    }

    /// The servers of a service that may be used, whether or not they respond.
    #[must_use]
    pub fn servers_in_service(&self, service: &str) -> Vec<Arc<Server>> {
        let state = self.state.lock();
        let tracked = state.pools.get(service).into_iter().flat_map(|pool| &pool.servers);
        let in_service = tracked.filter(|tracked| {
            tracked.in_service(now_us()) && !tracked.start_limits.in_cooldown(now_us())
        });
        in_service.filter_map(|tracked| state.servers.get(&tracked.row.id).cloned()).collect()
    }

    /// Whether any server is known.
    #[must_use]
    pub fn has_servers(&self) -> bool {
        !self.state.lock().servers.is_empty()
    }

    /// Whether any server of a service is known.
    #[must_use]
    pub fn has_servers_of(&self, service: &str) -> bool {
        let state = self.state.lock();
        state.pools.get(service).is_some_and(|pool| !pool.servers.is_empty())
    }

    /// Handles the removal of a server from the platform's list. It may be used for `grace` longer.
    pub fn unlist_server(&self, id: &str, grace: Duration) {
        let mut state = self.state.lock();
        state.starts.drop_held(id);
        if let Some(server) = state.servers.get(id).cloned() {
            state.mark_unlisted(&server, grace);
        }
    }

    /// Stops using a server because another server now has its address. Does not affect a later
    /// start of the same server, which may have another address.
    pub fn unlist_displaced(&self, server: &Server) {
        self.state.lock().mark_unlisted(server, Duration::ZERO);
    }

    /// Removes servers and connections that are no longer needed, and applies held rows that
    /// nothing contradicted.
    pub(super) fn clean_up(&self) {
        let mut undelivered = Vec::new();
        let mut state = self.state.lock();
        for row in state.starts.take_due(now_us()) {
            self.apply_row(&mut state, &row, &mut undelivered);
        }
        state.in_use.close_expired();
        state.remove_silent_peers(now_us());
        state.remove_unlisted();
    }
}
