//! Hashes that identify equal requests, whatever their ids.

use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// Which parts of a request a fingerprint covers, from narrow to wide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FingerprintScope {
    /// Caller address, host or service, method, path, query and body.
    Exact,
    /// Caller address, method, path and body: matches a client that numbers its retries in the
    /// query.
    Caller,
    /// Method, path and body: matches reads of a record that crashes servers whoever reads it.
    Content,
}

impl FingerprintScope {
    /// All scopes, from narrow to wide.
    pub const ALL: [Self; 3] = [Self::Exact, Self::Caller, Self::Content];

    /// Name in log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Exact => "exact",
            Self::Caller => "caller",
            Self::Content => "content",
        }
    }
}

/// Hash of the parts of a request that `scope` covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    pub scope: FingerprintScope,
    hash: u128,
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.hash)
    }
}

/// Fingerprints of a request in all scopes; equal for each repeat of it, at any instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprints {
    exact: u128,
    caller: u128,
    content: u128,
    caller_address: u32,
}

/// Hash of several parts. Each is preceded by its length, so that no part can run into the next
/// one.
fn hash(parts: &[&[u8]]) -> u128 {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    hash.digest128()
}

/// 32-bit hash of one part, enough to tell a few thousand apart.
pub(super) fn short_hash(part: &[u8]) -> u32 {
    truncate(hash(&[part]))
}

/// The low 32 bits of a hash.
#[expect(clippy::cast_possible_truncation, reason = "only the low 32 bits are wanted")]
const fn truncate(hash: u128) -> u32 {
    hash as u32
}

impl Fingerprints {
    /// Computes the fingerprints of a request. `target` is its path and query.
    #[must_use]
    pub fn of(
        caller: IpAddr,
        host_or_service: &str,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Self {
        let caller = caller.to_canonical().to_string();
        let path = target.split('?').next().unwrap_or(target);
        let body = hash(&[body]).to_le_bytes();
        let content = [method.as_bytes(), path.as_bytes(), &body];
        let [method, path, _] = content;
        Self {
            exact: hash(&[
                caller.as_bytes(),
                host_or_service.as_bytes(),
                method,
                target.as_bytes(),
                &body,
            ]),
            caller: hash(&[caller.as_bytes(), method, path, &body]),
            content: hash(&content),
            caller_address: short_hash(caller.as_bytes()),
        }
    }

    /// The fingerprint in one scope.
    #[must_use]
    pub const fn in_scope(&self, scope: FingerprintScope) -> Fingerprint {
        let hash = match scope {
            FingerprintScope::Exact => self.exact,
            FingerprintScope::Caller => self.caller,
            FingerprintScope::Content => self.content,
        };
        Fingerprint { scope, hash }
    }

    /// Hash that tells apart requests with the same fingerprint in a scope: the exact fingerprint
    /// in `Caller`, the caller address in `Content`. 0 in `Exact`.
    #[must_use]
    pub const fn variant_in(&self, scope: FingerprintScope) -> u32 {
        match scope {
            FingerprintScope::Exact => 0,
            FingerprintScope::Caller => truncate(self.exact),
            FingerprintScope::Content => self.caller_address,
        }
    }

    /// Hexadecimal fingerprints for log lines, in the order of [`FingerprintScope::ALL`].
    #[must_use]
    pub fn to_hex(&self) -> [String; 3] {
        FingerprintScope::ALL.map(|scope| self.in_scope(scope).to_string())
    }
}
