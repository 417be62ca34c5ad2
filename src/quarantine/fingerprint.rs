//! What makes two requests the same, whatever their ids.

use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Hash of the content of a request and of the address that it came from: equal for each time that
/// the same caller sends the same thing, at any instance.
///
/// Without the caller's address, one caller's fault would be held against others that ask the same.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// The fingerprint of a request to `scope`, its host or its service.
    #[must_use]
    pub fn of(caller: IpAddr, scope: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        let caller = caller.to_canonical().to_string();
        for part in [caller.as_bytes(), scope.as_bytes(), method.as_bytes(), target.as_bytes()] {
            // With its length, so that no part can run into the next one.
            hash.update(&part.len().to_le_bytes());
            hash.update(part);
        }
        hash.update(body);
        Self(hash.digest128())
    }

    /// Of 64 bits, for digests over many.
    #[must_use]
    pub fn folded(self) -> u64 {
        let [low, high] = [self.0, self.0 >> 64].map(|half| half & u128::from(u64::MAX));
        u64::try_from(low ^ high).unwrap_or_default()
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
