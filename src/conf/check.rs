//! Validation of settings.

use super::GatewaySettings;
use super::OutcomeSettings;
use super::PeerSettings;
use super::PlatformSettings;
use super::RequestSettings;
use super::Settings;

/// Longest name of an instance or zone, in bytes.
const NAME_LEN_MAX: usize = 100;
/// Upper limit of a machine's cores, CPU share and link speed in Mbit/s.
const HARDWARE_VALUE_MAX: f64 = 1e6;
/// Minimum length of a shared secret or token, in bytes.
const SECRET_LEN_MIN: usize = 16;
/// Largest number of shards of a probe budget.
const SHARDS_MAX: u32 = 10_000;
/// Longest duration of most settings in milliseconds: one hour.
const DURATION_MAX_MS: u64 = 3_600_000;
/// Longest duration of a setting in seconds: one hour.
const DURATION_MAX_S: f64 = 3_600.0;
/// Upper limit of the time for which an instance holds requests after its start; callers allow a
/// few seconds for a request.
const START_HOLD_MAX_MS: u64 = 5_000;
/// Least memory limit: with less, there is no room for connections beside the program itself.
const MEMORY_MIN_MB: f64 = 16.0;
/// Largest memory limit.
const MEMORY_MAX_MB: f64 = 1e6;
/// The log levels.
const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// A setting with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Dotted path of the field.
    pub field: &'static str,
    /// The allowed values.
    pub allowed: String,
}

/// Collects the faults of all settings.
struct Faults(Vec<Fault>);

impl Faults {
    /// Records a fault of `field` unless `valid`.
    fn require(&mut self, valid: bool, field: &'static str, allowed: impl Into<String>) {
        if !valid {
            self.0.push(Fault { field, allowed: allowed.into() });
        }
    }

    fn require_range(&mut self, value: u64, low: u64, high: u64, field: &'static str) {
        let valid = (low..=high).contains(&value);
        self.require(valid, field, format!("{value} is not within {low} to {high}"));
    }

    fn require_seconds(&mut self, value: f64, low: f64, field: &'static str) {
        let valid = (low..=DURATION_MAX_S).contains(&value);
        self.require(valid, field, format!("{value} is not within {low} to {DURATION_MAX_S}"));
    }
}

fn check_peers(faults: &mut Faults, peers: &PeerSettings, is_single_instance: bool) {
    let secret_valid = is_single_instance || peers.secret.len() >= SECRET_LEN_MIN;
    faults.require(secret_valid, "peers.secret", format!("at least {SECRET_LEN_MIN} characters"));
    faults.require_range(peers.ping_interval_ms, 10, DURATION_MAX_MS, "peers.ping_interval_ms");
    faults.require_range(peers.ping_timeout_ms, 5, peers.ping_interval_ms, "peers.ping_timeout_ms");
    faults.require_range(peers.suspect_timeout_ms, 50, DURATION_MAX_MS, "peers.suspect_timeout_ms");
    faults.require_range(peers.list_interval_ms, 100, DURATION_MAX_MS, "peers.list_interval_ms");
}

fn check_platform(faults: &mut Faults, platform: &PlatformSettings) {
    faults.require_range(platform.call_timeout_ms, 10, 60_000, "platform.call_timeout_ms");
    faults.require_range(platform.watch_wait_ms, 100, 600_000, "platform.watch_wait_ms");
    faults.require_range(platform.lease_ttl_ms, 1_000, DURATION_MAX_MS, "platform.lease_ttl_ms");
    faults.require_range(platform.watchers_per_zone as u64, 1, 100, "platform.watchers_per_zone");
}

fn check_requests(faults: &mut Faults, requests: &RequestSettings) {
    faults.require_range(
        requests.body_limit_bytes as u64,
        0,
        64 << 20,
        "requests.body_limit_bytes",
    );
    faults.require_range(
        requests.answer_buffer_bytes as u64,
        0,
        16 << 20,
        "requests.answer_buffer_bytes",
    );
    faults.require_range(requests.timeout_max_ms, 1, DURATION_MAX_MS, "requests.timeout_max_ms");
    faults.require_range(requests.queue_max as u64, 0, 1_000_000, "requests.queue_max");
    faults.require_range(requests.address_keep_ms, 10, DURATION_MAX_MS, "requests.address_keep_ms");
    faults.require_range(requests.connections_max as u64, 1, 1_000_000, "requests.connections_max");
}

fn check_outcomes(faults: &mut Faults, outcomes: &OutcomeSettings, keep_ms: u64) {
    faults.require_range(outcomes.rows_max as u64, 1, 100_000_000, "outcomes.rows_max");
    faults.require_range(outcomes.epoch_ms, 100, DURATION_MAX_MS, "outcomes.epoch_ms");
    faults.require_range(outcomes.window_epochs, 2, 10_000, "outcomes.window_epochs");
    let window_ms = outcomes.epoch_ms.saturating_mul(outcomes.window_epochs);
    faults.require(
        window_ms >= keep_ms,
        "outcomes.window_epochs",
        "window_epochs times epoch_ms must cover requests.address_keep_ms",
    );
}

