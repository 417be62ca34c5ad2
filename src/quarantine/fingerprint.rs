//! What makes two requests the same, whatever their ids.

use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

/// What two requests have in common that bear one fingerprint; from narrow to wide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FingerprintScope {
    /// Caller's address, host or service, method, path, query and body.
    Exact,
    /// Caller's address, method, path and body: a program that numbers its repeats in the query.
    Caller,
    /// Method, path and body: a record that crashes whoever reads it.
    Content,
}

impl FingerprintScope {
    /// All scopes, from narrow to wide.
    pub const ALL: [Self; 3] = [Self::Exact, Self::Caller, Self::Content];

    /// The name written in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Exact => "exact",
            Self::Caller => "caller",
            Self::Content => "content",
        }
    }
}

/// Hash of what requests of one scope have in common.
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

/// The fingerprints of one request, equal each time it comes, at any instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprints {
    exact: u128,
    caller: u128,
    content: u128,
    caller_address: u32,
}

/// Hash over parts, each with its length, so that no part can run into the next one.
fn hash(parts: &[&[u8]]) -> u128 {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    hash.digest128()
}

/// Hash of one part, as far as it tells a few thousand apart.
pub(super) fn short_hash(part: &[u8]) -> u32 {
    truncate(hash(&[part]))
}

/// The low part of a hash.
#[expect(clippy::cast_possible_truncation, reason = "a quarter of a hash")]
const fn truncate(hash: u128) -> u32 {
    hash as u32
}

impl Fingerprints {
    /// The fingerprints of a request to `scope`, its host or its service.
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

    /// What tells requests of one scope apart, one step narrower; 0 where nothing does.
    #[must_use]
    pub const fn variant_in(&self, scope: FingerprintScope) -> u32 {
        match scope {
            FingerprintScope::Exact => 0,
            FingerprintScope::Caller => truncate(self.exact),
            FingerprintScope::Content => self.caller_address,
        }
    }

    /// The names by which logs tell requests that are the same, in the order of [`Scope::ALL`].
    #[must_use]
    pub fn to_hex(&self) -> [String; 3] {
        FingerprintScope::ALL.map(|scope| self.in_scope(scope).to_string())
    }
}
