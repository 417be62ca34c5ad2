//! Head of a request that one gateway forwards to another.

use std::time::Duration;

use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

use crate::peer::ForwardedHead;
use crate::peer::Message;
use crate::quarantine::Fingerprints;
use crate::workspace::KeyHash;

/// A caller's request as an instance without a path to the servers forwards it; the body follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerForwardHead {
    pub method: String,
    /// Path and query, byte for byte as received from the caller.
    pub path_and_query: String,
    /// The caller's headers without its API key.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Hash of the caller's API key; `None` if no key was required.
    pub key: Option<KeyHash>,
    pub fingerprints: Fingerprints,
    /// The service that the sender selected.
    pub service: String,
    /// Version of the sender's configuration; the receiver's must not be older.
    pub config_version: u64,
    /// Time since the request arrived at the sender; a duration, since clocks differ.
    pub elapsed_us: u64,
    /// Estimated time that the caller spent on earlier attempts.
    pub spent_before_us: u64,
    /// Time until the deadline.
    pub remaining_us: u64,
    /// Servers that the sender sent the request to; they count towards the route's attempts.
    pub sends: u32,
    /// Whether the sender has counted the request towards the retry budget.
    pub counted: bool,
}

impl Message for PeerForwardHead {}

impl ForwardedHead for PeerForwardHead {
    fn remaining(&self) -> Duration {
        Duration::from_micros(self.remaining_us)
    }
}

/// Headers as pairs for a message between instances.
pub(super) fn header_pairs(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let pairs = headers.iter();
    pairs.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec())).collect()
}