fn check_gateway(faults: &mut Faults, gateway: &GatewaySettings) {
    faults.require_range(
        gateway.store_call_timeout_ms,
        10,
        60_000,
        "gateway.store_call_timeout_ms",
    );
    faults.require_seconds(gateway.grace_s, 0.5, "gateway.grace_s");
    faults.require_range(gateway.drain_ms, 100, DURATION_MAX_MS, "gateway.drain_ms");
    faults.require_range(gateway.config_apply_ms, 100, DURATION_MAX_MS, "gateway.config_apply_ms");
    faults.require_range(gateway.evacuate_ms, 100, DURATION_MAX_MS, "gateway.evacuate_ms");
    if let Some(key_revocation_ms) = gateway.key_revocation_ms {
        faults.require_range(key_revocation_ms, 500, DURATION_MAX_MS, "gateway.key_revocation_ms");
    }
    faults.require_seconds(gateway.quota_window_s, 0.1, "gateway.quota_window_s");
    let quota_overage_valid = (0.0..=1e6).contains(&gateway.quota_overage);
    faults.require(quota_overage_valid, "gateway.quota_overage", "0 to 1000000");
    let quota_slack_valid = (0.0..=1e6).contains(&gateway.quota_slack);
    faults.require(quota_slack_valid, "gateway.quota_slack", "0 to 1000000");
    let overage_valid = (0.0..=1e6).contains(&gateway.cold_overage);
    faults.require(overage_valid, "gateway.cold_overage", "0 to 1000000");
    let cold_slack_valid = (0.0..=1e6).contains(&gateway.cold_slack);
    faults.require(cold_slack_valid, "gateway.cold_slack", "0 to 1000000");
    faults.require_seconds(gateway.address_keep_max_s, 0.01, "gateway.address_keep_max_s");
    faults.require_range(gateway.address_ttl_ms, 10, DURATION_MAX_MS, "gateway.address_ttl_ms");
    let ratio_valid = (0.0..=10.0).contains(&gateway.repeat_ratio);
    faults.require(ratio_valid, "gateway.repeat_ratio", "0 to 10");
    faults.require_seconds(gateway.repeat_window_s, 0.1, "gateway.repeat_window_s");
    let slack_valid = (0.0..=1e6).contains(&gateway.repeat_slack);
    faults.require(slack_valid, "gateway.repeat_slack", "0 to 1000000");
    faults.require_range(gateway.probes_per_s_max.into(), 0, 10_000, "gateway.probes_per_s_max");
    let memory_valid = (MEMORY_MIN_MB..=MEMORY_MAX_MB).contains(&gateway.memory_max_mb);
    let memory_allowed = format!("{MEMORY_MIN_MB} to {MEMORY_MAX_MB}");
    faults.require(memory_valid, "gateway.memory_max_mb", memory_allowed);
    faults.require_range(gateway.start_hold_ms, 0, START_HOLD_MAX_MS, "gateway.start_hold_ms");
    faults.require_range(gateway.zones.len() as u64, 1, 1_000, "gateway.zones");
    faults.require_range(gateway.homes_per_zone as u64, 1, 1_000, "gateway.homes_per_zone");
}

fn check_instance(faults: &mut Faults, settings: &Settings) {
    let name_valid = |name: &str| !name.is_empty() && name.len() <= NAME_LEN_MAX;
    let allowed = format!("1 to {NAME_LEN_MAX} characters");
    faults.require(name_valid(&settings.instance.name), "instance.name", &allowed);
    faults.require(name_valid(&settings.instance.zone), "instance.zone", &allowed);
    let positive = |value: f64| value > 0.0 && value <= HARDWARE_VALUE_MAX;
    let allowed_machine = format!("above 0, to {HARDWARE_VALUE_MAX}");
    faults.require(positive(settings.instance.cpu_share), "instance.cpu_share", &allowed_machine);
    faults.require(positive(settings.instance.cores), "instance.cores", &allowed_machine);
    faults.require(positive(settings.instance.link_mbps), "instance.link_mbps", &allowed_machine);
    let token_is_sufficient = settings.listen.operator.ip().is_loopback()
        || settings.operators.token.len() >= SECRET_LEN_MIN;
    let token_allowed = format!("at least {SECRET_LEN_MIN} characters when not on loopback");
    faults.require(token_is_sufficient, "operators.token", token_allowed);
}

/// Returns a fault for every invalid setting.
#[must_use]
pub fn check_settings(settings: &Settings) -> Vec<Fault> {
    let mut faults = Faults(Vec::new());
    check_instance(&mut faults, settings);
    let is_single_instance = settings.platform.is_none() && settings.peers.seeds.is_empty();
    check_peers(&mut faults, &settings.peers, is_single_instance);
    if let Some(platform) = &settings.platform {
        check_platform(&mut faults, platform);
    }
    if let Some(gateway) = &settings.gateway {
        check_gateway(&mut faults, gateway);
    }
    check_requests(&mut faults, &settings.requests);
    check_outcomes(&mut faults, &settings.outcomes, settings.requests.address_keep_ms);
    faults.require_range(
        settings.measuring.shards.into(),
        1,
        SHARDS_MAX.into(),
        "measuring.shards",
    );
    faults.require_range(settings.measuring.grant_ms, 500, DURATION_MAX_MS, "measuring.grant_ms");
    let level_valid = LEVELS.contains(&settings.log.level.as_str());
    faults.require(level_valid, "log.level", format!("one of {}", LEVELS.join(", ")));
    faults.0
}
