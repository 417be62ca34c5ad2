//! What instances tell each other of a request that may crash backend servers.

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use super::Fingerprint;

/// The end of a backend server that worked on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// One more than the highest level known to the instance when it sent the request. Crashes of
    /// one level may have one cause outside of the request, as a loss of power; a crash of the next
    /// level came after somebody had tried the request again.
    pub level: u16,
    /// Hash of the server's id and start.
    pub server: u32,
    /// Tells requests of a wide fingerprint apart; see [`super::Fingerprints::variant_in`].
    pub variant: u32,
}

/// Crashes that count, in order; rarely more than two before they convict.
pub type Crashes = SmallVec<[Crash; 4]>;

/// All that is known of one request, as of now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    pub fingerprint: Fingerprint,
    /// Hash of the name of the service that it was sent to last.
    pub service: u32,
    pub crashes: Crashes,
    /// Crashes up to this level count no more: the request was answered since, or convicted.
    pub settled_level: u16,
    /// How often it was convicted.
    #[serde(rename = "convictions")]
    pub quarantine_count: u16,
    /// Convictions that an answer has disproved since.
    #[serde(rename = "pardons")]
    pub release_count: u16,
    /// Time since the last crash that counted, or conviction; a length, as clocks differ.
    pub age_ms: u64,
}

impl SuspectRecord {
    /// The highest level of a crash.
    #[must_use]
    pub fn level(&self) -> u16 {
        self.crashes.last().map_or(self.settled_level, |last| last.level)
    }

    /// When its news were, on this process's monotonic clock.
    #[must_use]
    pub const fn last_change_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.age_ms.saturating_mul(1000))
    }

    /// Hash of all but the age, equal where two instances believe the same.
    #[must_use]
    pub fn content_hash(&self) -> u64 {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(self.fingerprint.scope.name().as_bytes());
        hash.update(self.fingerprint.to_string().as_bytes());
        for number in [self.settled_level, self.quarantine_count, self.release_count] {
            hash.update(&number.to_le_bytes());
        }
        for crash in &self.crashes {
            hash.update(&crash.level.to_le_bytes());
            hash.update(&crash.server.to_le_bytes());
            hash.update(&crash.variant.to_le_bytes());
        }
        hash.digest()
    }
}
