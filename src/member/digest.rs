//! What tells two instances, in a few bytes, whether they believe the same of all members.

use serde::Deserialize;
use serde::Serialize;

use super::MemberRow;
use super::row::fingerprint;

/// Parts of the members that are compared one by one. Of 500 members one that differs costs the
/// rows of eight, of 5,000 those of eighty.
pub const DIGEST_BUCKETS: usize = 64;

/// One number for each part of the members, by their incarnations; equal where the parts are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersDigest {
    buckets: Vec<u32>,
}

impl Default for MembersDigest {
    fn default() -> Self {
        Self { buckets: vec![0; DIGEST_BUCKETS] }
    }
}

/// The part that a member belongs to. Incarnations are random, so parts are of like size.
#[must_use]
#[expect(clippy::cast_possible_truncation, reason = "below the number of parts")]
pub const fn bucket_of(incarnation: u64) -> usize {
    (incarnation % DIGEST_BUCKETS as u64) as usize
}

impl MembersDigest {
    /// Takes a row in.
    pub(super) fn add(&mut self, row: &MemberRow) {
        let bucket = &mut self.buckets[bucket_of(row.incarnation)];
        *bucket = bucket.wrapping_add(fingerprint(row).unwrap_or(0));
    }

    /// Takes a row out.
    pub(super) fn remove(&mut self, row: &MemberRow) {
        let bucket = &mut self.buckets[bucket_of(row.incarnation)];
        *bucket = bucket.wrapping_sub(fingerprint(row).unwrap_or(0));
    }

    /// The parts in which two digests differ. One of another length, from a faulty peer, differs in
    /// all of them.
    #[must_use]
    pub fn differing_buckets(&self, other: &Self) -> Vec<usize> {
        (0..DIGEST_BUCKETS)
            .filter(|bucket| self.buckets.get(*bucket) != other.buckets.get(*bucket))
            .collect()
    }

    /// All parts in one number, to compare on each ping.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let seed = self.buckets.len() as u64;
        let mix = |sum: u64, bucket: &u32| sum.wrapping_mul(31).wrapping_add(u64::from(*bucket));
        self.buckets.iter().fold(seed, mix)
    }
}
