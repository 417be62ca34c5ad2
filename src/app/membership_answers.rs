//! Answers to the membership messages of peers.

use std::net::SocketAddr;
use std::time::Duration;

use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::member::MemberRow;
use crate::peer::Links;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Takes a newcomer in and tells it of all members.
pub fn join(board: &Blackboard, row: &MemberRow) -> PeerReply {
    let changed = board.members.lock().merge(row, now_ms());
    if changed {
        board.publish_members();
    }
    PeerReply::Members(board.members.lock().rows(now_ms()))
}

/// Pings another instance for a peer that could not reach it.
pub async fn ping_for(board: &Blackboard, links: &Links, target: SocketAddr) -> PeerReply {
    let within = Duration::from_millis(board.settings.peers.ping_timeout_ms);
    let own = board.members.lock().own_row(now_ms());
    let stamp = board.events.clock.stamp();
    let request = PeerRequest::Ping { from: own, stamp, rumours: Vec::new() };
    PeerReply::Reached(links.call(target, &request, within).await.is_ok())
}
