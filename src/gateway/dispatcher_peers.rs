//! What other instances have at the backend servers, and what they are told of this one.

use std::collections::HashMap;

use super::dispatcher::Dispatcher;
use super::dispatcher::State;
use crate::clock::now_us;
use crate::peer::ServerLoadRow;
use crate::peer::ServerLoads;

/// A peer that was not heard for this long is gone, and its requests with it: four of the
/// intervals at which an idle peer is heard.
pub(super) const PEER_LIFE_US: u64 = 1_000_000;
/// Least time between two looks for peers that fell silent.
const LOOK_US: u64 = 50_000;

/// When each peer was heard last.
///
/// Kept here and not with each server: a word then costs as many steps as it names servers, however
/// many there are, and the servers are gone through only when a peer falls silent.
#[derive(Debug, Default)]
pub(super) struct PeersHeard {
    heard_us: HashMap<u64, u64>,
    looked_us: u64,
}

impl PeersHeard {
    /// Takes out the peers that fell silent.
    fn silent(&mut self, now_us: u64) -> Vec<u64> {
        if now_us.saturating_sub(self.looked_us) < LOOK_US {
            return Vec::new();
        }
        self.looked_us = now_us;
        let overdue = |heard_us: u64| now_us.saturating_sub(heard_us) >= PEER_LIFE_US;
        let silent = self.heard_us.iter().filter(|(_, heard_us)| overdue(**heard_us));
        let silent: Vec<u64> = silent.map(|(peer, _)| *peer).collect();
        for peer in &silent {
            self.heard_us.remove(peer);
        }
        silent
    }
}

impl State {
    /// Forgets what peers have that fell silent.
    pub(super) fn forget_silent_peers(&mut self, now_us: u64) {
        for peer in self.peers.silent(now_us) {
            for track in self.pools.values_mut().flat_map(|pool| &mut pool.servers) {
                track.forget_peer(peer, now_us);
            }
        }
    }

    fn hear(&mut self, from: u64, row: ServerLoadRow, now_us: u64) {
        // A server that the peer knows and this one does not, or not any more.
        let Some(server) = self.by_key.get(&row.server).cloned() else {
            return;
        };
        if let Some(track) = self.track(&server) {
            track.hear_peer(from, row, now_us);
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
            let (in_flight, pace_percent) = state.track(server)?.told(now_us);
            Some(ServerLoadRow { server: server.key, in_flight, pace_percent })
        });
        rows.filter(|row| row.in_flight > 0 || row.pace_percent > 0).collect()
    }

    /// Takes in what changed in what another instance has at the servers.
    pub fn hear_loads(&self, loads: &ServerLoads) {
        let mut undelivered = Vec::new();
        let mut state = self.state.lock();
        let now_us = now_us();
        state.peers.heard_us.insert(loads.from, now_us);
        state.forget_silent_peers(now_us);
        for row in &loads.rows {
            state.hear(loads.from, *row, now_us);
        }
        for service in state.waited_for() {
            self.serve_waiting(&mut state, &service, &mut undelivered);
        }
    }
}
