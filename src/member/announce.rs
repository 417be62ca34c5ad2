//! Telling others of the own state at once, instead of waiting for rounds of pings.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::MemberRow;
use super::handlers::ping_without_gossip;
use crate::board::Blackboard;
use crate::board::compare_rank;
use crate::peer::PeerClient;

const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Instances up to which all are told at once of one that leaves.
const BROADCAST_INSTANCES_MAX: usize = 32;
/// The first instances of each zone that are told in a larger fleet: as many as may be homes.
const TARGETS_PER_ZONE: usize = 8;

/// Whom to tell of what cannot wait for rounds of pings: everybody in a small fleet. In a large one,
/// a thousand connections for each instance that stops would be a square over a rolling restart, so
/// only those that are pinged, the first ones of each zone, which others ask, and for an instance
/// that callers may be told of, its own zone.
pub fn announce_targets(board: &Blackboard) -> BTreeSet<SocketAddr> {
    let view = board.members_view();
    let (own, zone) = (board.incarnation, &board.settings.instance.zone);
    if view.running_count() <= BROADCAST_INSTANCES_MAX {
        let others = view.rows.iter().filter(|row| row.incarnation != own);
        return others.filter(|row| row.state.may_answer()).map(|row| row.peer).collect();
    }
    let ping_targets =
        board.members.lock().ping_targets().iter().map(|row| row.peer).collect::<Vec<_>>();
    let first = view.zones().flat_map(|zone| view.ranked(zone).iter().take(TARGETS_PER_ZONE));
    // Its own row takes no work any more, so the place it had is where it would stand now.
    let own_row = view.row(own);
    let is_advertised = |row: &Arc<MemberRow>| {
        let ahead = view.ranked(zone).iter().take_while(|other| compare_rank(other, row).is_lt());
        ahead.count() < TARGETS_PER_ZONE
    };
    let in_zone = if own_row.is_some_and(is_advertised) { view.ranked(zone) } else { &[] };
    let others = first.chain(in_zone).filter(|row| row.incarnation != own);
    ping_targets.into_iter().chain(others.map(|row| row.peer)).collect()
}

/// Tells others of the own state at once, instead of waiting for rounds of pings.
pub async fn announce<L: PeerClient>(board: &Blackboard, links: &L) {
    let mut calls = tokio::task::JoinSet::new();
    for address in announce_targets(board) {
        let links = links.clone();
        let request = ping_without_gossip(board);
        calls.spawn(async move { links.call(address, &request, ANNOUNCE_TIMEOUT).await });
    }
    // Whoever misses this hears it as a rumour.
    while calls.join_next().await.is_some() {}
}
