//! Answers to the membership messages of peers.

use std::net::SocketAddr;
use std::time::Duration;

use super::MemberRow;
use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::peer::PeerCalls;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Rumours on one ping or answer; bounds the bytes of control traffic.
pub(super) const RUMOURS_MAX: usize = 6;
/// Members up to which a newcomer is told of all.
const TOLD_ALL_MAX: usize = 32;
/// The first instances of each zone that a newcomer is told of: as many as may be homes.
const TOLD_OF_ZONE: usize = 8;

/// Takes in rumours.
pub(super) fn merge_all(board: &Blackboard, rows: &[MemberRow]) {
    let mut changed = false;
    let mut members = board.members.lock();
    for row in rows {
        changed |= members.merge(row, now_ms());
    }
    drop(members);
    if changed {
        board.publish_members();
    }
}

/// Answers a ping: takes its rumours in and gives ours.
pub fn answer_ping(
    board: &Blackboard,
    from: &MemberRow,
    stamp: u64,
    mut rumours: Vec<MemberRow>,
) -> PeerReply {
    board.events.clock.observe(stamp);
    rumours.push(from.clone());
    merge_all(board, &rumours);
    let mut members = board.members.lock();
    let mut told = members.rumours(RUMOURS_MAX, now_ms());
    told.push(members.own_row(now_ms()));
    // A member that was given up must hear so, or it could not refute.
    if let Some(row) = members.row(from.incarnation, now_ms())
        && row.state != from.state
    {
        told.push(row);
    }
    let summary = members.digest().summary();
    drop(members);
    PeerReply::Ack { stamp: board.events.clock.stamp(), summary, rumours: told }
}

/// Takes a newcomer in, and tells it whom it needs to know at once. The rest it finds by comparing
/// with one of these: an instance whose address is in all settings would otherwise hand the whole
/// list to each of hundreds that start together.
pub fn answer_join(board: &Blackboard, row: &MemberRow) -> PeerReply {
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
pub async fn answer_ping_for<L: PeerCalls>(
    board: &Blackboard,
    links: &L,
    target: SocketAddr,
) -> PeerReply {
    let within = Duration::from_millis(board.settings.peers.ping_timeout_ms);
    let own = board.members.lock().own_row(now_ms());
    let stamp = board.events.clock.stamp();
    let summary = board.members.lock().digest().summary();
    let request = PeerRequest::Ping { from: own, stamp, summary, rumours: Vec::new() };
    PeerReply::Reached(links.call(target, &request, within).await.is_ok())
}
