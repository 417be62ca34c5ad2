//! The operators' routes: which service a request goes to, and the care it deserves.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::workspace::WorkspaceTable;

/// The care that a route's requests deserve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Idempotent, with answers that may be far larger than what an instance holds.
    Download,
    /// Must not run more than once.
    AtMostOnce,
    /// A kind that this version does not know, or none: nothing says that a repeat does no harm, so
    /// it is treated as [`RouteKind::AtMostOnce`].
    #[default]
    #[serde(other)]
    Unknown,
}

/// A service that a route sends requests to, with its part of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub service: Arc<str>,
    /// Part of the requests, relative to the other targets' weights.
    pub weight: u32,
}

/// One route: requests of a host below a path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub name: String,
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    #[serde(default)]
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer is worth its full value.
    pub aim_ms: u64,
    /// Most backend servers that one request is sent to.
    #[serde(default = "attempts_default")]
    pub attempts_max: u32,
    /// 0 is served first.
    #[serde(default)]
    pub priority: u32,
    /// Its requests need no key, and are of no workspace.
    #[serde(default)]
    pub key_exempt: bool,
    /// The only service, where requests are not split.
    #[serde(default)]
    pub(super) service: Option<Arc<str>>,
    /// The services among which requests are split.
    #[serde(default)]
    pub(super) targets: SmallVec<[Target; 2]>,
}

const fn attempts_default() -> u32 {
    1
}

/// Where the operators do not bound connections, the instances' own limits do.
const fn connections_default() -> u32 {
    u32::MAX
}

/// What the operators say of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfig {
    pub name: Arc<str>,
    pub health_path: String,
    /// Connections that a backend server of the service takes from everybody together.
    #[serde(default = "connections_default")]
    pub connections_max: u32,
    /// How long a backend server stays cold, in seconds.
    #[serde(default)]
    pub warmup_s: f64,
    /// Requests a second that a cold one tolerates from all instances together; not bounded without.
    #[serde(default)]
    pub cold_per_s: Option<f64>,
}

impl ServiceConfig {
    /// How long a backend server stays cold.
    #[must_use]
    pub fn warmup(&self) -> Duration {
        Duration::try_from_secs_f64(self.warmup_s).unwrap_or_default()
    }
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallerLimits {
    pub header_bytes_max: usize,
    pub body_bytes_max: usize,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// In force until the operators' configuration is known.
    fn default() -> Self {
        Self {
            header_bytes_max: 16 << 10,
            body_bytes_max: 1 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the operators' configuration, ready for lookups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    pub version: u64,
    pub services: HashMap<Arc<str>, ServiceConfig>,
    pub limits: CallerLimits,
    /// `None` where requests need no key.
    pub workspaces: Option<WorkspaceTable>,
    /// By host in lower case; those with longer prefixes come first.
    routes: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// A table of these routes, services and limits.
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

    /// The route of this name.
    #[must_use]
    pub fn route_named(&self, name: &str) -> Option<&Arc<Route>> {
        self.routes.values().flatten().find(|route| route.name == name)
    }

    /// The route of the host with the longest prefix that begins the path.
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
    /// Whether its requests may run more than once.
    #[must_use]
    pub const fn idempotent(&self) -> bool {
        matches!(self.kind, RouteKind::Idempotent | RouteKind::Download)
    }

    /// Whether it names a service.
    #[must_use]
    pub fn has_target(&self) -> bool {
        self.service.is_some() || !self.targets.is_empty()
    }

    /// The service for a request, by a random number from 0 to 1 (exclusive); `None` only for a
    /// route that names no service.
    #[must_use]
    pub fn pick_service(&self, random: f64) -> Option<&Arc<str>> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = random * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.service.as_ref().or_else(|| self.targets.last().map(|target| &target.service))
    }
}
