//! Rules for retries and idempotency keys by kind of request.

use serde::Deserialize;
use serde::Serialize;

/// A kind of request, matched by method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    pub name: String,
    /// Upper-case HTTP method; empty matches every method.
    #[serde(default)]
    pub method: String,
    /// Start of the paths that it matches.
    pub path_prefix: String,
    /// Whether running the request again does no harm, so that it may be retried and hedged.
    pub idempotent: bool,
    /// Whether requests without an idempotency key are rejected.
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
