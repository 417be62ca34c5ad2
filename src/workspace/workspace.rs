//! One workspace.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::KeyHash;

/// A customer of the operators, whose callers share keys, a priority and a quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    pub name: Arc<str>,
    /// Goes before that of the route; 0 is served first.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Requests a second over all instances together; not limited where it is 0.
    #[serde(default)]
    pub rate_per_s: f64,
    /// Requests beyond that at once.
    #[serde(default)]
    pub burst: f64,
    pub key_hashes: Vec<KeyHash>,
}

impl Workspace {
    /// Whether there is a bound on its requests.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }

    /// What is wrong with it, if anything.
    ///
    /// # Errors
    /// Says which field cannot be used.
    pub fn validate(&self) -> Result<(), String> {
        let usable = |value: f64| value.is_finite() && value >= 0.0;
        if self.name.is_empty() || !self.name.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err("name: not one word of printable characters".into());
        }
        if !usable(self.rate_per_s) || !usable(self.burst) {
            return Err("rate_per_s, burst: not a number of requests".into());
        }
        Ok(())
    }
}
