//! The settings of an instance.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::GatewaySettings;

/// All settings; each section except `instance` has defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub instance: InstanceSettings,
    #[serde(default)]
    pub listen: ListenSettings,
    #[serde(default)]
    pub peers: PeerSettings,
    /// If absent, the daemon uses an in-memory store and runs without other instances.
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
    /// Required for a gateway, an instance that serves requests by a platform's routes.
    #[serde(default)]
    pub gateway: Option<GatewaySettings>,
}

/// The instance's name, zone and share of its machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Shown to operators; need not be unique.
    pub name: String,
    /// The availability zone that the instance runs in.
    pub zone: String,
    /// Fraction of the machine's CPU that the process may use.
    #[serde(default = "cpu_share_default")]
    pub cpu_share: f64,
    /// CPU capacity of the machine, in cores of typical speed.
    #[serde(default = "cores_default")]
    pub cores: f64,
    /// Speed of the network link in Mbit/s.
    #[serde(default = "link_default")]
    pub link_mbps: f64,
}

/// Requests per second that a typical core handles at 50% utilization: about 0.5 ms of CPU time per
/// request, including responses of 5 KB and logging.
const REQUESTS_PER_CORE: f64 = 1_000.0;
/// Link capacity reserved per request in one direction, in bytes; half of it is headroom for uneven
/// load.
const LINK_BYTES_PER_REQUEST: f64 = 20_000.0;
/// Bytes in a megabit.
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
    /// Requests per second that the CPU share and the link can handle.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "validated settings, some thousand requests per second"
    )]
    pub fn capacity_per_s(&self) -> u32 {
        let by_processor = self.cpu_share * self.cores * REQUESTS_PER_CORE;
        let by_link = self.link_mbps * BYTES_PER_MBIT / LINK_BYTES_PER_REQUEST;
        by_processor.min(by_link).max(1.0) as u32
    }
}

/// The addresses that the instance listens on and advertises to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListenSettings {
    /// For callers' requests.
    pub caller: SocketAddr,
    /// For the operators' gRPC calls.
    pub operator: SocketAddr,
    /// For the other instances.
    pub peer: SocketAddr,
    /// For health, readiness and metrics.
    pub status: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self { caller: local(7000), operator: local(7001), peer: local(7002), status: local(7003) }
    }
}

/// Membership and connections between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerSettings {
    /// Secret shared by all instances; at least 16 bytes if a platform or seeds are set.
    pub secret: String,
    /// Peer addresses to join through, in addition to the platform's list of instances.
    pub seeds: Vec<SocketAddr>,
    /// Time between two pings of the failure detector; up to twice as long while answers are slow.
    pub ping_interval_ms: u64,
    /// How long a ping waits for its reply; up to eight times as long while answers are slow.
    pub ping_timeout_ms: u64,
    /// How long a suspected member may refute the suspicion before it is declared dead; longer while
    /// answers are slow, or if only others could not reach it.
    pub suspect_timeout_ms: u64,
    /// How often the platform's list is read for unknown instances once some peers are known.
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
    /// Time limit of a call to the store.
    #[serde(default = "call_timeout_default")]
    pub call_timeout_ms: u64,
    /// How long one watch of the store waits for a change.
    #[serde(default = "watch_wait_default")]
    pub watch_wait_ms: u64,
    /// Time to live of the lease on this instance's shard of the probe budgets.
    #[serde(default = "lease_ttl_default")]
    pub lease_ttl_ms: u64,
    /// Instances per zone that watch the store; the others get changes from them.
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
    /// Required in every operator's call; may be empty only on loopback.
    pub token: String,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestSettings {
    /// Size limit of a request body.
    pub body_limit_bytes: usize,
    /// Responses up to this size are buffered completely before they are forwarded.
    pub answer_buffer_bytes: usize,
    /// Longest deadline that a caller may set.
    pub timeout_max_ms: u64,
    /// Requests of one service that may wait for a slot on this instance.
    pub queue_max: usize,
    /// How long a caller may cache an address response.
    pub address_keep_ms: u64,
    /// Concurrent connections from callers.
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

/// The table of outcomes of requests with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OutcomeSettings {
    /// Size limit of the table.
    pub rows_max: usize,
    /// Total size of the responses stored for repeated requests, over all rows.
    pub answers_max_bytes: usize,
    /// Length of an epoch, the unit in which the age of a key is counted.
    pub epoch_ms: u64,
    /// Epochs after which a key is rejected and its row may be deleted.
    pub window_epochs: u64,
}

impl Default for OutcomeSettings {
    fn default() -> Self {
        Self { rows_max: 200_000, answers_max_bytes: 32 << 20, epoch_ms: 60_000, window_epochs: 10 }
    }
}

/// How the probe budgets are divided among instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MeasuringSettings {
    /// Number of shards that each budget is divided into; at least the number of instances.
    pub shards: u32,
    /// Duration of a grant of a shard's tokens to a home.
    pub grant_ms: u64,
}

impl Default for MeasuringSettings {
    fn default() -> Self {
        Self { shards: 32, grant_ms: 5_000 }
    }
}

/// Format of log lines: for people, or structured JSON.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    #[default]
    Human,
    Json,
}

/// Log level and format. Human-readable lines go to standard error, JSON lines to standard output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".into(), format: LogFormat::Human }
    }
}
