//! Membership requests between instances.

use serde::Deserialize;
use serde::Serialize;

use super::MemberRow;
use super::MembersDigest;

/// A membership request, answered from the receiver's member table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRequest {
    /// Joins the fleet. The reply lists all members of a small fleet, the first ones of each zone
    /// of a large one.
    Join(MemberRow),
    /// Direct ping. `stamp` is the sender's hybrid logical clock, `digest_hash` the hash of its
    /// [`MembersDigest`].
    Ping { from: MemberRow, stamp: u64, digest_hash: u64, gossip: Vec<MemberRow> },
    /// Asks for the buckets in which the receiver's member table differs from this digest.
    Compare(MembersDigest),
    /// Sends rows and asks for the rows with the `wanted` fingerprints.
    Exchange { wanted: Vec<u32>, rows: Vec<MemberRow> },
}
