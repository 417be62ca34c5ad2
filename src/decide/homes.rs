//! Which instances are the homes of a service, and which home keeps which backend server.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One more home for each so many slots; below, a small service keeps its few homes.
const SLOTS_PER_HOME: u32 = 64;
const HOMES_MIN: usize = 2;

/// An instance that may be a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    pub incarnation: u64,
    pub zone: &'a str,
}

fn weight(name: &str, incarnation: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), incarnation)
}

/// How many homes a service of this size has.
///
/// Two at least, so that one may fail; more only where slots need them, since each further home
/// splits what is known of the servers.
#[must_use]
pub fn homes_wanted(slots: u32, candidates: usize) -> usize {
    let by_size = slots.div_ceil(SLOTS_PER_HOME) as usize;
    by_size.max(HOMES_MIN).min(candidates)
}

/// The homes of a service by rendezvous hashing, each in another zone as long as there are
/// zones without one. All instances that see the same members name the same homes, and a
/// member that comes or goes moves only the homes it gains or loses.
#[must_use]
pub fn homes_of(
    service: &str,
    candidates: &[Candidate<'_>],
    wanted: usize,
) -> SmallVec<[usize; 8]> {
    let mut ranked: Vec<usize> = (0..candidates.len()).collect();
    ranked.sort_by_key(|&at| std::cmp::Reverse(weight(service, candidates[at].incarnation)));
    let mut homes: SmallVec<[usize; 8]> = SmallVec::new();
    while homes.len() < wanted.min(ranked.len()) {
        let used = |zone: &str| homes.iter().filter(|&&at| candidates[at].zone == zone).count();
        let free = ranked.iter().filter(|at| !homes.contains(at));
        let Some(&next) = free.min_by_key(|&&at| used(candidates[at].zone)) else {
            break;
        };
        homes.push(next);
    }
    homes
}

/// For each backend server (id, zone) the position in `homes` of its keeper.
///
/// Each server has one keeper, which alone hands out its slots; so nothing is lent that could
/// be lost. A home of the server's own zone comes first, and no home keeps more than its share.
#[must_use]
pub fn keepers_of(servers: &[(&str, &str)], homes: &[Candidate<'_>]) -> Vec<usize> {
    if homes.is_empty() {
        return Vec::new();
    }
    let share = servers.len().div_ceil(homes.len());
    let mut kept = vec![0; homes.len()];
    let mut keepers = Vec::with_capacity(servers.len());
    for (id, zone) in servers {
        let open = (0..homes.len()).filter(|&at| kept[at] < share);
        let rank = |&at: &usize| (homes[at].zone == *zone, weight(id, homes[at].incarnation));
        let keeper = open.max_by_key(rank).unwrap_or(0);
        kept[keeper] += 1;
        keepers.push(keeper);
    }
    keepers
}
