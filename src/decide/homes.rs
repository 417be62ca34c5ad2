//! Selection of the homes of a service, which are the instances that handle its requests, and of
//! the keeper of each backend server, which is the home that hands out its slots.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Each zone gets another home per this many slots.
const SLOTS_PER_HOME: u32 = 64;
/// Minimum number of homes of a service.
const HOMES_MIN: usize = 2;

/// An instance that can become a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeCandidate<'a> {
    pub incarnation: u64,
    pub zone: &'a str,
}

fn rendezvous_weight(name: &str, incarnation: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), incarnation)
}

/// The number of homes in a zone, from the slots of its backend servers.
///
/// With a home in each zone, requests need not cross zones on their way, during which slots would
/// be idle. Fewer homes perform worse, and more homes split the knowledge about the servers
/// (docs/MEASUREMENTS.md, "How many homes").
fn homes_wanted(slots: u32) -> usize {
    (slots.div_ceil(SLOTS_PER_HOME) as usize).max(1)
}

/// The homes of a service, by rendezvous hashing. `zone_slots` holds the slots of the service in
/// each zone.
///
/// All instances with the same view of the members select the same homes, and a member that joins
/// or leaves only moves homes to or from itself. There are at least two homes, so that one can
/// fail.
#[must_use]
pub fn select_homes(
    service: &str,
    candidates: &[HomeCandidate<'_>],
    zone_slots: &[(&str, u32)],
) -> SmallVec<[usize; 8]> {
    let mut ranked: Vec<usize> = (0..candidates.len()).collect();
    ranked.sort_by_cached_key(|&at| {
        std::cmp::Reverse(rendezvous_weight(service, candidates[at].incarnation))
    });
    let mut homes: SmallVec<[usize; 8]> = SmallVec::new();
    for (zone, slots) in zone_slots {
        let in_zone = ranked.iter().filter(|&&at| candidates[at].zone == *zone);
        homes.extend(in_zone.take(homes_wanted(*slots)).copied());
    }
    for at in ranked {
        if homes.len() >= HOMES_MIN {
            break;
        }
        if !homes.contains(&at) {
            homes.push(at);
        }
    }
    homes
}

/// For each backend server (ID, zone), the position in `homes` of its keeper.
///
/// The keeper of a server is the only home that hands out its slots, so no slots are leased to
/// other homes, which could lose them. A home in the server's zone is preferred, and no home keeps
/// more than its equal share.
#[must_use]
pub fn assign_keepers(servers: &[(&str, &str)], homes: &[HomeCandidate<'_>]) -> Vec<usize> {
    if homes.is_empty() {
        return Vec::new();
    }
    let share = servers.len().div_ceil(homes.len());
    let mut kept_counts = vec![0; homes.len()];
    let mut keepers = Vec::with_capacity(servers.len());
    for (id, zone) in servers {
        let open = (0..homes.len()).filter(|&at| kept_counts[at] < share);
        let rank =
            |&at: &usize| (homes[at].zone == *zone, rendezvous_weight(id, homes[at].incarnation));
        let keeper = open.max_by_key(rank).unwrap_or(0);
        kept_counts[keeper] += 1;
        keepers.push(keeper);
    }
    keepers
}
