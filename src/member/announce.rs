//! Announces a change of this instance's own state directly, ahead of the ping rounds.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::MemberRow;
use super::handlers::ping_without_gossip;
use crate::board::Blackboard;
use crate::board::compare_rank;
use crate::peer::PeerClient;

/// Timeout of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Up to this many running members, a change is announced to all of them.
const BROADCAST_INSTANCES_MAX: usize = 32;
/// Members of each zone that a larger fleet announces to, in rank order: the most that can be
/// homes.
const TARGETS_PER_ZONE: usize = 8;

/// Peer addresses to which a change is announced directly.
///
/// A small fleet announces to every member. In a large one, a rolling restart would then open a
/// number of connections quadratic in the fleet size. There the targets are the members that this
/// instance pings, the first ones of each zone, which others query, and, if this instance may be
/// advertised to callers, all of its own zone.
pub fn announce_targets(board: &Blackboard) -> BTreeSet<SocketAddr> {
    let view = board.members_view();
    let (own, zone) = (board.incarnation, &board.settings.instance.zone);
    if view.running_count() <= BROADCAST_INSTANCES_MAX {
        let others = view.rows.iter().filter(|row| row.incarnation != own);
        return others.filter(|row| row.state.may_answer()).map(|row| row.peer_address).collect();
    }
    let ping_targets =
        board.members.lock().ping_targets().iter().map(|row| row.peer_address).collect::<Vec<_>>();
    let first = view.zones().flat_map(|zone| view.ranked(zone).iter().take(TARGETS_PER_ZONE));
    // The own row no longer accepts work and is not ranked, so compute the position it would have.
    let own_row = view.row(own);
    let is_advertised = |row: &Arc<MemberRow>| {
        let ahead = view.ranked(zone).iter().take_while(|other| compare_rank(other, row).is_lt());
        ahead.count() < TARGETS_PER_ZONE
    };
    let in_zone = if own_row.is_some_and(is_advertised) { view.ranked(zone) } else { &[] };
    let others = first.chain(in_zone).filter(|row| row.incarnation != own);
    ping_targets.into_iter().chain(others.map(|row| row.peer_address)).collect()
}

/// Announces this instance's own state to the [`announce_targets`].
pub async fn announce<L: PeerClient>(board: &Blackboard, links: &L) {
    let mut calls = tokio::task::JoinSet::new();
    for address in announce_targets(board) {
        let links = links.clone();
        let request = ping_without_gossip(board);
        calls.spawn(async move { links.call(address, &request, ANNOUNCE_TIMEOUT).await });
    }
    // A member that misses the announcement learns of the change by gossip.
    while calls.join_next().await.is_some() {}
}
