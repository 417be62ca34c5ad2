//! The servers among which an instance chooses first.

use std::sync::Arc;

use super::TrackedServer;

/// Servers of one service that an instance knows well enough to choose among, and keeps connections to. A
/// request looks at no more of them while one of these has room, however many there are.
pub const SUBSET_MAX: usize = 128;

/// A part of the servers of an availability zone: one of its homes chooses among them first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSubset {
    pub zone: Arc<str>,
    pub index: usize,
    pub homes: usize,
}

/// Of these places the near ones: by the servers' keys, so that they stay the same while others come and go.
fn truncate_by_key(mut own: Vec<usize>, servers: &[TrackedServer]) -> Vec<usize> {
    if own.len() > SUBSET_MAX {
        own.select_nth_unstable_by_key(SUBSET_MAX, |place| servers[*place].key);
        own.truncate(SUBSET_MAX);
    }
    own
}

impl ServerSubset {
    /// Whether a server of this zone and key belongs to it.
    fn contains(&self, zone: &str, key: u32) -> bool {
        *self.zone == *zone && key as usize % self.homes.max(1) == self.index
    }

    /// The places of the near ones in a list of servers; `None` where all are near, as there are few.
    #[must_use]
    pub fn select_if_larger(&self, servers: &[TrackedServer]) -> Option<Vec<usize>> {
        let own = self.partition(servers);
        (own.len() > SUBSET_MAX).then(|| truncate_by_key(own, servers))
    }

    /// The places of the servers of this part that are kept in mind: the near ones, where it has more.
    #[must_use]
    pub fn select(&self, servers: &[TrackedServer]) -> Vec<usize> {
        truncate_by_key(self.partition(servers), servers)
    }

    fn partition(&self, servers: &[TrackedServer]) -> Vec<usize> {
        let own = servers.iter().enumerate();
        let own = own.filter(|(_, server)| self.contains(&server.row.zone, server.key));
        own.map(|(place, _)| place).collect()
    }
}
