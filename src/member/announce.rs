//! Telling others of the own state at once, instead of waiting for rounds of pings.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::MemberRow;
use super::answers::bare_ping;
use crate::board::Blackboard;
use crate::board::rank;
use crate::peer::PeerCalls;

const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Instances up to which all are told at once of one that leaves.
const ANNOUNCED_ALL_MAX: usize = 32;
/// The first instances of each zone that are told in a larger fleet: as many as may be homes.
const ANNOUNCED_FIRST: usize = 8;

/// Whom to tell of what cannot wait for rounds of pings: everybody in a small fleet. In a large one,
/// a thousand connections for each instance that stops would be a square over a rolling restart, so
/// only those that are pinged, the first ones of each zone, which others ask, and for an instance
/// that callers may be told of, its own zone.
pub fn told_at_once(board: &Blackboard) -> BTreeSet<SocketAddr> {
    let view = board.members_view();
    let (own, zone) = (board.incarnation, &board.settings.instance.zone);
    if view.serving() <= ANNOUNCED_ALL_MAX {
        let others = view.rows.iter().filter(|row| row.incarnation != own);
        return others.filter(|row| row.state.may_answer()).map(|row| row.peer).collect();
    }
    let pinged = board.members.lock().pinged().iter().map(|row| row.peer).collect::<Vec<_>>();
    let first = view.zones().flat_map(|zone| view.ranked(zone).iter().take(ANNOUNCED_FIRST));
    // Its own row takes no work any more, so the place it had is where it would stand now.
    let own_row = view.row(own);
    let named = |row: &Arc<MemberRow>| {
        let before = view.ranked(zone).iter().take_while(|other| rank(other, row).is_lt());
        before.count() < ANNOUNCED_FIRST
    };
    let in_zone = if own_row.is_some_and(named) { view.ranked(zone) } else { &[] };
    let others = first.chain(in_zone).filter(|row| row.incarnation != own);
    pinged.into_iter().chain(others.map(|row| row.peer)).collect()
}

/// Tells others of the own state at once, instead of waiting for rounds of pings.
pub async fn announce<L: PeerCalls>(board: &Blackboard, links: &L) {
    let mut told = tokio::task::JoinSet::new();
    for address in told_at_once(board) {
        let links = links.clone();
        let request = bare_ping(board);
        told.spawn(async move { links.call(address, &request, ANNOUNCE_TIMEOUT).await });
    }
    // Whoever misses this hears it as a rumour.
    while told.join_next().await.is_some() {}
}
