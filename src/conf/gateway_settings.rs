//! The settings of an instance that serves requests by routes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::quota::QuotaTolerance;

/// Requests by routes: where a platform calls, and the bounds it sets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Where the platform asks whether this instance is ready.
    pub readiness: SocketAddr,
    /// Where callers ask which addresses to use.
    pub addresses: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    #[serde(default = "store_call_timeout_default")]
    pub store_call_timeout_ms: u64,
    /// Time between the signal to stop and the forced end.
    #[serde(default = "grace_default")]
    pub grace_s: f64,
    /// A server that leaves takes work for so long after it was acknowledged.
    #[serde(default = "apply_default")]
    pub drain_ms: u64,
    /// A configuration is in force everywhere within this.
    #[serde(default = "apply_default")]
    pub config_apply_ms: u64,
    /// An availability zone's backend servers get nothing more within this of its evacuation.
    #[serde(default = "evacuate_default")]
    pub evacuate_ms: u64,
    /// For so long a key may be served after it was taken away, by whatever instance; not bounded
    /// without.
    #[serde(default)]
    pub key_revocation_ms: Option<u64>,
    /// Any span of this length counts for a workspace's quota.
    #[serde(default = "quota_window_default")]
    pub quota_window_s: f64,
    /// By how much a workspace may send more than its quota, over all instances, as a factor and in
    /// requests.
    #[serde(default)]
    pub quota_overage: f64,
    #[serde(default)]
    pub quota_slack: f64,
    /// By how much a cold server may get more than its service's rate, as a factor and in requests.
    #[serde(default = "cold_overage_default")]
    pub cold_overage: f64,
    #[serde(default)]
    pub cold_slack: f64,
    /// Most time that callers keep an address answer.
    #[serde(default = "address_keep_default")]
    pub address_keep_max_s: f64,
    /// Repeats allowed per request over all instances, in any window, and beyond that.
    #[serde(default = "repeat_ratio_default")]
    pub repeat_ratio: f64,
    #[serde(default = "repeat_window_default")]
    pub repeat_window_s: f64,
    #[serde(default)]
    pub repeat_slack: f64,
    /// Health checks a second that a server may get from all instances together.
    #[serde(default = "probes_default")]
    pub probes_per_s_max: u32,
    /// Memory that the process may use; a quarter of it is for the bodies of requests.
    pub memory_max_mb: f64,
    /// Availability zones that the instances run in.
    pub zones: Vec<String>,
    /// Whether the whole fleet starts for the first time, before there are any callers.
    #[serde(default)]
    pub first_start: bool,
    /// Instances of a zone that its callers are told of.
    #[serde(default = "homes_default")]
    pub homes_per_zone: usize,
}

const BYTES_PER_MB: f64 = 1e6;

const fn store_call_timeout_default() -> u64 {
    500
}

/// Most operators leave a process so long to end.
const fn grace_default() -> f64 {
    5.0
}

const fn apply_default() -> u64 {
    2_000
}

/// Without a word of the operators, a cold server gets no more than its rate.
const fn cold_overage_default() -> f64 {
    1.0
}

const fn evacuate_default() -> u64 {
    5_000
}

const fn address_keep_default() -> f64 {
    1.0
}

/// Without a word of the operators, an outage may add a fifth to the load.
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
    /// Time between the signal to stop and the forced end.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Most time that callers keep an address answer.
    #[must_use]
    pub fn address_keep_max(&self) -> Duration {
        Duration::from_secs_f64(self.address_keep_max_s)
    }

    /// The window of the repeat budget.
    #[must_use]
    pub fn repeat_window(&self) -> Duration {
        Duration::from_secs_f64(self.repeat_window_s)
    }

    /// What is tolerated beyond the quotas of workspaces.
    #[must_use]
    pub const fn quota_tolerance(&self) -> QuotaTolerance {
        QuotaTolerance {
            window_s: self.quota_window_s,
            overage: self.quota_overage,
            slack: self.quota_slack,
        }
    }

    /// Memory that the process may use.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "checked settings, some gigabytes"
    )]
    pub fn memory_max_bytes(&self) -> usize {
        (self.memory_max_mb * BYTES_PER_MB) as usize
    }
}

/// With one, a zone's slots are known exactly in one place; two served fewer in bursts.
const fn homes_default() -> usize {
    1
}
