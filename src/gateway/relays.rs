//! Which instances read the store, and which others learn from.
//!
//! The first home of each zone watches the store; the next few of the zone stand in for it. All
//! others learn from these. How many read the store does not grow with the fleet.

use std::net::SocketAddr;
use std::sync::Arc;

use smallvec::SmallVec;

use super::homes::HomesPlan;
use super::homes::all_homes;
use super::homes::is_home;
use crate::board::Blackboard;
use crate::board::MembersView;
use crate::member::MemberRow;

/// Instances of a zone that read the store themselves when no other instance is certain: its first
/// home among them. A store that turns a third of the instances away turns all four of a zone away
/// once in a hundred, and all of three zones once in a million times.
pub const READERS_PER_ZONE: usize = 4;

/// Addresses of some instances.
pub type Peers = SmallVec<[SocketAddr; 16]>;

/// Whether this instance is the one of its zone that watches the store.
pub fn watches(board: &Blackboard) -> bool {
    is_home(board, HomesPlan::FIRST)
}

/// This instance's place among those of its zone that read the store when nobody is certain;
/// `None` for one that leaves it to them.
pub fn place_among_readers(board: &Blackboard) -> Option<usize> {
    let view = board.members_view();
    let readers = readers_of_zone(&view, &board.settings.instance.zone);
    readers.iter().position(|row| row.incarnation == board.incarnation)
}

/// The other instances that watch the store, that of the own zone first.
pub fn watchers(board: &Blackboard) -> Peers {
    let zone = &board.settings.instance.zone;
    let mut homes = all_homes(&board.members_view(), HomesPlan::FIRST);
    homes.sort_by_key(|row| row.zone != *zone);
    others(board, &homes)
}

/// The other readers of the own zone.
pub fn readers_nearby(board: &Blackboard) -> Peers {
    others(board, readers_of_zone(&board.members_view(), &board.settings.instance.zone))
}

/// The other readers of the own zone, and the watchers of the others.
pub fn near_readers(board: &Blackboard) -> Peers {
    let view = board.members_view();
    let mut rows = readers_of_zone(&view, &board.settings.instance.zone).to_vec();
    rows.extend(all_homes(&view, HomesPlan::FIRST));
    others(board, &rows)
}

/// All other instances that read the store when nobody is certain.
pub fn all_readers(board: &Blackboard) -> Peers {
    let view = board.members_view();
    let rows: Vec<Arc<MemberRow>> =
        view.zones().flat_map(|zone| readers_of_zone(&view, zone)).cloned().collect();
    others(board, &rows)
}

fn readers_of_zone<'a>(view: &'a MembersView, zone: &str) -> &'a [Arc<MemberRow>] {
    let ranked = view.ranked(zone);
    &ranked[..ranked.len().min(READERS_PER_ZONE)]
}

/// Their addresses, each once and without the own.
fn others(board: &Blackboard, rows: &[Arc<MemberRow>]) -> Peers {
    let mut peers = Peers::new();
    for row in rows.iter().filter(|row| row.incarnation != board.incarnation) {
        if !peers.contains(&row.peer) {
            peers.push(row.peer);
        }
    }
    peers
}
