//! Which instances the callers of a zone are told of.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::board::Blackboard;
use crate::member::MemberRow;
use crate::member::MemberState;

/// The homes of a zone: a few of its instances, the same in every instance's view.
///
/// Few, so that each knows most of what the zone's callers have at the backend servers and keeps
/// its connections warm; more than one, so that callers have another address when one fails. A
/// zone that has too few of its own borrows from the others.
#[must_use]
pub fn homes_of_zone(rows: &[Arc<MemberRow>], zone: &str, homes: usize) -> Vec<Arc<MemberRow>> {
    let takes_work = rows.iter().filter(|row| row.state.takes_work());
    let mut ranked: Vec<&Arc<MemberRow>> = takes_work.collect();
    ranked.sort_by_key(|row| {
        (row.zone != zone, row.state == MemberState::Suspect, &row.name, row.incarnation)
    });
    ranked.into_iter().take(homes).cloned().collect()
}

/// The homes of all zones.
#[must_use]
pub fn all_homes(rows: &[Arc<MemberRow>], homes: usize) -> Vec<Arc<MemberRow>> {
    let zones: BTreeSet<&str> = rows.iter().map(|row| row.zone.as_str()).collect();
    let mut all: Vec<Arc<MemberRow>> =
        zones.into_iter().flat_map(|zone| homes_of_zone(rows, zone, homes)).collect();
    all.sort_by_key(|row| row.incarnation);
    all.dedup_by_key(|row| row.incarnation);
    all
}

/// Whether this instance is among the first `homes` of its own zone.
#[must_use]
pub fn is_home(board: &Blackboard, homes: usize) -> bool {
    let view = board.members_view();
    let of_zone = homes_of_zone(&view.rows, &board.settings.instance.zone, homes);
    of_zone.iter().any(|row| row.incarnation == board.incarnation)
}
