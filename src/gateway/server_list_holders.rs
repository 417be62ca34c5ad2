//! Which instances hold the list of backend servers.
//!
//! Homes choose among all servers. The next few instances of each zone hold the list too, so that one of
//! them takes over at once when a home goes; the others, hundreds, know a sample of it, and are told only
//! when that changes.

use std::time::Duration;

use super::homes::HomesPlan;
use super::homes::all_homes;
use super::homes::homes_of_zone;
use crate::board::Blackboard;

/// Instances of a zone that hold the list beside its homes.
const STANDBYS_PER_ZONE: usize = 4;
/// How long one that is no longer among them keeps it: callers keep an old address answer for some seconds.
pub(super) const RETENTION: Duration = Duration::from_secs(10);

/// Whether this instance is to hold the list, as far as it knows the others.
pub fn holds_server_list(board: &Blackboard) -> bool {
    let plan = HomesPlan::of(board);
    let view = board.members_view();
    let zone = &board.settings.instance.zone;
    let holders = homes_of_zone(&view, zone, plan).len() + STANDBYS_PER_ZONE;
    let near = view.ranked(zone).iter().take(holders);
    let own = board.incarnation;
    let is_near = near.into_iter().any(|row| row.incarnation == own);
    // Another zone may have borrowed it.
    is_near || all_homes(&view, plan).iter().any(|row| row.incarnation == own)
}
