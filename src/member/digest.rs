//! A short digest by which two instances detect that their member tables differ.

use serde::Deserialize;
use serde::Serialize;

use super::MemberRow;
use super::row::fingerprint;

/// Number of buckets that are compared separately. One member that differs costs sending the
/// fingerprints of eight members out of 500, or of eighty out of 5,000.
pub const DIGEST_BUCKETS: usize = 64;

/// One checksum per bucket of members; two tables agree on a bucket if the checksums are equal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersDigest {
    buckets: Vec<u32>,
}

impl Default for MembersDigest {
    fn default() -> Self {
        Self { buckets: vec![0; DIGEST_BUCKETS] }
    }
}

/// The bucket of a member. Incarnations are random, so buckets are of similar size.
#[must_use]
#[expect(clippy::cast_possible_truncation, reason = "below the number of buckets")]
pub const fn bucket_of(incarnation: u64) -> usize {
    (incarnation % DIGEST_BUCKETS as u64) as usize
}

impl MembersDigest {
    /// Adds a row to its bucket.
    pub(super) fn add(&mut self, row: &MemberRow) {
        let bucket = &mut self.buckets[bucket_of(row.incarnation)];
        *bucket = bucket.wrapping_add(fingerprint(row).unwrap_or(0));
    }

    /// Removes a row from its bucket.
    pub(super) fn remove(&mut self, row: &MemberRow) {
        let bucket = &mut self.buckets[bucket_of(row.incarnation)];
        *bucket = bucket.wrapping_sub(fingerprint(row).unwrap_or(0));
    }

    /// The buckets in which two digests differ. A digest of another length, from a faulty peer,
    /// differs in every bucket that it lacks.
    #[must_use]
    pub fn differing_buckets(&self, other: &Self) -> Vec<usize> {
        (0..DIGEST_BUCKETS)
            .filter(|bucket| self.buckets.get(*bucket) != other.buckets.get(*bucket))
            .collect()
    }

    /// A hash over all buckets, to be compared on each ping.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let seed = self.buckets.len() as u64;
        let mix = |sum: u64, bucket: &u32| sum.wrapping_mul(31).wrapping_add(u64::from(*bucket));
        self.buckets.iter().fold(seed, mix)
    }
}
