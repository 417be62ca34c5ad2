//! The settings of a gateway, an instance that serves requests by routes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::quota::QuotaTolerance;

/// Settings for serving requests by routes: the platform's endpoints and the limits that it sets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Listening address for the platform's readiness checks.
    pub readiness: SocketAddr,
    /// Listening address at which callers look up the addresses of instances.
    pub addresses: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time limit of a call to the store.
    #[serde(default = "store_call_timeout_default")]
    pub store_call_timeout_ms: u64,
    /// Time between the stop signal and the forced end of the process.
    #[serde(default = "grace_default")]
    pub grace_s: f64,
    /// How long a draining backend server still accepts requests after its notice was acknowledged.
    #[serde(default = "apply_default")]
    pub drain_ms: u64,
    /// Time within which a configuration must be applied by every instance.
    #[serde(default = "apply_default")]
    pub config_apply_ms: u64,
    /// Time within which no instance sends requests to an evacuated availability zone any more.
    #[serde(default = "evacuate_default")]
    pub evacuate_ms: u64,
    /// Time for which any instance may still accept an API key after its revocation; unlimited if
    /// absent.
    #[serde(default)]
    pub key_revocation_ms: Option<u64>,
    /// Length of the sliding window in which a workspace's quota is checked.
    #[serde(default = "quota_window_default")]
    pub quota_window_s: f64,
    /// Fraction by which a workspace may exceed its quota, over all instances together; 0.1 is 10%.
    #[serde(default)]
    pub quota_overage: f64,
    /// Requests per window that a workspace may send beyond that.
    #[serde(default)]
    pub quota_slack: f64,
    /// Factor on the request rate that a service allows for each server in warm-up.
    #[serde(default = "cold_overage_default")]
    pub cold_overage: f64,
    /// Requests that a server in warm-up may get beyond that.
    #[serde(default)]
    pub cold_slack: f64,
    /// Longest time that callers cache an address response.
    #[serde(default = "address_keep_max_default")]
    pub address_keep_max_s: f64,
    /// How long callers are told to cache an address response. An instance that is gone is left out
    /// of the next response, so this bounds how long callers go on trying it.
    #[serde(default = "address_ttl_default")]
    pub address_ttl_ms: u64,
    /// Retry budget: retries per request, over all instances together, in any window.
    #[serde(default = "repeat_ratio_default")]
    pub repeat_ratio: f64,
    /// Length of the retry budget's window.
    #[serde(default = "repeat_window_default")]
    pub repeat_window_s: f64,
    /// Retries allowed in a window beyond the ratio.
    #[serde(default)]
    pub repeat_slack: f64,
    /// Whether instances lend each other retries that they do not need.
    #[serde(default)]
    pub retry_loans: bool,
    /// Health checks per second that a server may get from all instances together.
    #[serde(default = "probes_default")]
    pub probes_per_s_max: u32,
    /// Memory that the process may use, in MB of 10^6 bytes; a quarter of it is for request bodies.
    pub memory_max_mb: f64,
    /// Availability zones that the instances run in.
    pub zones: Vec<String>,
    /// Whether the whole fleet starts for the first time, before any callers exist.
    #[serde(default)]
    pub first_start: bool,
    /// Age of the process up to which it holds requests that it cannot serve yet, for lack of a
    /// configuration or of backend servers; 0 refuses them at once.
    #[serde(default)]
    pub start_hold_ms: u64,
    /// Number of homes per zone: the instances whose addresses the zone's callers get.
    #[serde(default = "homes_default")]
    pub homes_per_zone: usize,
}

const BYTES_PER_MB: f64 = 1e6;

const fn store_call_timeout_default() -> u64 {
    500
}

/// The time that most operators give a process to exit.
const fn grace_default() -> f64 {
    5.0
}

/// Default of the drain time and of the time to apply a configuration, in milliseconds.
const fn apply_default() -> u64 {
    2_000
}

/// By default, a server in warm-up gets no more than its rate.
const fn cold_overage_default() -> f64 {
    1.0
}

const fn evacuate_default() -> u64 {
    5_000
}

const fn address_keep_max_default() -> f64 {
    1.0
}

const fn address_ttl_default() -> u64 {
    1_000
}

/// By default, retries during an outage add at most a fifth to the load.
const fn repeat_ratio_default() -> f64 {
    0.2
}

const fn repeat_window_default() -> f64 {
    10.0
}

const fn quota_window_default() -> f64 {
    5.0
}

const fn probes_default() -> u32 {
    20
}

impl GatewaySettings {
    /// Time between the stop signal and the forced end of the process.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// How long callers are told to cache an address response.
    #[must_use]
    pub fn address_ttl(&self) -> Duration {
        let longest = Duration::from_secs_f64(self.address_keep_max_s);
        Duration::from_millis(self.address_ttl_ms).min(longest)
    }

    /// Length of the retry budget's window.
    #[must_use]
    pub fn repeat_window(&self) -> Duration {
        Duration::from_secs_f64(self.repeat_window_s)
    }

    /// Age of the process up to which it holds requests that it cannot serve yet.
    #[must_use]
    pub const fn start_hold(&self) -> Duration {
        Duration::from_millis(self.start_hold_ms)
    }

    /// How much workspaces may exceed their quotas.
    #[must_use]
    pub const fn quota_tolerance(&self) -> QuotaTolerance {
        QuotaTolerance {
            window_s: self.quota_window_s,
            overage_fraction: self.quota_overage,
            slack_requests: self.quota_slack,
        }
    }

    /// Memory that the process may use, in bytes.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "validated settings, at most 10^12 bytes"
    )]
    pub fn memory_max_bytes(&self) -> usize {
        (self.memory_max_mb * BYTES_PER_MB) as usize
    }
}

/// With one home, a single instance knows exactly which slots of a zone are free; two homes served
/// fewer requests in bursts.
const fn homes_default() -> usize {
    1
}
