//! Which instances read the store, and which ones the others sync from.
//!
//! *Watchers* are the first homes of up to [`WATCHING_ZONES_MAX`] zones; they watch the store. The
//! first home of any other zone syncs from a watcher. The other instances of a zone sync from its
//! first home. *Readers* are the first few instances of each zone; they call the store when no peer
//! is fresh. The number of watchers does not grow with the number of instances.

use std::net::SocketAddr;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::board::Blackboard;
use crate::board::MembersView;
use crate::member::MemberRow;

/// Number of readers per zone, including its first home. If the store rejects a third of the
/// instances, it rejects all four readers of a zone with a probability of about 1 %, and those of
/// three zones with one of about one in a million.
pub const READERS_PER_ZONE: usize = 4;

/// Maximum number of watchers; current deployments have fewer zones. Each watcher costs one call
/// per change for each followed prefix. With two watchers, other zones sync over two hops; in a
/// store outage for a third of 472 instances, a server that had left was then used for too long in
/// one case.
const WATCHING_ZONES_MAX: usize = 32;

/// Peer addresses of some instances.
pub type PeerAddresses = SmallVec<[SocketAddr; 16]>;

/// Whether this instance watches the store.
pub fn is_watcher(board: &Blackboard) -> bool {
    watcher_index(board).is_some()
}

/// The watchers: the first homes of the first zones.
fn watchers(view: &MembersView) -> impl Iterator<Item = &Arc<MemberRow>> {
    view.zones().take(WATCHING_ZONES_MAX).filter_map(|zone| view.ranked(zone).first())
}

/// The index of this instance among the watchers; `None` if it is not one.
pub fn watcher_index(board: &Blackboard) -> Option<usize> {
    let view = board.members_view();
    watchers(&view).position(|row| row.incarnation == board.incarnation)
}

/// The index of this instance among the readers of its zone; `None` if it is not one.
pub fn reader_index(board: &Blackboard) -> Option<usize> {
    let view = board.members_view();
    let readers = readers_of_zone(&view, &board.settings.instance.zone);
    readers.iter().position(|row| row.incarnation == board.incarnation)
}

/// The relays that this instance asks for changes: the first home of its zone, then the watchers.
pub fn relay_addresses(board: &Blackboard) -> PeerAddresses {
    let view = board.members_view();
    let zone_first_home = view.ranked(&board.settings.instance.zone).first();
    let members: Vec<Arc<MemberRow>> =
        zone_first_home.into_iter().chain(watchers(&view)).cloned().collect();
    other_addresses(board, &members)
}

/// The other readers of the own zone.
pub fn zone_readers(board: &Blackboard) -> PeerAddresses {
    other_addresses(board, readers_of_zone(&board.members_view(), &board.settings.instance.zone))
}

/// The other instances that are seeds and may answer.
pub fn known_seeds(board: &Blackboard) -> PeerAddresses {
    let settings = &board.settings;
    let members = board.members.lock();
    let others = settings.peers.seeds.iter().filter(|seed| **seed != settings.listen.peer);
    others.filter(|seed| members.may_answer_at(**seed)).copied().collect()
}

/// The other readers of the own zone, and the watchers.
pub fn fallback_peers(board: &Blackboard) -> PeerAddresses {
    let view = board.members_view();
    let mut members = readers_of_zone(&view, &board.settings.instance.zone).to_vec();
    members.extend(watchers(&view).cloned());
    other_addresses(board, &members)
}

/// The other readers of all zones.
pub fn all_readers(board: &Blackboard) -> PeerAddresses {
    let view = board.members_view();
    let members: Vec<Arc<MemberRow>> =
        view.zones().flat_map(|zone| readers_of_zone(&view, zone)).cloned().collect();
    other_addresses(board, &members)
}

fn readers_of_zone<'a>(view: &'a MembersView, zone: &str) -> &'a [Arc<MemberRow>] {
    let ranked = view.ranked(zone);
    &ranked[..ranked.len().min(READERS_PER_ZONE)]
}

/// The peer addresses of the rows, without duplicates and without this instance's own.
fn other_addresses(board: &Blackboard, members: &[Arc<MemberRow>]) -> PeerAddresses {
    let mut peers = PeerAddresses::new();
    for row in members.iter().filter(|row| row.incarnation != board.incarnation) {
        if !peers.contains(&row.peer_address) {
            peers.push(row.peer_address);
        }
    }
    peers
}
