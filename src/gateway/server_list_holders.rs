//! Which instances hold the full list of backend servers.
//!
//! Homes choose among all servers. The next few instances of each zone hold the list too, so that
//! one of them can take over at once when a home fails. The others, which may be hundreds, keep a
//! small sample and are notified only when that changes.

use std::time::Duration;

use super::homes::HomesPlan;
use super::homes::all_homes;
use super::homes::homes_of_zone;
use crate::board::Blackboard;

/// Instances of a zone that hold the list in addition to its homes.
const STANDBYS_PER_ZONE: usize = 4;
/// How long an instance keeps the list after it stopped being a holder: callers may use an old
/// address answer for some seconds.
pub(super) const SERVER_LIST_RETENTION: Duration = Duration::from_secs(10);

/// Whether this instance should hold the full list, judging by the members that it knows.
pub fn holds_server_list(board: &Blackboard) -> bool {
    let plan = HomesPlan::of(board);
    let view = board.members_view();
    let zone = &board.settings.instance.zone;
    let holders = homes_of_zone(&view, zone, plan).len() + STANDBYS_PER_ZONE;
    let zone_holders = view.ranked(zone).iter().filter(|row| row.reaches_servers).take(holders);
    let own = board.incarnation;
    let is_zone_holder = zone_holders.into_iter().any(|row| row.incarnation == own);
    // Another zone may have borrowed this instance as a home.
    is_zone_holder || all_homes(&view, plan).iter().any(|row| row.incarnation == own)
}
