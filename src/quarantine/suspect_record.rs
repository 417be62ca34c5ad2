//! Record that instances exchange about a request that may crash backend servers.

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use super::Fingerprint;

/// Crash of a backend server that ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// One more than the highest level that the instance knew when it sent the request. Crashes of
    /// one level may share a cause outside of the request, such as a power loss; a crash of the
    /// next level came after the request was sent again.
    pub level: u16,
    /// Hash that identifies the server, see [`super::FailedSend::server_hash`].
    pub server: u32,
    /// Tells apart requests with the same fingerprint; see [`super::Fingerprints::variant_in`].
    pub variant: u32,
}

/// Crashes that count, sorted; rarely more than two before a quarantine.
pub type Crashes = SmallVec<[Crash; 4]>;

/// State of a suspect request, as sent to other instances and kept in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    pub fingerprint: Fingerprint,
    /// Hash of the name of the service that the request was last sent to.
    pub service: u32,
    pub crashes: Crashes,
    /// Crashes up to this level no longer count: the request got a response since, or was
    /// quarantined.
    pub settled_level: u16,
    /// Number of quarantines.
    #[serde(rename = "convictions")]
    pub quarantine_count: u16,
    /// Quarantines that a response has ended since.
    #[serde(rename = "pardons")]
    pub release_count: u16,
    /// Milliseconds since the last crash that counted, or the last quarantine. A duration, as the
    /// clocks of instances differ.
    pub age_ms: u64,
}

impl SuspectRecord {
    /// Highest crash level.
    #[must_use]
    pub fn level(&self) -> u16 {
        self.crashes.last().map_or(self.settled_level, |last| last.level)
    }

    /// Whether the request is quarantined, or was until its last quarantine ran out.
    #[must_use]
    pub const fn is_quarantined(&self) -> bool {
        self.quarantine_count > self.release_count
    }

    /// Time of the last change on this process's monotonic clock.
    #[must_use]
    pub const fn last_change_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.age_ms.saturating_mul(1000))
    }

    /// Hash of all fields but the age and the service; equal for instances that hold the same
    /// record.
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
