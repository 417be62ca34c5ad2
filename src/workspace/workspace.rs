//! A customer's keys, priority and quota.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::KeyHash;

/// A customer of the operators. Its callers share API keys, a priority and a quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Printable ASCII without spaces.
    pub name: Arc<str>,
    /// Overrides the priority of the route; 0 is served first.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Requests per second over all instances; 0 means no limit.
    #[serde(default)]
    pub rate_per_s: f64,
    /// Requests allowed at once beyond `rate_per_s`.
    #[serde(default)]
    pub burst: f64,
    /// Hashes of its API keys.
    pub key_hashes: Vec<KeyHash>,
}

impl Workspace {
    /// Whether it has a quota.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }

    /// Checks the values of the fields.
    ///
    /// # Errors
    /// Names the invalid field.
    pub fn validate(&self) -> Result<(), String> {
        let valid = |value: f64| value.is_finite() && value >= 0.0;
        if self.name.is_empty() || !self.name.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err("name: must be printable ASCII without spaces, and not empty".into());
        }
        if !valid(self.rate_per_s) || !valid(self.burst) {
            return Err("rate_per_s, burst: must be finite and not negative".into());
        }
        Ok(())
    }
}
