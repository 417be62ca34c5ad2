//! Identifies the attempts that a caller makes of one request.

use std::net::IpAddr;

use xxhash_rust::xxh3::Xxh3;

/// Hash of what a caller repeats unchanged when it retries: everything of the head but the id and
/// the timeout. It needs no body, so it is known before a request is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestHash(u64);

impl RequestHash {
    /// Hashes the head of a request. `target` is its path and query.
    #[must_use]
    pub fn of(caller: IpAddr, host: &str, method: &str, target: &str) -> Self {
        let mut hash = Xxh3::new();
        let caller = caller.to_canonical().to_string();
        for part in [caller.as_str(), host, method, target] {
            hash.update(&part.len().to_le_bytes());
            hash.update(part.as_bytes());
        }
        Self(hash.digest())
    }
}
