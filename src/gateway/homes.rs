//! Which instances the callers of a zone are told of.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::board::Blackboard;
use crate::member::MemberRow;
use crate::member::MemberState;

/// Homes of one zone at most. Each tells all others what it has at the backend servers, which
/// grows with the square of their number.
const HOMES_MAX: usize = 8;

/// How many homes a zone has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomesPlan {
    /// Homes at least, while there are so many instances.
    pub least: usize,
    /// Requests a second that the homes of a zone must be able to carry together.
    pub demand_per_s: u32,
}

impl HomesPlan {
    /// The first instance of each zone, which does for the zone what one must do.
    pub const FIRST: Self = Self { least: 1, demand_per_s: 0 };

    /// The plan in force.
    #[must_use]
    pub fn of(board: &Blackboard) -> Self {
        let least = board.settings.gateway.as_ref().map_or(1, |gateway| gateway.homes_per_zone);
        Self { least, demand_per_s: board.zone_demand_per_s() }
    }

    /// How many of the ranked instances are needed.
    fn count(self, ranked: &[&Arc<MemberRow>]) -> usize {
        let mut carried_per_s = 0_u32;
        let mut homes = 0;
        for row in ranked {
            if homes >= self.least && carried_per_s >= self.demand_per_s || homes == HOMES_MAX {
                break;
            }
            carried_per_s = carried_per_s.saturating_add(row.capacity_per_s);
            homes += 1;
        }
        homes
    }
}

/// The instances that take work, those of the zone first and of these the largest, the same in
/// every instance's view.
fn ranked<'a>(rows: &'a [Arc<MemberRow>], zone: &str) -> Vec<&'a Arc<MemberRow>> {
    let mut ranked: Vec<&Arc<MemberRow>> =
        rows.iter().filter(|row| row.state.takes_work()).collect();
    ranked.sort_by_key(|row| {
        let suspect = row.state == MemberState::Suspect;
        (row.zone != zone, suspect, Reverse(row.capacity_per_s), &row.name, row.incarnation)
    });
    ranked
}

/// The instances of a zone that take work, in the order in which they become homes.
#[must_use]
pub fn instances_of_zone(rows: &[Arc<MemberRow>], zone: &str) -> Vec<Arc<MemberRow>> {
    let ranked = ranked(rows, zone);
    ranked.into_iter().take_while(|row| row.zone == zone).cloned().collect()
}

/// The homes of a zone: a few of its instances, the same in every instance's view.
///
/// Few, so that each knows most of what the zone's callers have at the backend servers and keeps
/// its connections warm; enough to carry what callers may ask. A zone that has too few of its own
/// borrows from the others.
#[must_use]
pub fn homes_of_zone(rows: &[Arc<MemberRow>], zone: &str, plan: HomesPlan) -> Vec<Arc<MemberRow>> {
    let ranked = ranked(rows, zone);
    let count = plan.count(&ranked);
    ranked.into_iter().take(count).cloned().collect()
}

/// The zones of these instances.
#[must_use]
pub fn zones_of(rows: &[Arc<MemberRow>]) -> BTreeSet<&str> {
    rows.iter().map(|row| row.zone.as_str()).collect()
}

/// The homes of all zones.
#[must_use]
pub fn all_homes(rows: &[Arc<MemberRow>], plan: HomesPlan) -> Vec<Arc<MemberRow>> {
    let zones = zones_of(rows);
    let mut all: Vec<Arc<MemberRow>> =
        zones.into_iter().flat_map(|zone| homes_of_zone(rows, zone, plan)).collect();
    all.sort_by_key(|row| row.incarnation);
    all.dedup_by_key(|row| row.incarnation);
    all
}

/// The place of this instance among the homes of its zone, and their number; `None` where it is
/// no home.
#[must_use]
pub fn place_among_homes(board: &Blackboard, plan: HomesPlan) -> Option<(usize, usize)> {
    let view = board.members_view();
    let homes = homes_of_zone(&view.rows, &board.settings.instance.zone, plan);
    let place = homes.iter().position(|row| row.incarnation == board.incarnation)?;
    Some((place, homes.len()))
}

/// Whether this instance is a home of its zone.
#[must_use]
pub fn is_home(board: &Blackboard, plan: HomesPlan) -> bool {
    place_among_homes(board, plan).is_some()
}
