//! Handlers of membership requests from peers.

use std::net::SocketAddr;

use super::MemberRequest;
use super::MemberRow;
use super::anti_entropy::handle_compare;
use super::anti_entropy::handle_exchange;
use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::peer::PeerClient;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Most gossiped rows on one ping or reply; bounds the control traffic.
pub(super) const GOSSIP_ROWS_MAX: usize = 6;
/// Up to this many members, the reply to a join lists all of them.
const JOIN_FULL_LIST_MAX: usize = 32;
/// Members of each zone in the reply to a join in a larger fleet: the most that can be homes.
const JOIN_ROWS_PER_ZONE: usize = 8;

/// Merges gossiped rows and publishes the table if any of them changed it.
pub(super) fn merge_gossip(board: &Blackboard, rows: &[MemberRow]) {
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

/// Handles a ping: merges the sender's gossip and replies with gossip of this instance.
fn handle_ping(
    board: &Blackboard,
    from: &MemberRow,
    stamp: u64,
    mut gossip: Vec<MemberRow>,
) -> PeerReply {
    board.events.clock.observe(stamp);
    gossip.push(from.clone());
    merge_gossip(board, &gossip);
    let mut members = board.members.lock();
    let mut reply_gossip = members.take_gossip(GOSSIP_ROWS_MAX, now_ms());
    reply_gossip.push(members.own_row(now_ms()));
    // Sends the sender's row back if it is held to be in another state, e.g. dead, so that the
    // sender can refute it.
    if let Some(row) = members.row(from.incarnation, now_ms())
        && row.state != from.state
    {
        reply_gossip.push(row);
    }
    let digest_hash = members.digest().hash();
    drop(members);
    let suspects_digest = board.quarantine.digest();
    PeerReply::Ack {
        stamp: board.events.clock.stamp(),
        digest_hash,
        suspects_digest,
        gossip: reply_gossip,
    }
}

/// Adds a joining member and replies with the members that it needs first.
///
/// It learns the rest by anti-entropy with one of these. Otherwise a seed that is in the settings
/// of every instance would send the full list to each of hundreds that start together.
fn handle_join(board: &Blackboard, row: &MemberRow) -> PeerReply {
    let changed = board.members.lock().merge(row, now_ms());
    if changed {
        board.publish_members();
    }
    let view = board.members_view();
    if view.rows.len() <= JOIN_FULL_LIST_MAX {
        return PeerReply::Members(board.members.lock().rows(now_ms()));
    }
    let first = view.zones().flat_map(|zone| view.ranked(zone).iter().take(JOIN_ROWS_PER_ZONE));
    let mut incarnations: Vec<u64> = first.map(|row| row.incarnation).collect();
    incarnations.push(board.incarnation);
    let members = board.members.lock();
    let rows = incarnations.iter().filter_map(|incarnation| members.row(*incarnation, now_ms()));
    PeerReply::Members(rows.collect())
}

/// Builds a ping that carries no gossip.
pub(super) fn ping_without_gossip(board: &Blackboard) -> PeerRequest {
    let members = board.members.lock();
    PeerRequest::Member(MemberRequest::Ping {
        from: members.own_row(now_ms()),
        stamp: board.events.clock.stamp(),
        digest_hash: members.digest().hash(),
        gossip: Vec::new(),
    })
}

/// Pings another instance for a peer that could not reach it directly.
pub async fn handle_indirect_ping<L: PeerClient>(
    board: &Blackboard,
    links: &L,
    target: SocketAddr,
) -> PeerReply {
    let timeout = board.pace.lock().stretch(board.settings.peers.ping_timeout_ms);
    PeerReply::Reached(links.call(target, &ping_without_gossip(board), timeout).await.is_ok())
}

/// Handles a membership request.
pub fn handle_member_request(board: &Blackboard, request: MemberRequest) -> PeerReply {
    match request {
        MemberRequest::Join(row) => handle_join(board, &row),
        MemberRequest::Ping { from, stamp, gossip, .. } => handle_ping(board, &from, stamp, gossip),
        MemberRequest::Compare(theirs) => handle_compare(board, &theirs),
        MemberRequest::Exchange { wanted, rows } => handle_exchange(board, &wanted, &rows),
    }
}
