//! Whether this instance sees most of its availability zone.

use std::collections::HashSet;
use std::net::SocketAddr;

use crate::board::MembersView;
use crate::member::MemberState;

/// After so long those who are missing are taken for lost, not for parted from this instance.
const PARTITION_MAX_US: u64 = 15_000_000;

/// Since when most of the zone is missing, if it is.
///
/// Of two groups of a zone that are parted from each other, one at most sees more than half of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ZoneMajority {
    minority_since_us: Option<u64>,
}

impl ZoneMajority {
    /// Whether most instances of the zone are seen, or those that are missing are lost.
    pub(super) fn has_majority(&mut self, view: &MembersView, zone: &str, now_us: u64) -> bool {
        let of_zone = || view.rows.iter().filter(|row| row.zone == zone);
        let there = of_zone().filter(|row| row.state.may_answer()).map(|row| row.peer);
        let there: HashSet<SocketAddr> = there.collect();
        let dead = of_zone().filter(|row| row.state == MemberState::Dead).map(|row| row.peer);
        let missing: HashSet<SocketAddr> = dead.filter(|peer| !there.contains(peer)).collect();
        if there.len() > missing.len() {
            self.minority_since_us = None;
            return true;
        }
        let since_us = *self.minority_since_us.get_or_insert(now_us);
        now_us.saturating_sub(since_us) >= PARTITION_MAX_US
    }
}
