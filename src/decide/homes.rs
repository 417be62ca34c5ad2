//! Which instances are the homes of a service, and which home keeps which backend server.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One more home in a zone for each so many slots there.
const SLOTS_PER_HOME: u32 = 64;
const HOMES_MIN: usize = 2;

/// An instance that may be a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeCandidate<'a> {
    pub incarnation: u64,
    pub zone: &'a str,
}

fn rendezvous_weight(name: &str, incarnation: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), incarnation)
}

/// How many homes each zone has that holds backend servers, from its slots.
///
/// One home per zone keeps its servers without a way between zones, on which slots would idle
/// while answers travel; fewer homes lose to that, more split what is known of the servers
/// (docs/MEASUREMENTS.md, "How many homes").
fn homes_wanted(slots: u32) -> usize {
    (slots.div_ceil(SLOTS_PER_HOME) as usize).max(1)
}

/// The homes of a service by rendezvous hashing, for `zone_slots`: its slots in each zone.
///
/// All instances that see the same members name the same homes, and a member that comes or goes
/// moves only the homes that it gains or loses. There are two at least, so that one may fail.
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

/// For each backend server (id, zone) the position in `homes` of its keeper.
///
/// Each server has one keeper, which alone hands out its slots; so nothing is lent that could
/// be lost. A home of the server's own zone comes first, and no home keeps more than its share.
#[must_use]
pub fn assign_keepers(servers: &[(&str, &str)], homes: &[HomeCandidate<'_>]) -> Vec<usize> {
    if homes.is_empty() {
        return Vec::new();
    }
    let share = servers.len().div_ceil(homes.len());
    let mut kept = vec![0; homes.len()];
    let mut keepers = Vec::with_capacity(servers.len());
    for (id, zone) in servers {
        let open = (0..homes.len()).filter(|&at| kept[at] < share);
        let rank =
            |&at: &usize| (homes[at].zone == *zone, rendezvous_weight(id, homes[at].incarnation));
        let keeper = open.max_by_key(rank).unwrap_or(0);
        kept[keeper] += 1;
        keepers.push(keeper);
    }
    keepers
}
