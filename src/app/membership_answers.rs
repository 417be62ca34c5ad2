//! Answers to the membership messages of peers.

use std::net::SocketAddr;
use std::time::Duration;

use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::member::MemberRow;
use crate::peer::Links;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Members up to which a newcomer is told of all.
const TOLD_ALL_MAX: usize = 32;
/// The first instances of each zone that a newcomer is told of: as many as may be homes.
const TOLD_OF_ZONE: usize = 8;

/// Takes a newcomer in, and tells it whom it needs to know at once. The rest it finds by comparing
/// with one of these: an instance whose address is in all settings would otherwise hand the whole
/// list to each of hundreds that start together.
pub fn join(board: &Blackboard, row: &MemberRow) -> PeerReply {
    let changed = board.members.lock().merge(row, now_ms());
    if changed {
        board.publish_members();
    }
    let view = board.members_view();
    if view.rows.len() <= TOLD_ALL_MAX {
        return PeerReply::Members(board.members.lock().rows(now_ms()));
    }
    let first = view.zones().flat_map(|zone| view.ranked(zone).iter().take(TOLD_OF_ZONE));
    let mut told: Vec<u64> = first.map(|row| row.incarnation).collect();
    told.push(board.incarnation);
    let members = board.members.lock();
    let rows = told.iter().filter_map(|incarnation| members.row(*incarnation, now_ms()));
    PeerReply::Members(rows.collect())
}

/// Pings another instance for a peer that could not reach it.
pub async fn ping_for(board: &Blackboard, links: &Links, target: SocketAddr) -> PeerReply {
    let within = Duration::from_millis(board.settings.peers.ping_timeout_ms);
    let own = board.members.lock().own_row(now_ms());
    let stamp = board.events.clock.stamp();
    let summary = board.members.lock().digest().summary();
    let request = PeerRequest::Ping { from: own, stamp, summary, rumours: Vec::new() };
    PeerReply::Reached(links.call(target, &request, within).await.is_ok())
}
