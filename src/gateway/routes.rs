//! The operators' routes: the service that a request goes to, and how it may be retried.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::model::is_request_path;
use crate::workspace::WorkspaceTable;

/// Whether the requests of a route may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Idempotent, with responses that may be far larger than the buffer of an instance.
    Download,
    /// Requests must not run more than once.
    AtMostOnce,
    /// No kind, or one that this version does not know. Repeating such a request might do harm, so
    /// it is treated as [`RouteKind::AtMostOnce`].
    #[default]
    #[serde(other)]
    Unknown,
}

/// Longest time that a route or a limit may state, a day.
const TIME_MAX_MS: u64 = 24 * 60 * 60 * 1_000;

fn check_time(field: &str, time_ms: u64) -> Result<(), String> {
    if time_ms > TIME_MAX_MS {
        return Err(format!("{field}: {time_ms} is over {TIME_MAX_MS}"));
    }
    Ok(())
}

/// A service that receives a fraction of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub service: Arc<str>,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A route for the requests of a host below a path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub name: String,
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    #[serde(default)]
    pub kind: RouteKind,
    /// Maximum time that a caller waits for a reply.
    pub timeout_ms: u64,
    /// Latency target: a response within this time has its full value.
    pub aim_ms: u64,
    /// Maximum number of backend servers that one request is sent to.
    #[serde(default = "default_attempts_max")]
    pub attempts_max: u32,
    /// Queue priority, where 0 is served first.
    #[serde(default)]
    pub priority: u32,
    /// Whether requests need no key and belong to no workspace.
    #[serde(default)]
    pub key_exempt: bool,
    /// The only service, if requests are not split.
    #[serde(default)]
    pub(super) service: Option<Arc<str>>,
    /// The services among which requests are split.
    #[serde(default)]
    pub(super) targets: SmallVec<[Target; 2]>,
}

const fn default_attempts_max() -> u32 {
    1
}

/// Unlimited: if operators set no limit, only the instances' own limits apply.
const fn default_connections_max() -> u32 {
    u32::MAX
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfig {
    pub name: Arc<str>,
    /// Sent in the head of a request as it is.
    pub health_path: String,
    /// Maximum number of connections that a backend server accepts from all clients together.
    #[serde(default = "default_connections_max")]
    pub connections_max: u32,
    /// Duration of a backend server's warm-up, in seconds.
    #[serde(default)]
    pub warmup_s: f64,
    /// Requests per second that a server accepts during warm-up from all instances together;
    /// unlimited if `None`.
    #[serde(default)]
    pub cold_per_s: Option<f64>,
}

impl ServiceConfig {
    /// Checks the values of the fields.
    ///
    /// # Errors
    /// Names the invalid field.
    pub fn validate(&self) -> Result<(), String> {
        if !is_request_path(&self.health_path) {
            return Err("health_path: must be a path, of printable ASCII without spaces".into());
        }
        Ok(())
    }

    /// Duration of a backend server's warm-up.
    #[must_use]
    pub fn warmup(&self) -> Duration {
        Duration::try_from_secs_f64(self.warmup_s).unwrap_or_default()
    }
}

/// Limits on the size of callers' requests and on their idle time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallerLimits {
    pub header_bytes_max: usize,
    pub body_bytes_max: usize,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

impl CallerLimits {
    /// Checks the values of the fields.
    ///
    /// # Errors
    /// Names the invalid field.
    pub fn validate(&self) -> Result<(), String> {
        check_time("header_timeout_ms", self.header_timeout_ms)?;
        check_time("idle_timeout_ms", self.idle_timeout_ms)
    }
}

impl Default for CallerLimits {
    /// The limits until the operators' configuration is loaded.
    fn default() -> Self {
        Self {
            header_bytes_max: 16 << 10,
            body_bytes_max: 1 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the operators' configuration, indexed for lookups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    pub version: u64,
    pub services: HashMap<Arc<str>, ServiceConfig>,
    pub limits: CallerLimits,
    /// `None` if requests need no key.
    pub workspaces: Option<WorkspaceTable>,
    /// Routes by host in lower case, sorted by descending prefix length.
    routes: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Creates a table of these routes, services and limits.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Arc<Route>>,
        services: Vec<ServiceConfig>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(route);
        }
        for of_host in by_host.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter();
        let services = services.map(|rule| (Arc::clone(&rule.name), rule)).collect();
        Self { version, services, limits, workspaces: None, routes: by_host }
    }

    /// The route with this name.
    #[must_use]
    pub fn route_named(&self, name: &str) -> Option<&Arc<Route>> {
        self.routes.values().flatten().find(|route| route.name == name)
    }

    /// The route of the host with the longest prefix of the path.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let of_host = match self.routes.get(host) {
            Some(of_host) => of_host,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        of_host.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Number of routes, for logs.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

impl Route {
    /// Whether requests may run more than once.
    #[must_use]
    pub const fn idempotent(&self) -> bool {
        matches!(self.kind, RouteKind::Idempotent | RouteKind::Download)
    }

    /// Checks the values of the fields.
    ///
    /// # Errors
    /// Names the invalid field.
    pub fn validate(&self) -> Result<(), String> {
        if !self.has_target() {
            return Err("the route names no service".into());
        }
        check_time("timeout_ms", self.timeout_ms)?;
        check_time("aim_ms", self.aim_ms)
    }

    /// Whether the route names a service.
    #[must_use]
    pub fn has_target(&self) -> bool {
        self.service.is_some() || !self.targets.is_empty()
    }

    /// The services that requests may go to.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.service.iter().chain(self.targets.iter().map(|target| &target.service))
    }

    /// Selects a service by a random number from 0 to 1 (exclusive); `None` only if the route names
    /// no service.
    #[must_use]
    pub fn pick_service(&self, random: f64) -> Option<&Arc<str>> {
        let total: f64 = self.targets.iter().map(|target| f64::from(target.weight)).sum();
        let mut left = random * total;
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.service.as_ref().or_else(|| self.targets.last().map(|target| &target.service))
    }
}
