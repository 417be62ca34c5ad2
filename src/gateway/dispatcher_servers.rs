//! The servers that a dispatcher hands out slots of: listed, started anew, gone.

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

/// Servers of a service that an instance which is no home knows.
const SAMPLE_SERVERS_MAX: usize = 16;

impl DispatcherState {
    /// What is believed of one start of a server; `None` once a later one is known.
    pub(super) fn tracked_server(&mut self, server: &Server) -> Option<&mut TrackedServer> {
        let track = self.pools.get_mut(&server.row.service)?.server_mut(&server.row.id)?;
        (track.key == server.key).then_some(track)
    }

    /// Who of those that are listed at one address is used.
    fn claim_address(&mut self, row: &ServerRow) {
        if let Some(before) = self.claims.claim(row.address, &row.id) {
            info!(
                event = "address-taken-over", server = &*row.id, before = &*before,
                address = row.address.to_string().as_str();
                "the one before is not used while both are listed"
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
            && let Some(track) = self.tracked_server(&server)
        {
            track.set_superseded(superseded);
        }
    }

    fn mark_unlisted(&mut self, server: &Server, grace: Duration) {
        let until_us = now_us() + u64::try_from(grace.as_micros()).unwrap_or(u64::MAX);
        self.any_unlisted = true;
        if grace.is_zero() {
            self.release_address(&server.row);
        }
        if let Some(track) = self.tracked_server(server) {
            track.unlist(until_us);
        }
    }

    /// Forgets the servers that are neither listed nor in use, if any was unlisted.
    fn forget_unlisted(&mut self) {
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
        let mut tracks = pools.values().flat_map(|pool| &pool.servers);
        self.any_unlisted = tracks.any(TrackedServer::is_unlisted);
        self.list_version += 1;
        for holder in holders {
            self.set_superseded(&holder, false);
        }
    }

    /// Takes note of a later start. The pool that it is listed in replaces what it believes; one of
    /// another service would keep it.
    fn forget_previous_start(&mut self, before: &Server, row: &ServerRow) {
        info!(
            event = "server-started-anew", server = &*row.id, service = &*before.row.service,
            before_ms = before.row.started_ms;
            "what was known of it is forgotten"
        );
        if before.row.service != row.service
            && let Some(pool) = self.pools.get_mut(&before.row.service)
        {
            pool.remove_server(&row.id);
        }
    }
}

impl Dispatcher {
    /// Lists a server, unless the row is of an earlier start, or an earlier report, than what is
    /// known already.
    pub fn list_server(&self, row: ServerRow) {
        let mut undelivered = Vec::new();
        let mut state = self.state.lock();
        let Some(row) = state.starts.accept(row, now_us()) else {
            return;
        };
        self.apply_row(&mut state, &row, &mut undelivered);
    }

    /// A server that starts again holds and knows nothing of before, so neither do we: its
    /// connections, slots, pace and failures go with the start that they were of.
    fn apply_row(
        &self,
        state: &mut DispatcherState,
        row: &ServerRow,
        undelivered: &mut Vec<Grant>,
    ) {
        let before = state.servers.get(&row.id).cloned();
        if before.as_ref().is_none_or(|before| !before.row.same_start(row)) {
            if let Some(before) = before {
                state.release_address(&before.row);
                state.forget_previous_start(&before, row);
                state.by_key.remove(&before.key);
            }
            let server = Arc::new(Server::new(row.clone()));
            state.by_key.insert(server.key, Arc::clone(&server));
            state.servers.insert(Arc::clone(&row.id), server);
        }
        state.list_version += 1;
        let service = Arc::clone(&row.service);
        let evacuated = state.evacuations.contains(&row.zone);
        let leaving = state.starts.is_draining(row);
        if state.pools.get(&service).is_none_or(|pool| pool.servers.is_empty()) {
            state.update_start_limits(&service);
        }
        let pool = state.pools.entry(Arc::clone(&service)).or_default();
        let track = pool.upsert_server(row.clone(), now_us());
        if evacuated {
            track.evacuate();
        }
        if leaving {
            track.mark_draining();
        }
        state.claim_address(row);
        self.serve_waiting(state, &service, undelivered);
    }

    /// Some servers of each service that may be used, of this zone if it has any; by id.
    #[must_use]
    pub fn sample(&self, zone: u64) -> Vec<Arc<str>> {
        let state = self.state.lock();
        let now_us = now_us();
        state
            .pools
            .values()
            .flat_map(|pool| pool.sample(zone, SAMPLE_SERVERS_MAX, now_us))
            .collect()
    }

    /// The servers of this part, of each service those among which requests are given one first.
    #[must_use]
    pub fn near_servers(&self, part: &ServerSubset) -> Vec<Arc<Server>> {
        let state = self.state.lock();
        let pools = state.pools.values();
        let near = pools.flat_map(|pool| {
            part.select(&pool.servers).into_iter().map(|place| &pool.servers[place].row.id)
        });
        near.filter_map(|id| state.servers.get(id).cloned()).collect()
    }

    /// Whether any server is listed here.
    #[must_use]
    pub fn has_servers(&self) -> bool {
        !self.state.lock().servers.is_empty()
    }

    /// The platform no longer lists a server; it may be used for `grace` more.
    pub fn unlist_server(&self, id: &str, grace: Duration) {
        let mut state = self.state.lock();
        state.starts.drop_held(id);
        if let Some(server) = state.servers.get(id).cloned() {
            state.mark_unlisted(&server, grace);
        }
    }

    /// Another server has the address of this one now. A later start of it, which may have another
    /// address, is not concerned.
    pub fn unlist_displaced(&self, server: &Server) {
        self.state.lock().mark_unlisted(server, Duration::ZERO);
    }

    /// Clears away what is gone, and puts reports in force that nobody contradicted.
    pub(super) fn clean_up(&self) {
        let mut undelivered = Vec::new();
        let mut state = self.state.lock();
        for row in state.starts.take_due(now_us()) {
            self.apply_row(&mut state, &row, &mut undelivered);
        }
        state.in_use.close_expired();
        state.forget_silent_peers(now_us());
        state.forget_unlisted();
    }
}
