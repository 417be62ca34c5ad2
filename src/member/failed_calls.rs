//! Calls to peers that failed; the members called are checked ahead of their turn.

use std::collections::VecDeque;
use std::net::SocketAddr;

use parking_lot::Mutex;
use tokio::sync::Notify;

/// Least time between two checks of one peer for this reason.
const CHECK_INTERVAL_MS: u64 = 250;
/// Most peers remembered; if more fail at once, the rest are checked in turn.
const PEERS_MAX: usize = 16;

/// Peers that may be gone: an instance that talks to a peer often notices first, since its
/// connection breaks.
#[derive(Debug, Default)]
pub struct FailedCalls {
    peers: Mutex<RecentPeers>,
    added: Notify,
}

#[derive(Debug, Default)]
struct RecentPeers {
    /// Peers still to be checked.
    waiting: VecDeque<SocketAddr>,
    /// Peers to be checked, in a check, or checked recently; at most [`PEERS_MAX`].
    recent: Vec<RecentPeer>,
}

#[derive(Clone, Copy, Debug)]
struct RecentPeer {
    address: SocketAddr,
    added_ms: u64,
    /// Whether its check has ended.
    checked: bool,
}

impl FailedCalls {
    /// Adds a peer to which a call failed; returns `false` if a check of it is due, under way or
    /// recent already, or if there are too many.
    pub fn add(&self, peer: SocketAddr, now_ms: u64) -> bool {
        let mut peers = self.peers.lock();
        peers.recent.retain(|recent| {
            !recent.checked || now_ms.saturating_sub(recent.added_ms) < CHECK_INTERVAL_MS
        });
        let is_known = peers.recent.iter().any(|recent| recent.address == peer);
        if is_known || peers.recent.len() >= PEERS_MAX {
            return false;
        }
        peers.recent.push(RecentPeer { address: peer, added_ms: now_ms, checked: false });
        peers.waiting.push_back(peer);
        drop(peers);
        self.added.notify_one();
        true
    }

    /// Waits for the next peer to check; none is checked again before [`Self::finish`].
    pub async fn next(&self) -> SocketAddr {
        loop {
            if let Some(peer) = self.peers.lock().waiting.pop_front() {
                return peer;
            }
            self.added.notified().await;
        }
    }

    /// Ends the check of a peer.
    pub fn finish(&self, peer: SocketAddr) {
        let mut peers = self.peers.lock();
        for recent in peers.recent.iter_mut().filter(|recent| recent.address == peer) {
            recent.checked = true;
        }
    }
}
