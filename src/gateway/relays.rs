//! Which instances read the store, and which others learn from.
//!
//! The first homes of two zones watch the store; each zone's own learns from them, and hands on what
//! it learns to its zone; the next few of the zone stand in for it. How many watch the store does not
//! grow with the fleet or its zones.

use std::net::SocketAddr;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::board::Blackboard;
use crate::board::MembersView;
use crate::member::MemberRow;

/// Instances of a zone that read the store themselves when no other instance is certain: its first
/// home among them. A store that turns a third of the instances away turns all four of a zone away
/// once in a hundred, and all of three zones once in a million times.
pub const READERS_PER_ZONE: usize = 4;

/// Zones whose first homes watch the store, at most; on the deployments of today that is each zone's. A
/// change costs a call for each of them and each part that is followed. With two, other zones learn at
/// two removes, and in an outage of the store for a third of 472 instances a server that had left was
/// used once too long.
const WATCHING_ZONES_MAX: usize = 32;

/// Addresses of some instances.
pub type PeerAddresses = SmallVec<[SocketAddr; 16]>;

/// Whether this instance is one of those that watch the store.
pub fn is_watcher(board: &Blackboard) -> bool {
    watcher_index(board).is_some()
}

/// The first homes of the first zones.
fn watchers(view: &MembersView) -> impl Iterator<Item = &Arc<MemberRow>> {
    view.zones().take(WATCHING_ZONES_MAX).filter_map(|zone| view.ranked(zone).first())
}

/// This instance's place among those that watch the store; `None` for one that does not.
pub fn watcher_index(board: &Blackboard) -> Option<usize> {
    let view = board.members_view();
    watchers(&view).position(|row| row.incarnation == board.incarnation)
}

/// This instance's place among those of its zone that read the store when nobody is certain;
/// `None` for one that leaves it to them.
pub fn reader_index(board: &Blackboard) -> Option<usize> {
    let view = board.members_view();
    let readers = readers_of_zone(&view, &board.settings.instance.zone);
    readers.iter().position(|row| row.incarnation == board.incarnation)
}

/// Whom this instance asks for what changed: the first home of its zone, which hands on what it
/// learns, then those that watch the store.
pub fn relay_addresses(board: &Blackboard) -> PeerAddresses {
    let view = board.members_view();
    let nearest = view.ranked(&board.settings.instance.zone).first();
    let rows: Vec<Arc<MemberRow>> = nearest.into_iter().chain(watchers(&view)).cloned().collect();
    other_addresses(board, &rows)
}

/// The other readers of the own zone.
pub fn zone_readers(board: &Blackboard) -> PeerAddresses {
    other_addresses(board, readers_of_zone(&board.members_view(), &board.settings.instance.zone))
}

/// The other readers of the own zone, and those that watch the store.
pub fn zone_readers_and_watchers(board: &Blackboard) -> PeerAddresses {
    let view = board.members_view();
    let mut rows = readers_of_zone(&view, &board.settings.instance.zone).to_vec();
    rows.extend(watchers(&view).cloned());
    other_addresses(board, &rows)
}

/// All other instances that read the store when nobody is certain.
pub fn all_readers(board: &Blackboard) -> PeerAddresses {
    let view = board.members_view();
    let rows: Vec<Arc<MemberRow>> =
        view.zones().flat_map(|zone| readers_of_zone(&view, zone)).cloned().collect();
    other_addresses(board, &rows)
}

fn readers_of_zone<'a>(view: &'a MembersView, zone: &str) -> &'a [Arc<MemberRow>] {
    let ranked = view.ranked(zone);
    &ranked[..ranked.len().min(READERS_PER_ZONE)]
}

/// Their addresses, each once and without the own.
fn other_addresses(board: &Blackboard, rows: &[Arc<MemberRow>]) -> PeerAddresses {
    let mut peers = PeerAddresses::new();
    for row in rows.iter().filter(|row| row.incarnation != board.incarnation) {
        if !peers.contains(&row.peer) {
            peers.push(row.peer);
        }
    }
    peers
}
