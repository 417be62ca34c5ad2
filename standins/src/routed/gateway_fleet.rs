//! A fleet of gateway instances in this process, on one in-memory store.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sorrelwick::app::Gateway;
use sorrelwick::board::Blackboard;
use sorrelwick::conf::Settings;
use sorrelwick::conf::parse_settings;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use super::MemoryEventStore;
use super::PlainDialect;
use super::RawResponse;
use super::RawServer;
use super::ServerPaths;
use super::StoreFault;
use super::raw_call;
use super::raw_call_from;

const SECRET: &str = "a secret of sixteen";
/// Slots of a listed server.
const SLOTS: u32 = 4;
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Gateway instances, their shared store, and each instance's client of it.
#[derive(Debug)]
pub struct GatewayFleet {
    pub store: MemoryEventStore,
    pub store_clients: Vec<MemoryEventStore>,
    /// Each instance's paths to the backend servers.
    pub paths: Vec<Arc<ServerPaths>>,
    pub instances: Vec<FleetInstance>,
}

/// A gateway instance on its own runtime, so that killing it closes all its connections.
#[derive(Debug)]
pub struct FleetInstance {
    runtime: Runtime,
    gateway: Gateway,
}

impl FleetInstance {
    async fn spawn(settings: Settings, dialect: PlainDialect, store: MemoryEventStore) -> Self {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("a runtime");
        let spawned = runtime.spawn(Gateway::spawn(settings, dialect, store)).await;
        Self { gateway: spawned.expect("no panic").expect("the instance starts"), runtime }
    }

    /// Stops the instance gracefully.
    ///
    /// # Panics
    /// If the stop panics.
    pub async fn stop(self) {
        self.runtime.spawn(self.gateway.stop()).await.expect("no panic");
        self.runtime.shutdown_background();
    }

    /// Kills the instance with all its tasks and connections.
    pub fn kill(self) {
        let Self { runtime, gateway } = self;
        runtime.shutdown_background();
        drop(gateway);
    }
}

/// Settings of an instance of the fleet, on ports assigned by the system.
///
/// # Panics
/// Never: the settings are valid.
#[must_use]
pub fn fleet_settings(name: &str, zone: &str, zones: &[&str], seeds: &[SocketAddr]) -> Settings {
    let text = serde_json::json!({
        "instance": { "name": name, "zone": zone },
        "listen": {
            "caller": "127.0.0.1:0", "operator": "127.0.0.1:1", "peer": "127.0.0.1:0",
            "status": "127.0.0.1:0",
        },
        "peers": {
            "secret": SECRET, "seeds": seeds, "ping_interval_ms": 100, "ping_timeout_ms": 80,
            "suspect_timeout_ms": 300,
        },
        "gateway": {
            "readiness": "127.0.0.1:0", "addresses": "127.0.0.1:0", "store": "127.0.0.1:1",
            "grace_s": 2.0, "drain_ms": 2_000, "config_apply_ms": 2_000,
            "address_keep_max_s": 5.0, "repeat_ratio": 0.2, "repeat_window_s": 10.0,
            "repeat_slack": 60.0, "probes_per_s_max": 60, "memory_max_mb": 200.0,
            "zones": zones,
        },
    });
    parse_settings("bed", &text.to_string()).expect("the settings are valid")
}

impl Drop for GatewayFleet {
    fn drop(&mut self) {
        for host in self.instances.drain(..) {
            host.kill();
        }
    }
}

impl GatewayFleet {
    /// Starts one instance per element of `zones`, in order.
    ///
    /// # Panics
    /// If an instance does not start.
    pub async fn start(zones: &[&str]) -> Self {
        Self::start_with(zones, |_| {}).await
    }

    /// As [`Self::start`], with settings of its own.
    ///
    /// # Panics
    /// If an instance does not start.
    pub async fn start_with(zones: &[&str], change: impl Fn(&mut Settings)) -> Self {
        let store = MemoryEventStore::default();
        let (store_clients, paths, instances) = (Vec::new(), Vec::new(), Vec::new());
        let mut fleet = Self { store, store_clients, paths, instances };
        for (number, zone) in zones.iter().enumerate() {
            let mut settings = fleet.next_settings(&format!("i{number}"), zone, zones);
            change(&mut settings);
            fleet.spawn_instance(settings, StoreFault::None).await;
        }
        fleet
    }

    /// Starts another instance.
    ///
    /// # Panics
    /// If it does not start.
    pub async fn add(&mut self, name: &str, zone: &str, zones: &[&str]) {
        self.add_with_store_fault(name, zone, zones, StoreFault::None).await;
    }

    /// Starts another instance, whose calls to the store are subject to `fault` from the start.
    ///
    /// # Panics
    /// If it does not start.
    pub async fn add_with_store_fault(
        &mut self,
        name: &str,
        zone: &str,
        zones: &[&str],
        fault: StoreFault,
    ) {
        let settings = self.next_settings(name, zone, zones);
        self.spawn_instance(settings, fault).await;
    }

    fn next_settings(&self, name: &str, zone: &str, zones: &[&str]) -> Settings {
        let peers = self.instances.iter().map(|host| host.gateway.board().settings.listen.peer);
        let seeds: Vec<SocketAddr> = peers.take(3).collect();
        fleet_settings(name, zone, zones, &seeds)
    }

