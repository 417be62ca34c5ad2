//! Answers to the membership messages of peers.

use std::net::SocketAddr;
use std::time::Duration;

use super::MemberRequest;
use super::MemberRow;
use super::comparison::answer_compare;
use super::comparison::answer_exchange;
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
fn answer_ping(
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
    let suspects = board.quarantine.digest();
    PeerReply::Ack { stamp: board.events.clock.stamp(), summary, suspects, rumours: told }
}

/// Takes a newcomer in, and tells it whom it needs to know at once. The rest it finds by comparing
/// with one of these: an instance whose address is in all settings would otherwise hand the whole
/// list to each of hundreds that start together.
fn answer_join(board: &Blackboard, row: &MemberRow) -> PeerReply {
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

/// A ping without rumours.
pub(super) fn bare_ping(board: &Blackboard) -> PeerRequest {
    let members = board.members.lock();
    PeerRequest::Member(MemberRequest::Ping {
        from: members.own_row(now_ms()),
        stamp: board.events.clock.stamp(),
        summary: members.digest().summary(),
        rumours: Vec::new(),
    })
}

/// Pings another instance for a peer that could not reach it.
pub async fn answer_ping_for<L: PeerCalls>(
    board: &Blackboard,
    links: &L,
    target: SocketAddr,
) -> PeerReply {
    let within = Duration::from_millis(board.settings.peers.ping_timeout_ms);
    PeerReply::Reached(links.call(target, &bare_ping(board), within).await.is_ok())
}

/// Answers a question about members.
pub fn answer_member(board: &Blackboard, request: MemberRequest) -> PeerReply {
    match request {
        MemberRequest::Join(row) => answer_join(board, &row),
        MemberRequest::Ping { from, stamp, rumours, .. } => {
            answer_ping(board, &from, stamp, rumours)
        }
        MemberRequest::Compare(theirs) => answer_compare(board, &theirs),
        MemberRequest::Exchange { wanted, rows } => answer_exchange(board, &wanted, &rows),
    }
}
