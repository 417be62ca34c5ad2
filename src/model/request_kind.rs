//! The care that one kind of request deserves.

use serde::Deserialize;
use serde::Serialize;

/// A rule that tells requests apart by method and path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    pub name: String,
    /// Upper-case HTTP method; empty matches every method.
    #[serde(default)]
    pub method: String,
    pub path_prefix: String,
    /// Whether a repeat does no harm, so that it may be retried and hedged.
    pub idempotent: bool,
    /// Whether a request without idempotency key is refused.
    #[serde(default)]
    pub key_required: bool,
}

impl RequestKind {
    /// Whether a request of this method and path is of this kind.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.method.is_empty() || self.method == method;
        method_fits && path.starts_with(&self.path_prefix)
    }
}
