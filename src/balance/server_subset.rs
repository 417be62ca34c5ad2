//! Deterministic subsetting: the servers that an instance prefers.

use std::sync::Arc;

use super::TrackedServer;

/// Servers of one service that an instance keeps up to date and keeps connections to. While one of
/// them has a free slot, a request considers no others, however many servers there are.
pub const SUBSET_MAX: usize = 128;

/// One of the equal partitions of a zone's servers; each home of the zone prefers the servers of
/// its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSubset {
    pub zone: Arc<str>,
    /// Index of the home among the homes of the zone.
    pub index: usize,
    /// Number of homes in the zone.
    pub homes: usize,
}

/// Keeps [`SUBSET_MAX`] servers, those with the lowest keys, so that the selection is stable while
/// other servers come and go.
fn truncate_by_key(mut members: Vec<usize>, servers: &[TrackedServer]) -> Vec<usize> {
    if members.len() > SUBSET_MAX {
        members.select_nth_unstable_by_key(SUBSET_MAX, |index| servers[*index].key);
        members.truncate(SUBSET_MAX);
    }
    members
}

impl ServerSubset {
    /// Whether a server of this zone and key belongs to the partition.
    fn contains(&self, zone: &str, key: u32) -> bool {
        *self.zone == *zone && key as usize % self.homes.max(1) == self.index
    }

    /// Indexes of the selected servers if the partition has more than [`SUBSET_MAX`]; `None` if it
    /// is small enough to consider all servers.
    #[must_use]
    pub fn select_if_larger(&self, servers: &[TrackedServer]) -> Option<Vec<usize>> {
        let members = self.partition(servers);
        (members.len() > SUBSET_MAX).then(|| truncate_by_key(members, servers))
    }

    /// Indexes of the partition's servers, at most [`SUBSET_MAX`].
    #[must_use]
    pub fn select(&self, servers: &[TrackedServer]) -> Vec<usize> {
        truncate_by_key(self.partition(servers), servers)
    }

    fn partition(&self, servers: &[TrackedServer]) -> Vec<usize> {
        let members = servers.iter().enumerate();
        let members = members.filter(|(_, server)| self.contains(&server.row.zone, server.key));
        members.map(|(index, _)| index).collect()
    }
}
