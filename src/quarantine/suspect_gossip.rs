//! Gossip between instances about requests that may crash servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::SuspectRecord;
use crate::board::Blackboard;
use crate::member::announce_targets;
use crate::peer::PeerClient;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Minimum time between two broadcasts, so that simultaneous crashes are sent together.
const SEND_INTERVAL_MIN: Duration = Duration::from_millis(10);
/// Timeout for sending records to one instance. An instance that misses an update detects the
/// difference with its next ping.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends new records to the instances that callers are directed to, until the process ends. The
/// others fetch them from an instance that they ping, when the digests differ.
pub async fn run_suspect_gossip<L: PeerClient>(board: Arc<Blackboard>, links: L) {
    loop {
        let updates = board.quarantine.next_updates().await;
        for peer in announce_targets(&board) {
            let (board, links, updates) = (Arc::clone(&board), links.clone(), updates.clone());
            tokio::spawn(async move { send_records(&board, &links, peer, updates, false).await });
        }
        tokio::time::sleep(SEND_INTERVAL_MIN).await;
    }
}

/// Sends records, and merges those that the peer knows differently. `all` means that they are all
/// that this instance has.
async fn send_records<L: PeerClient>(
    board: &Blackboard,
    links: &L,
    peer: SocketAddr,
    rows: Vec<SuspectRecord>,
    all: bool,
) {
    let request = PeerRequest::Suspects { records: rows, complete: all };
    // A lost update is made up for when the digests in a ping differ.
    if let Ok(PeerReply::Suspects(differing)) = links.call(peer, &request, CALL_TIMEOUT).await {
        board.quarantine.merge(&differing);
    }
}

/// Exchanges all records with another instance.
pub async fn exchange_suspects<L: PeerClient>(board: &Blackboard, links: &L, peer: SocketAddr) {
    send_records(board, links, peer, board.quarantine.records(), true).await;
}
