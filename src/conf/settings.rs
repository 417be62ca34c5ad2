//! The settings of one daemon.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::GatewaySettings;

/// All settings; each section has defaults but `instance`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub instance: InstanceSettings,
    #[serde(default)]
    pub listen: ListenSettings,
    #[serde(default)]
    pub peers: PeerSettings,
    /// Without it the daemon runs alone on an in-memory store.
    #[serde(default)]
    pub platform: Option<PlatformSettings>,
    #[serde(default)]
    pub operators: OperatorSettings,
    #[serde(default)]
    pub requests: RequestSettings,
    #[serde(default)]
    pub outcomes: OutcomeSettings,
    #[serde(default)]
    pub measuring: MeasuringSettings,
    #[serde(default)]
    pub log: LogSettings,
    /// Only for an instance that serves requests by routes of a platform.
    #[serde(default)]
    pub gateway: Option<GatewaySettings>,
}

/// Who this instance is, and what it runs on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Shown to operators; need not be unique.
    pub name: String,
    pub zone: String,
    /// Part of the processor's cores that the process may use.
    #[serde(default = "cpu_share_default")]
    pub cpu_share: f64,
    /// Speed of the processor, in usual cores.
    #[serde(default = "cores_default")]
    pub cores: f64,
    #[serde(default = "link_default")]
    pub link_mbps: f64,
}

/// Requests a second that a usual core carries, at half of its time: some 0.5 ms each, measured on
/// whole days, answers of 5 KB and the logs included.
const REQUESTS_PER_CORE: f64 = 1_000.0;
/// Bytes of a request on one direction of the link, of which half is left for what is not even.
const LINK_BYTES_PER_REQUEST: f64 = 20_000.0;
const BYTES_PER_MBIT: f64 = 125_000.0;

const fn cpu_share_default() -> f64 {
    1.0
}

const fn cores_default() -> f64 {
    1.0
}

const fn link_default() -> f64 {
    1_000.0
}

impl InstanceSettings {
    /// Requests a second that the processor and the link carry.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "checked settings, some thousand requests"
    )]
    pub fn capacity_per_s(&self) -> u32 {
        let by_processor = self.cpu_share * self.cores * REQUESTS_PER_CORE;
        let by_link = self.link_mbps * BYTES_PER_MBIT / LINK_BYTES_PER_REQUEST;
        by_processor.min(by_link).max(1.0) as u32
    }
}

/// The addresses it listens on; these are also the ones it tells others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListenSettings {
    pub caller: SocketAddr,
    pub operator: SocketAddr,
    pub peer: SocketAddr,
    pub status: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self { caller: local(7000), operator: local(7001), peer: local(7002), status: local(7003) }
    }
}

/// Membership and the links between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerSettings {
    /// Known to all instances, at least 16 characters where there is a platform or a seed.
    pub secret: String,
    /// Peer addresses to join by, beside the platform's instance list.
    pub seeds: Vec<SocketAddr>,
    pub ping_interval_ms: u64,
    pub ping_timeout_ms: u64,
    /// How long a suspect may answer before it counts as dead.
    pub suspect_timeout_ms: u64,
    /// How often the platform's list is read for instances that are not known, once some are.
    pub list_interval_ms: u64,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            secret: String::new(),
            seeds: Vec::new(),
            ping_interval_ms: 500,
            ping_timeout_ms: 250,
            suspect_timeout_ms: 2_000,
            list_interval_ms: 5_000,
        }
    }
}

/// The platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    pub address: SocketAddr,
    #[serde(default = "call_timeout_default")]
    pub call_timeout_ms: u64,
    /// How long one watch waits for a change.
    #[serde(default = "watch_wait_default")]
    pub watch_wait_ms: u64,
    /// Time to live of this instance's lease on its measuring shard.
    #[serde(default = "lease_ttl_default")]
    pub lease_ttl_ms: u64,
    /// Instances in a zone that watch the store; the others learn from them.
    #[serde(default = "watchers_default")]
    pub watchers_per_zone: usize,
}

const fn call_timeout_default() -> u64 {
    500
}

const fn watch_wait_default() -> u64 {
    10_000
}

const fn lease_ttl_default() -> u64 {
    10_000
}

const fn watchers_default() -> usize {
    2
}

/// The operators' listener.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Asked of every operator's call; empty only on loopback.
    pub token: String,
}

/// Bounds on requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestSettings {
    pub body_limit_bytes: usize,
    /// Answers up to this size are held whole before they are passed on.
    pub answer_buffer_bytes: usize,
    pub timeout_max_ms: u64,
    /// Requests of one service that may wait for a slot on this instance.
    pub queue_max: usize,
    /// How long a caller may keep the answer to "which address".
    pub address_keep_ms: u64,
    /// Connections from callers that are served at the same time.
    pub connections_max: usize,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            body_limit_bytes: 1 << 20,
            answer_buffer_bytes: 64 << 10,
            timeout_max_ms: 60_000,
            queue_max: 1_000,
            address_keep_ms: 3_000,
            connections_max: 10_000,
        }
    }
}

/// The record of what keyed requests came to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OutcomeSettings {
    pub rows_max: usize,
    /// Bytes of answers kept for repeats, over all rows.
    pub answers_max_bytes: usize,
    pub epoch_ms: u64,
    /// Epochs after which a key is refused and its row may go.
    pub window_epochs: u64,
}

impl Default for OutcomeSettings {
    fn default() -> Self {
        Self { rows_max: 200_000, answers_max_bytes: 32 << 20, epoch_ms: 60_000, window_epochs: 10 }
    }
}

/// The division of measuring budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MeasuringSettings {
    /// Shards among which each budget is divided; at least the number of instances.
    pub shards: u32,
    /// How long a shard's share is granted to a home.
    pub grant_ms: u64,
}

impl Default for MeasuringSettings {
    fn default() -> Self {
        Self { shards: 32, grant_ms: 5_000 }
    }
}

/// How log lines look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    #[default]
    Human,
    Json,
}

/// What is logged, to standard error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    pub level: String,
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".into(), format: LogFormat::Human }
    }
}
