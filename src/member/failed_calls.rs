//! Calls to peers that failed; the members called are checked ahead of their turn.

use std::collections::VecDeque;
use std::net::SocketAddr;

use parking_lot::Mutex;
use tokio::sync::Notify;

/// Least time between two checks of one peer for this reason.
const CHECK_INTERVAL_MS: u64 = 250;
/// Most peers remembered; if more fail at once, the rest are checked in turn.
const PEERS_MAX: usize = 16;

/// Peers that may be gone. Who talks to a peer often learns that first: its connection breaks.
#[derive(Debug, Default)]
pub struct FailedCalls {
    peers: Mutex<RecentPeers>,
    added: Notify,
}

#[derive(Debug, Default)]
struct RecentPeers {
    /// Peers still to be checked.
    waiting: VecDeque<SocketAddr>,
    /// When each peer was added, the oldest first; at most [`PEERS_MAX`].
    added: VecDeque<(u64, SocketAddr)>,
}

impl FailedCalls {
    /// Adds a peer to which a call failed; returns whether it will be checked for that.
    pub fn add(&self, peer: SocketAddr, now_ms: u64) -> bool {
        let mut peers = self.peers.lock();
        peers.added.retain(|(added_ms, _)| now_ms.saturating_sub(*added_ms) < CHECK_INTERVAL_MS);
        if peers.added.len() >= PEERS_MAX || peers.added.iter().any(|(_, added)| *added == peer) {
            return false;
        }
        peers.added.push_back((now_ms, peer));
        peers.waiting.push_back(peer);
        drop(peers);
        self.added.notify_one();
        true
    }

    /// Waits for the next peer to check.
    pub async fn next(&self) -> SocketAddr {
        loop {
            if let Some(peer) = self.peers.lock().waiting.pop_front() {
                return peer;
            }
            self.added.notified().await;
        }
    }
}
