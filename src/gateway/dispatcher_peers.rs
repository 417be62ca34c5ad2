//! What other instances have at the backend servers, and what they are told of this one.

use std::collections::HashMap;

use super::dispatcher::Dispatcher;
use super::dispatcher::DispatcherState;
use crate::clock::now_us;
use crate::peer::ServerLoadRow;
use crate::peer::ServerLoads;

/// A peer that was not heard for this long is gone, and its requests with it: four of the
/// intervals at which an idle peer is heard.
pub(super) const PEER_TIMEOUT_US: u64 = 1_000_000;
/// Least time between two looks for peers that fell silent.
const PEER_CHECK_INTERVAL_US: u64 = 50_000;

/// When each peer was heard last.
///
/// Kept here and not with each server: a word then costs as many steps as it names servers, however
/// many there are, and the servers are gone through only when a peer falls silent.
#[derive(Debug, Default)]
pub(super) struct PeerLiveness {
    last_heard_us: HashMap<u64, u64>,
    last_check_us: u64,
}

impl PeerLiveness {
    /// Takes out the peers that fell silent.
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
    /// Forgets what peers have that fell silent.
    pub(super) fn forget_silent_peers(&mut self, now_us: u64) {
        for peer in self.peers.take_silent(now_us) {
            for track in self.pools.values_mut().flat_map(|pool| &mut pool.servers) {
                track.remove_peer(peer, now_us);
            }
        }
    }

    fn record_peer_load(&mut self, from: u64, row: ServerLoadRow, now_us: u64) {
        // A server that the peer knows and this one does not, or not any more.
        let Some(server) = self.by_key.get(&row.server).cloned() else {
            return;
        };
        if let Some(track) = self.tracked_server(&server) {
            track.record_peer_load(from, row, now_us);
        }
    }
}

impl Dispatcher {
    /// What this instance has at the servers, and the pace of those it has just heard of; of the
    /// others there is nothing to tell. Only servers with connections are looked at.
    #[must_use]
    pub fn own_loads(&self) -> Vec<ServerLoadRow> {
        let mut state = self.state.lock();
        let now_us = now_us();
        let in_use: Vec<_> = state.in_use.servers().cloned().collect();
        let rows = in_use.iter().filter_map(|server| {
            let (in_flight, pace_percent) = state.tracked_server(server)?.advertised_load(now_us);
            Some(ServerLoadRow { server: server.key, in_flight, pace_percent })
        });
        rows.filter(|row| row.in_flight > 0 || row.pace_percent > 0).collect()
    }

    /// Takes in what changed in what another instance has at the servers.
    pub fn record_peer_loads(&self, loads: &ServerLoads) {
        let mut undelivered = Vec::new();
        let mut state = self.state.lock();
        let now_us = now_us();
        state.peers.last_heard_us.insert(loads.from, now_us);
        state.forget_silent_peers(now_us);
        for row in &loads.rows {
            state.record_peer_load(loads.from, *row, now_us);
        }
        for service in state.services_with_queue() {
            self.serve_waiting(&mut state, &service, &mut undelivered);
        }
    }
}
