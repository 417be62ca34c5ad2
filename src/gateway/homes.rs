//! Which instances the callers of a zone are told of.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::board::Blackboard;
use crate::board::MembersView;
use crate::member::MemberRow;

/// Homes of one zone at most. Each tells all others what it has at the backend servers, which
/// grows with the square of their number.
const HOMES_MAX: usize = 8;

/// The homes of one zone, in the order in which they became so.
pub type Homes = SmallVec<[Arc<MemberRow>; HOMES_MAX]>;

/// How many homes a zone has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomesPlan {
    /// Homes at least, while there are so many instances.
    pub homes_min: usize,
    /// Requests a second that the homes of a zone must be able to carry together.
    pub demand_per_s: u32,
}

impl HomesPlan {
    /// The first instance of each zone, which does for the zone what one must do.
    pub const FIRST_ONLY: Self = Self { homes_min: 1, demand_per_s: 0 };

    /// The plan in force.
    #[must_use]
    pub fn of(board: &Blackboard) -> Self {
        let homes_min = board.settings.gateway.as_ref().map_or(1, |gateway| gateway.homes_per_zone);
        Self { homes_min, demand_per_s: board.zone_demand_per_s() }
    }

    /// Whether homes that carry so much together are enough.
    const fn is_met(self, homes: usize, carried_per_s: u32) -> bool {
        homes >= self.homes_min && carried_per_s >= self.demand_per_s || homes == HOMES_MAX
    }
}

/// The homes of a zone: a few of its instances, the same in every instance's view.
///
/// Few, so that each knows most of what the zone's callers have at the backend servers and keeps
/// its connections warm; enough to carry what callers may ask. A zone that has too few of its own
/// borrows from the others.
#[must_use]
pub fn homes_of_zone(view: &MembersView, zone: &str, plan: HomesPlan) -> Homes {
    let mut homes = Homes::new();
    let mut carried_per_s = 0_u32;
    // The others are looked up only by a zone that has too few.
    let elsewhere = std::iter::once_with(|| view.ranked_elsewhere(zone, HOMES_MAX)).flatten();
    for row in view.ranked(zone).iter().chain(elsewhere) {
        if plan.is_met(homes.len(), carried_per_s) {
            break;
        }
        carried_per_s = carried_per_s.saturating_add(row.capacity_per_s);
        homes.push(Arc::clone(row));
    }
    homes
}

/// The homes of all zones, in the order of their incarnations.
#[must_use]
pub fn all_homes(view: &MembersView, plan: HomesPlan) -> Vec<Arc<MemberRow>> {
    let mut all: Vec<Arc<MemberRow>> =
        view.zones().flat_map(|zone| homes_of_zone(view, zone, plan)).collect();
    all.sort_by_key(|row| row.incarnation);
    all.dedup_by_key(|row| row.incarnation);
    all
}

/// The place of this instance among the homes of its zone, and their number; `None` where it is
/// no home.
#[must_use]
pub fn home_index(board: &Blackboard, plan: HomesPlan) -> Option<(usize, usize)> {
    let view = board.members_view();
    let homes = homes_of_zone(&view, &board.settings.instance.zone, plan);
    let place = homes.iter().position(|row| row.incarnation == board.incarnation)?;
    Some((place, homes.len()))
}

/// Whether this instance is a home of its zone.
#[must_use]
pub fn is_home(board: &Blackboard, plan: HomesPlan) -> bool {
    home_index(board, plan).is_some()
}
