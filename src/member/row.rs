//! The membership record of one instance, as instances exchange it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// State of a member as others see it; of the same generation, a later variant overrides an earlier
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Answers pings.
    Alive,
    /// Shutting down in an orderly way: still serves, but is no longer advertised to callers.
    Leaving,
    /// Answered neither a direct nor two indirect pings.
    Suspect,
    /// Remained a suspect until the suspicion timed out, or was replaced by a new process at its
    /// address.
    Dead,
    /// Shut down in an orderly way.
    Left,
}

impl MemberState {
    /// Whether new requests may be sent to the member.
    #[must_use]
    pub const fn accepts_work(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Whether the member may answer a call.
    #[must_use]
    pub const fn may_answer(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect | Self::Leaving)
    }

    /// The state's name in logs and status pages.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }
}

/// One instance; after a restart it is a new member with a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Random number, drawn at each process start.
    pub incarnation: u64,
    /// Raised only by the member itself, to refute a suspicion or to announce a new state.
    pub generation: u32,
    pub state: MemberState,
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Address for requests of callers.
    pub caller_address: SocketAddr,
    /// Address for calls of operators.
    pub operator_address: SocketAddr,
    /// Address for calls of other instances.
    pub peer_address: SocketAddr,
    /// Requests per second that its processor and network link can carry.
    pub capacity_per_s: u32,
    /// Whether it reaches backend servers; `false` only while other instances do and it does not.
    pub reaches_servers: bool,
    /// Uptime when the row was sent; never more than the true uptime.
    pub uptime_ms: u64,
    /// Incarnation of the member that owns its idempotency keys after it left.
    pub successor: Option<u64>,
}

impl MemberRow {
    /// Whether this row overrides `other`, a row of the same member.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        (self.generation, self.state) > (other.generation, other.state)
    }
}

/// Hash that identifies a member in one state; `None` for a dead or left member. Instances remove
/// those at different times, and their tables would otherwise differ for minutes over irrelevant
/// rows.
///
/// Two of 5,000 rows collide in fewer than one of 300 fleets; a collision only delays a row until
/// gossip brings it.
#[must_use]
#[expect(clippy::cast_possible_truncation, reason = "32 bits of the hash are enough")]
pub fn fingerprint(row: &MemberRow) -> Option<u32> {
    let version = u64::from(row.generation) << 8 | row.state as u64;
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&row.incarnation.to_le_bytes(), version);
    row.state.may_answer().then_some(hash as u32)
}
