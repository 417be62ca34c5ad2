//! What instances tell each other about an instance.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// How an instance is believed to be; later ones override earlier ones of the same generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    Alive,
    /// Stopping as planned: serves, but is named in no new answer.
    Leaving,
    /// Did not answer a direct and two indirect pings.
    Suspect,
    Dead,
    /// Stopped as planned.
    Left,
}

impl MemberState {
    /// Whether new work may be sent there.
    #[must_use]
    pub const fn accepts_work(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Whether it is worth a call at all.
    #[must_use]
    pub const fn may_answer(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect | Self::Leaving)
    }

    /// The name that operators read.
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

/// One instance; an instance that restarts is another member with another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Random per start of the process.
    pub incarnation: u64,
    /// Raised only by the member itself, to refute what others say of it.
    pub generation: u32,
    pub state: MemberState,
    pub name: String,
    pub zone: String,
    pub caller: SocketAddr,
    pub operator: SocketAddr,
    pub peer: SocketAddr,
    /// Requests a second that its processor and link carry.
    pub capacity_per_s: u32,
    /// Age of the member when the row was sent; never more than its true age.
    pub uptime_ms: u64,
    /// Who answers for its idempotency keys after it left.
    pub successor: Option<u64>,
}

impl MemberRow {
    /// Whether this row is news against `other` on the same member.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        (self.generation, self.state) > (other.generation, other.state)
    }
}

/// What names one state of one member in a comparison; `None` for a member that is gone: instances
/// forget those at different times, and would differ for minutes over members that nobody asks for.
///
/// Two of five thousand rows share one less than once in three hundred fleets, and then only wait
/// for a rumour.
#[must_use]
#[expect(clippy::cast_possible_truncation, reason = "half of the hash is enough")]
pub fn fingerprint(row: &MemberRow) -> Option<u32> {
    let version = u64::from(row.generation) << 8 | row.state as u64;
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&row.incarnation.to_le_bytes(), version);
    row.state.may_answer().then_some(hash as u32)
}
