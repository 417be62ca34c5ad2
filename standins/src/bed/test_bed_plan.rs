//! Sizes and settings of a test bed.

use std::net::SocketAddr;

use sorrelwick::conf::InstanceSettings;
use sorrelwick::conf::ListenSettings;
use sorrelwick::conf::LogSettings;
use sorrelwick::conf::MeasuringSettings;
use sorrelwick::conf::OperatorSettings;
use sorrelwick::conf::OutcomeSettings;
use sorrelwick::conf::PeerSettings;
use sorrelwick::conf::PlatformSettings;
use sorrelwick::conf::RequestSettings;
use sorrelwick::conf::Settings;

use crate::backend::BackendSettings;

const SECRET: &str = "a secret for test beds only";

/// Sizes and settings of a test bed.
#[derive(Clone, Debug)]
pub struct TestBedPlan {
    /// Zones; instances and backend servers are assigned to them round-robin.
    pub zones: Vec<String>,
    pub instances: usize,
    pub backends: usize,
    /// Settings of each backend server, except id and seed.
    pub backend: BackendSettings,
    pub requests: RequestSettings,
    pub outcomes: OutcomeSettings,
    pub measuring: MeasuringSettings,
    pub lease_ttl_ms: u64,
    pub watch_wait_ms: u64,
}

impl Default for TestBedPlan {
    fn default() -> Self {
        Self {
            zones: ["burnaby", "surrey", "richmond"].map(String::from).into(),
            instances: 3,
            backends: 6,
            backend: BackendSettings::default(),
            requests: RequestSettings { address_keep_ms: 500, ..RequestSettings::default() },
            outcomes: OutcomeSettings::default(),
            measuring: MeasuringSettings { shards: 32, grant_ms: 1_000 },
            lease_ttl_ms: 3_000,
            watch_wait_ms: 1_000,
        }
    }
}

impl TestBedPlan {
    /// The zone of the instance or backend server at index `at`.
    #[must_use]
    pub fn zone(&self, at: usize) -> &str {
        &self.zones[at % self.zones.len()]
    }
}

/// Settings of the instance at index `at`, on ports assigned by the system.
#[must_use]
pub fn settings_for(plan: &TestBedPlan, at: usize, platform: SocketAddr) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        instance: InstanceSettings {
            name: format!("i{at}"),
            zone: plan.zone(at).to_owned(),
            cpu_share: 1.0,
            cores: 1.0,
            link_mbps: 1_000.0,
        },
        listen: ListenSettings { caller: any, operator: any, peer: any, status: any },
        peers: PeerSettings {
            secret: SECRET.into(),
            seeds: Vec::new(),
            ping_interval_ms: 100,
            ping_timeout_ms: 100,
            suspect_timeout_ms: 500,
            ..PeerSettings::default()
        },
        platform: Some(PlatformSettings {
            address: platform,
            call_timeout_ms: 500,
            watch_wait_ms: plan.watch_wait_ms,
            lease_ttl_ms: plan.lease_ttl_ms,
            watchers_per_zone: 1,
        }),
        operators: OperatorSettings::default(),
        requests: plan.requests.clone(),
        outcomes: plan.outcomes.clone(),
        measuring: plan.measuring.clone(),
        log: LogSettings::default(),
        gateway: None,
    }
}
