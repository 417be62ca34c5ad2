//! What instances ask each other about members.

use serde::Deserialize;
use serde::Serialize;

use super::MemberRow;
use super::MembersDigest;

/// A question about members, which is answered from what the asked instance believes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRequest {
    /// A newcomer asks for members: all of a small fleet, the first ones of each zone of a large one.
    Join(MemberRow),
    /// Asks for a sign of life. `summary` is that of what the sender believes of all members.
    Ping { from: MemberRow, stamp: u64, digest_hash: u64, gossip: Vec<MemberRow> },
    /// Asks in which members the other believes something else.
    Compare(MembersDigest),
    /// Tells of members, and asks for the rows with these fingerprints.
    Exchange { wanted: Vec<u32>, rows: Vec<MemberRow> },
}