    async fn spawn_instance(&mut self, settings: Settings, fault: StoreFault) {
        let client = self.store.new_client();
        client.set_fault(fault);
        let paths = Arc::new(ServerPaths::default());
        let dialect = PlainDialect::with_paths(Arc::clone(&paths));
        self.instances.push(FleetInstance::spawn(settings, dialect, client.clone()).await);
        self.store_clients.push(client);
        self.paths.push(paths);
    }

    /// Lists a server that each instance reaches through a path of its own.
    pub async fn list_server(&self, server: &RawServer, id: &str, service: &str, zone: &str) {
        for paths in &self.paths {
            paths.add(server.address).await;
        }
        self.store.put(&format!("servers/{id}"), &server.entry(service, zone, SLOTS, "ready"));
    }

    /// The blackboard of the instance at index `at`.
    #[must_use]
    pub fn board(&self, at: usize) -> &Arc<Blackboard> {
        self.instances[at].gateway.board()
    }

    /// Sends a request to the instance at index `at`.
    pub async fn call(&self, at: usize, line: &str, id: &str, body: &[u8]) -> RawResponse {
        let to = self.board(at).settings.listen.caller;
        raw_call(to, line, &[("host", "shop.example"), ("request-id", id)], body).await
    }

    /// Sends a request from the given source address, with an additional header.
    pub async fn call_from(
        &self,
        from: Ipv4Addr,
        at: usize,
        line: &str,
        id: &str,
        field: (&str, &str),
    ) -> RawResponse {
        let to = self.board(at).settings.listen.caller;
        let fields = [("host", "shop.example"), ("request-id", id), field];
        raw_call_from(from.into(), to, line, &fields, &[]).await
    }

    /// Sends a request with additional headers; a name may occur more than once.
    pub async fn call_with(
        &self,
        at: usize,
        line: &str,
        id: &str,
        fields: &[(&str, &str)],
    ) -> RawResponse {
        let to = self.board(at).settings.listen.caller;
        let mut all = vec![("host", "shop.example"), ("request-id", id)];
        all.extend(fields);
        raw_call(to, line, &all, &[]).await
    }

    /// Queries an instance for the addresses that callers in `zone` should use.
    ///
    /// # Panics
    /// If the response cannot be parsed.
    pub async fn addresses(&self, at: usize, zone: &str) -> Vec<SocketAddr> {
        let gateway = self.board(at).settings.gateway.clone().expect("a gateway");
        let line = format!("GET /addresses?name=shop.example&zone={zone}");
        let response = raw_call(gateway.addresses, &line, &[("host", "x")], &[]).await;
        let body: serde_json::Value = serde_json::from_slice(&response.body).expect("JSON");
        serde_json::from_value(body["addresses"].clone()).expect("addresses")
    }

    /// The status of an instance's readiness.
    pub async fn readiness(&self, at: usize) -> u16 {
        let Some(gateway) = self.board(at).settings.gateway.clone() else {
            return 0;
        };
        raw_call(gateway.readiness, "GET /ready", &[("host", "x")], &[]).await.status
    }

    /// Waits until all instances know each other and are ready.
    ///
    /// # Panics
    /// If that takes more than 10 s.
    pub async fn wait_until_ready(&self) {
        let until = tokio::time::Instant::now() + READY_TIMEOUT;
        for at in 0..self.instances.len() {
            let all = self.instances.len();
            while self.board(at).members_view().running_count() < all
                || self.readiness(at).await != 200
            {
                assert!(tokio::time::Instant::now() < until, "instance {at} is not ready");
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
    }
}

/// The configuration of [`two_routes`] with these workspaces, and a third route that needs no API key.
///
/// # Panics
/// Never: the configuration is valid JSON.
#[must_use]
pub fn routes_with_workspaces(version: u64, workspaces: &serde_json::Value) -> String {
    let mut document: serde_json::Value =
        serde_json::from_str(&two_routes(version)).expect("a document");
    document["workspaces"] = workspaces.clone();
    let routes = document["routes"].as_array_mut().expect("routes");
    let mut open = routes[0].clone();
    open["name"] = "open".into();
    open["prefix"] = "/open/".into();
    open["key_exempt"] = true.into();
    routes.push(open);
    document.to_string()
}

/// A configuration with an idempotent and an at-most-once route, each with its own service.
#[must_use]
pub fn two_routes(version: u64) -> String {
    serde_json::json!({
        "version": version,
        "routes": [
            { "name": "look", "host": "shop.example", "prefix": "/look/", "kind": "idempotent",
              "timeout_ms": 1_500, "aim_ms": 600, "priority": 2, "attempts_max": 3,
              "service": "parts" },
            { "name": "order", "host": "shop.example", "prefix": "/order/",
              "kind": "at-most-once", "timeout_ms": 1_200, "aim_ms": 400, "priority": 0,
              "attempts_max": 3, "service": "orders" },
        ],
        "services": [
            { "name": "parts", "health_path": "/health", "connections_max": 200 },
            { "name": "orders", "health_path": "/health", "connections_max": 200 },
        ],
        "limits": {},
    })
    .to_string()
}
