//! Whether this instance sees the majority of its availability zone.

use std::collections::HashSet;
use std::net::SocketAddr;

use crate::board::MembersView;
use crate::member::MemberState;

/// Time in microseconds after which missing instances are considered dead, not separated by a
/// network partition.
const PARTITION_MAX_US: u64 = 15_000_000;

/// Tracks since when the majority of the zone has been missing, if it is.
///
/// If a partition splits a zone in two, at most one side sees more than half of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ZoneMajority {
    minority_since_us: Option<u64>,
}

impl ZoneMajority {
    /// Whether this instance sees the majority of the zone, or has not seen it for so long that the
    /// missing instances are considered dead.
    pub(super) fn has_majority(&mut self, view: &MembersView, zone: &str, now_us: u64) -> bool {
        let of_zone = || view.rows.iter().filter(|row| row.zone == zone);
        let seen = of_zone().filter(|row| row.state.may_answer()).map(|row| row.peer_address);
        let seen: HashSet<SocketAddr> = seen.collect();
        let dead =
            of_zone().filter(|row| row.state == MemberState::Dead).map(|row| row.peer_address);
        let missing: HashSet<SocketAddr> = dead.filter(|peer| !seen.contains(peer)).collect();
        if seen.len() > missing.len() {
            self.minority_since_us = None;
            return true;
        }
        let since_us = *self.minority_since_us.get_or_insert(now_us);
        now_us.saturating_sub(since_us) >= PARTITION_MAX_US
    }
}
