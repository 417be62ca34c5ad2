//! Exchange of the number of requests that each instance has in flight at the backend servers.

use std::collections::HashMap;

use super::dispatcher::Dispatcher;
use super::dispatcher::DispatcherState;
use crate::clock::now_us;
use crate::peer::ServerLoadRow;
use crate::peer::ServerLoads;

/// Time without a message after which a peer, and its in-flight requests, are taken to be gone:
/// four times the interval at which an idle peer sends.
pub(super) const PEER_TIMEOUT_US: u64 = 1_000_000;
/// Minimum interval between two checks for peers that timed out.
const PEER_CHECK_INTERVAL_US: u64 = 50_000;

/// When a message of each peer last arrived.
///
/// Kept once instead of with each server: the cost of a message then depends only on the servers
/// that it names, and all servers are visited only when a peer times out.
#[derive(Debug, Default)]
pub(super) struct PeerLiveness {
    last_heard_us: HashMap<u64, u64>,
    last_check_us: u64,
}

impl PeerLiveness {
    /// Removes and returns the peers that timed out.
    fn take_silent(&mut self, now_us: u64) -> Vec<u64> {
        if now_us.saturating_sub(self.last_check_us) < PEER_CHECK_INTERVAL_US {
            return Vec::new();
        }
        self.last_check_us = now_us;
        let overdue = |heard_us: u64| now_us.saturating_sub(heard_us) >= PEER_TIMEOUT_US;
        let silent = self.last_heard_us.iter().filter(|(_, heard_us)| overdue(**heard_us));
        let silent: Vec<u64> = silent.map(|(peer, _)| *peer).collect();
        for peer in &silent {
            self.last_heard_us.remove(peer);
        }
        silent
    }
}

impl DispatcherState {
    /// Discards the in-flight requests of peers that timed out.
    pub(super) fn remove_silent_peers(&mut self, now_us: u64) {
        for peer in self.peers.take_silent(now_us) {
            for tracked in self.pools.values_mut().flat_map(|pool| &mut pool.servers) {
                tracked.remove_peer(peer, now_us);
            }
        }
    }

    fn record_peer_load(&mut self, from: u64, row: ServerLoadRow, now_us: u64) {
        // The peer may know a server that is not known here yet, or no longer.
        let Some(server) = self.by_key.get(&row.server_hash).cloned() else {
            return;
        };
        if let Some(tracked) = self.tracked_server(&server) {
            tracked.record_peer_load(from, row, now_us);
        }
    }
}

impl Dispatcher {
    /// The in-flight requests of this instance at each server, and the slowdown of servers that
    /// reported it recently. Only servers with open connections are visited; there is nothing to
    /// report about the others.
    #[must_use]
    pub fn own_loads(&self) -> Vec<ServerLoadRow> {
        let mut state = self.state.lock();
        let now_us = now_us();
        let in_use: Vec<_> = state.in_use.servers().cloned().collect();
        let rows = in_use.iter().filter_map(|server| {
            let (in_flight, pace_percent) = state.tracked_server(server)?.advertised_load(now_us);
            Some(ServerLoadRow {
                server_hash: server.key,
                in_flight,
                slowdown_percent: pace_percent,
            })
        });
        rows.filter(|row| row.in_flight > 0 || row.slowdown_percent > 0).collect()
    }

    /// Records changes in the in-flight requests of a peer.
    pub fn record_peer_loads(&self, loads: &ServerLoads) {
        let mut undelivered = Vec::new();
        let mut state = self.state.lock();
        let now_us = now_us();
        state.peers.last_heard_us.insert(loads.from, now_us);
        state.remove_silent_peers(now_us);
        for row in &loads.rows {
            state.record_peer_load(loads.from, *row, now_us);
        }
        for service in state.services_with_queue() {
            self.serve_waiting(&mut state, &service, &mut undelivered);
        }
    }
}
