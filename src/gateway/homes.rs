//! Which instances the callers of a zone are directed to: the *homes* of the zone.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::board::Blackboard;
use crate::board::MembersView;
use crate::member::MemberRow;

/// Maximum number of homes of a zone. Each reports its load at the backend servers to all others,
/// so the traffic grows with the square of their number.
const HOMES_MAX: usize = 8;

/// The homes of one zone, in rank order.
pub type Homes = SmallVec<[Arc<MemberRow>; HOMES_MAX]>;

/// How many homes a zone needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomesPlan {
    /// Minimum number of homes, if the fleet has that many instances.
    pub homes_min: usize,
    /// Requests per second that the homes of a zone must be able to carry together.
    pub demand_per_s: u32,
    /// Whether homes must reach backend servers, unless no instance does.
    pub needs_servers: bool,
}

impl HomesPlan {
    /// Only the first instance of each zone: the one that does the tasks that a zone needs done
    /// once.
    pub const FIRST_ONLY: Self = Self { homes_min: 1, demand_per_s: 0, needs_servers: false };

    /// The current plan.
    #[must_use]
    pub fn of(board: &Blackboard) -> Self {
        let homes_min = board.settings.gateway.as_ref().map_or(1, |gateway| gateway.homes_per_zone);
        Self { homes_min, demand_per_s: board.zone_demand_per_s(), needs_servers: true }
    }

    /// Whether this number of homes with this total capacity is enough.
    const fn is_met(self, homes: usize, carried_per_s: u32) -> bool {
        homes >= self.homes_min && carried_per_s >= self.demand_per_s || homes == HOMES_MAX
    }
}

/// Returns the homes of a zone: a few of its instances, the same on every instance that knows the
/// same members.
///
/// Few, so that each knows most of the load of the zone's callers at the backend servers and keeps
/// its connections warm; enough to carry the demand. A zone with too few instances borrows from
/// other zones.
#[must_use]
pub fn homes_of_zone(view: &MembersView, zone: &str, plan: HomesPlan) -> Homes {
    let homes = first_homes(view, zone, plan, |row| row.reaches_servers || !plan.needs_servers);
    // If no instance reaches servers, one is as good as another.
    if homes.is_empty() { first_homes(view, zone, plan, |_| true) } else { homes }
}

/// The first instances, in rank order, that qualify.
fn first_homes(
    view: &MembersView,
    zone: &str,
    plan: HomesPlan,
    qualifies: impl Fn(&MemberRow) -> bool,
) -> Homes {
    let mut homes = Homes::new();
    let mut carried_per_s = 0_u32;
    // Evaluated only if the zone has too few instances.
    let elsewhere =
        std::iter::once_with(|| view.ranked_in_other_zones(zone, HOMES_MAX, &qualifies)).flatten();
    let in_zone = view.ranked(zone).iter().filter(|row| qualifies(row));
    for row in in_zone.chain(elsewhere) {
        if plan.is_met(homes.len(), carried_per_s) {
            break;
        }
        carried_per_s = carried_per_s.saturating_add(row.capacity_per_s);
        homes.push(Arc::clone(row));
    }
    homes
}

/// The homes of all zones, without duplicates, ordered by incarnation.
#[must_use]
pub fn all_homes(view: &MembersView, plan: HomesPlan) -> Vec<Arc<MemberRow>> {
    let mut all: Vec<Arc<MemberRow>> =
        view.zones().flat_map(|zone| homes_of_zone(view, zone, plan)).collect();
    all.sort_by_key(|row| row.incarnation);
    all.dedup_by_key(|row| row.incarnation);
    all
}

/// The index of this instance among the homes of its zone, and their number; `None` if it is not a
/// home.
#[must_use]
pub fn home_index(board: &Blackboard, plan: HomesPlan) -> Option<(usize, usize)> {
    let view = board.members_view();
    let homes = homes_of_zone(&view, &board.settings.instance.zone, plan);
    let index = homes.iter().position(|row| row.incarnation == board.incarnation)?;
    Some((index, homes.len()))
}

/// Whether this instance is a home of its zone.
#[must_use]
pub fn is_home(board: &Blackboard, plan: HomesPlan) -> bool {
    home_index(board, plan).is_some()
}
