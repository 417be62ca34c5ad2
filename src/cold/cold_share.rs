//! Who may start requests at a cold server.

use super::ColdBound;

/// The homes that share the starts, as this instance sees them.
///
/// Each server ranks the homes by a hash of its own, so who has more of one server's starts has less
/// of another's, and no word between them is needed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdShare {
    /// Homes by incarnation; `None` while this instance knows no other and may be one of many.
    pub homes: Option<Vec<u64>>,
    /// Incarnation of this instance.
    pub own: u64,
}

fn rank_hash(server_key: u32, home: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&home.to_le_bytes(), u64::from(server_key))
}

impl ColdShare {
    /// Requests that this instance may start in any second at the server that `server_key` names.
    #[must_use]
    pub fn starts_per_s(&self, bound: &ColdBound, server_key: u32) -> u32 {
        let Some(homes) = &self.homes else {
            return 1;
        };
        if !homes.contains(&self.own) {
            return 0;
        }
        let own_hash = rank_hash(server_key, self.own);
        let before = homes.iter().filter(|home| rank_hash(server_key, **home) < own_hash).count();
        part(bound.starts_of_view(), homes.len(), before)
    }
}

/// The part of the home of this rank; the first get what does not divide evenly.
fn part(starts: u32, homes: usize, rank: usize) -> u32 {
    let homes = u32::try_from(homes).unwrap_or(u32::MAX).max(1);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    starts / homes + u32::from(rank < starts % homes)
}
