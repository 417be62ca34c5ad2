//! Which instances hold the tokens of a workspace.

use std::net::SocketAddr;
use std::sync::Arc;

use smallvec::SmallVec;

/// A home that holds tokens has room for so many at least: one that has less than one never serves any.
const TOKENS_PER_HOLDER_MIN: f64 = 2.0;

/// A home that may hold tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaHome {
    pub zone: Arc<str>,
    pub incarnation: u64,
    pub peer: SocketAddr,
}

/// The homes that may hold tokens, as this instance sees them.
///
/// Each availability zone has a fixed part, whoever is believed to be there: parts of zones that are parted
/// from each other do not grow. Within a zone, only those who see more than half of it hold any.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaPlacement {
    /// All availability zones, those without instances too.
    pub zones: Vec<Arc<str>>,
    pub own_zone: Arc<str>,
    pub own_incarnation: u64,
    pub homes: Vec<QuotaHome>,
    /// Whether this instance sees most of its zone.
    pub sees_zone_majority: bool,
}

/// Ranks by a hash of the workspace, so that each has holders of its own.
fn rank_hash(workspace: &str, candidate: &[u8]) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(workspace.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(candidate, seed)
}

/// How many of `candidates` hold parts of so many tokens.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few candidates, never below zero"
)]
fn holder_count(tokens: f64, candidates: usize) -> usize {
    ((tokens / TOKENS_PER_HOLDER_MIN) as usize).clamp(1, candidates.max(1))
}

#[expect(clippy::cast_precision_loss, reason = "some zones and homes")]
fn equal_fraction(count: usize) -> f64 {
    1.0 / count as f64
}

impl QuotaPlacement {
    /// The zones that hold the tokens of a workspace.
    fn holder_zones(&self, workspace: &str, tokens_max: f64) -> SmallVec<[&Arc<str>; 8]> {
        let mut zones: SmallVec<[&Arc<str>; 8]> = self.zones.iter().collect();
        zones.sort_by_cached_key(|zone| rank_hash(workspace, zone.as_bytes()));
        zones.truncate(holder_count(tokens_max, zones.len()));
        zones
    }

    /// The homes of a zone that hold its part of so many tokens.
    fn holder_homes(&self, workspace: &str, zone: &str, tokens: f64) -> SmallVec<[&QuotaHome; 8]> {
        let mut homes: SmallVec<[&QuotaHome; 8]> =
            self.homes.iter().filter(|home| *home.zone == *zone).collect();
        homes.sort_by_cached_key(|home| rank_hash(workspace, &home.incarnation.to_le_bytes()));
        homes.truncate(holder_count(tokens, homes.len()));
        homes
    }

    /// This instance's part of a workspace's rate and tokens, 0 to 1.
    #[must_use]
    pub fn own_fraction(&self, workspace: &str, tokens_max: f64) -> f64 {
        if !self.sees_zone_majority {
            return 0.0;
        }
        let zones = self.holder_zones(workspace, tokens_max);
        if !zones.contains(&&self.own_zone) {
            return 0.0;
        }
        let zone_part = equal_fraction(zones.len());
        let homes = self.holder_homes(workspace, &self.own_zone, tokens_max * zone_part);
        let holds = homes.iter().any(|home| home.incarnation == self.own_incarnation);
        if holds { zone_part * equal_fraction(homes.len()) } else { 0.0 }
    }

    /// The other instances that hold tokens of a workspace; those of the own zone come first.
    #[must_use]
    pub fn lenders(&self, workspace: &str, tokens_max: f64) -> SmallVec<[SocketAddr; 2]> {
        let mut zones = self.holder_zones(workspace, tokens_max);
        let tokens = tokens_max * equal_fraction(zones.len());
        zones.sort_by_key(|zone| ***zone != *self.own_zone);
        let homes = zones.iter().flat_map(|zone| self.holder_homes(workspace, zone, tokens));
        let others = homes.filter(|home| home.incarnation != self.own_incarnation);
        others.map(|home| home.peer).collect()
    }
}
