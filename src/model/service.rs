//! A declared service: its backend servers, request kinds and limits.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::BackendServer;
use super::RequestKind;

/// Deadline of requests to a service that declares none.
const TIMEOUT_DEFAULT_MS: u32 = 10_000;

/// Whether the operator prefers less extra load or a lower tail latency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Preference {
    /// Less extra load: no hedges, few probes.
    #[default]
    Cost,
    /// Lower tail latency: hedges and probes up to their budgets.
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
    /// Probes per second that all instances together may send; a hard limit in any second.
    #[serde(default)]
    pub measuring_budget_per_s: u32,
    #[serde(default)]
    pub preference: Preference,
    /// Statuses with which a backend server reports that it did not run the request.
    #[serde(default)]
    pub refusal_statuses: Vec<u16>,
    /// Deadline of a request that does not set its own.
    #[serde(default = "timeout_default")]
    pub timeout_ms: u32,
    /// Path that probes request.
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
    /// The matching kind with the longest path prefix; requests without a kind must not be retried.
    #[must_use]
    pub fn find_kind(&self, method: &str, path: &str) -> Option<&RequestKind> {
        self.kinds
            .iter()
            .filter(|kind| kind.matches(method, path))
            .max_by_key(|kind| (kind.path_prefix.len(), kind.method.len()))
    }

    /// Total slots in each zone that has backend servers, ordered by zone name.
    #[must_use]
    pub fn zone_slots(&self) -> Vec<(&str, u32)> {
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for server in &self.backend_servers {
            *slots.entry(&server.zone).or_insert(0) += server.slots;
        }
        slots.into_iter().collect()
    }
}
