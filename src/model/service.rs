//! A service and the rules for its requests.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::BackendServer;
use super::RequestKind;

const TIMEOUT_DEFAULT_MS: u32 = 10_000;

/// What the operator would rather spend on: fewer measuring calls or a shorter tail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Preference {
    /// Repeated work is kept small: no hedges, few probes.
    #[default]
    Cost,
    /// Hedges and probes are used up to their budgets.
    Tail,
}

/// A service as its operator declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub name: String,
    #[serde(default)]
    pub kinds: Vec<RequestKind>,
    #[serde(default)]
    pub backend_servers: Vec<BackendServer>,
    /// Calls a second made only to measure, over all instances; a hard limit for any second.
    #[serde(default)]
    pub measuring_budget_per_s: u32,
    #[serde(default)]
    pub preference: Preference,
    /// Statuses by which a backend server says that it did not run the request.
    #[serde(default)]
    pub refusal_statuses: Vec<u16>,
    /// Deadline of a request that names none.
    #[serde(default = "timeout_default")]
    pub timeout_ms: u32,
    /// Path that probes ask for.
    #[serde(default = "health_path_default")]
    pub health_path: String,
}

const fn timeout_default() -> u32 {
    TIMEOUT_DEFAULT_MS
}

fn health_path_default() -> String {
    "/health".into()
}

impl Service {
    /// The kind with the longest matching prefix; `None` is treated as must-not-repeat.
    #[must_use]
    pub fn find_kind(&self, method: &str, path: &str) -> Option<&RequestKind> {
        self.kinds
            .iter()
            .filter(|kind| kind.matches(method, path))
            .max_by_key(|kind| (kind.path_prefix.len(), kind.method.len()))
    }

    /// Slots in each zone that holds backend servers, in the order of the zones' names.
    #[must_use]
    pub fn zone_slots(&self) -> Vec<(&str, u32)> {
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for server in &self.backend_servers {
            *slots.entry(&server.zone).or_insert(0) += server.slots;
        }
        slots.into_iter().collect()
    }
}
