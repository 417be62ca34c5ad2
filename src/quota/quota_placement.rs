//! Placement of the tokens of a workspace on instances.

use std::net::SocketAddr;
use std::sync::Arc;

use smallvec::SmallVec;

/// Minimum capacity of a home that holds tokens; below 1 it would never serve a request.
const TOKENS_PER_HOLDER_MIN: f64 = 2.0;

/// A home: an instance that callers are directed to, and that may hold tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaHome {
    pub zone: Arc<str>,
    /// Identifies one start of the instance.
    pub incarnation: u64,
    /// Address for calls from other instances.
    pub peer: SocketAddr,
}

/// The homes that may hold tokens, as this instance sees them.
///
/// Each availability zone has a fixed fraction, whichever instances are believed to be there, so
/// zones that are partitioned from each other do not take over each other's fraction. Within a
/// zone, only instances that see more than half of it hold tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaPlacement {
    /// All availability zones, including those without instances.
    pub zones: Vec<Arc<str>>,
    pub own_zone: Arc<str>,
    /// Incarnation of this instance.
    pub own_incarnation: u64,
    pub homes: Vec<QuotaHome>,
    /// Whether this instance sees more than half of its zone.
    pub sees_zone_majority: bool,
}

/// Rank of a candidate for a workspace (rendezvous hashing), so that workspaces have different
/// holders.
fn rank_hash(workspace: &str, candidate: &[u8]) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(workspace.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(candidate, seed)
}

/// Number of `candidates` that `tokens` are split over.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few candidates, never negative"
)]
fn holder_count(tokens: f64, candidates: usize) -> usize {
    ((tokens / TOKENS_PER_HOLDER_MIN) as usize).clamp(1, candidates.max(1))
}

#[expect(clippy::cast_precision_loss, reason = "a few zones and homes")]
fn equal_fraction(count: usize) -> f64 {
    1.0 / count as f64
}

impl QuotaPlacement {
    /// Zones that hold the tokens of a workspace.
    fn holder_zones(&self, workspace: &str, tokens_max: f64) -> SmallVec<[&Arc<str>; 8]> {
        let mut zones: SmallVec<[&Arc<str>; 8]> = self.zones.iter().collect();
        zones.sort_by_cached_key(|zone| rank_hash(workspace, zone.as_bytes()));
        zones.truncate(holder_count(tokens_max, zones.len()));
        zones
    }

    /// Homes that hold the `tokens` of a zone for a workspace.
    fn holder_homes(&self, workspace: &str, zone: &str, tokens: f64) -> SmallVec<[&QuotaHome; 8]> {
        let mut homes: SmallVec<[&QuotaHome; 8]> =
            self.homes.iter().filter(|home| *home.zone == *zone).collect();
        homes.sort_by_cached_key(|home| rank_hash(workspace, &home.incarnation.to_le_bytes()));
        homes.truncate(holder_count(tokens, homes.len()));
        homes
    }

    /// This instance's fraction of a workspace's rate and capacity, 0 to 1.
    #[must_use]
    pub fn own_fraction(&self, workspace: &str, tokens_max: f64) -> f64 {
        if !self.sees_zone_majority {
            return 0.0;
        }
        let zones = self.holder_zones(workspace, tokens_max);
        if !zones.contains(&&self.own_zone) {
            return 0.0;
        }
        let zone_fraction = equal_fraction(zones.len());
        let homes = self.holder_homes(workspace, &self.own_zone, tokens_max * zone_fraction);
        let holds = homes.iter().any(|home| home.incarnation == self.own_incarnation);
        if holds { zone_fraction * equal_fraction(homes.len()) } else { 0.0 }
    }

    /// Peer addresses of the other instances that hold tokens of a workspace, those of this zone
    /// first.
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
