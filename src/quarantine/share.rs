//! Instances tell each other of requests under which servers ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::SuspectRecord;
use crate::board::Blackboard;
use crate::member::told_at_once;
use crate::peer::PeerCalls;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Least time between two words: crashes of one moment go out together.
const SEND_INTERVAL_MIN: Duration = Duration::from_millis(10);
/// Whoever does not answer by then finds the difference by its next ping.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells the instances that callers are sent to, as soon as this one finds out something; until the
/// process ends. All others learn it from those they ping, when a digest differs.
pub async fn run_suspect_gossip<L: PeerCalls>(board: Arc<Blackboard>, links: L) {
    loop {
        let news = board.quarantine.next_updates().await;
        for peer in told_at_once(&board) {
            let (board, links, news) = (Arc::clone(&board), links.clone(), news.clone());
            tokio::spawn(async move { send_records(&board, &links, peer, news, false).await });
        }
        tokio::time::sleep(SEND_INTERVAL_MIN).await;
    }
}

async fn send_records<L: PeerCalls>(
    board: &Blackboard,
    links: &L,
    peer: SocketAddr,
    rows: Vec<SuspectRecord>,
    all: bool,
) {
    let request = PeerRequest::Suspects { rows, all };
    // Lost, it is found by the digests that pings carry.
    if let Ok(PeerReply::Suspects(known)) = links.call(peer, &request, CALL_TIMEOUT).await {
        board.quarantine.merge(&known);
    }
}

/// Tells another instance all that is known here, and learns what it knows.
pub async fn exchange_suspects<L: PeerCalls>(board: &Blackboard, links: &L, peer: SocketAddr) {
    send_records(board, links, peer, board.quarantine.records(), true).await;
}
