//! A test bed whose instances run in this process.

use std::net::SocketAddr;
use std::sync::Arc;

use sorrelwick::board::Blackboard;
use sorrelwick::command::ToolClient;
use sorrelwick::conf::Settings;
use sorrelwick::errors::CodedError;
use sorrelwick::model::BackendServer;
use sorrelwick::model::Preference;
use sorrelwick::model::RequestKind;
use sorrelwick::model::Service;
use sorrelwick::operator::service_to_wire;

use super::InProcessDaemon;
use super::TestBedPlan;
use super::settings_for;
use super::wait_until;
use crate::backend::Backend;
use crate::backend::BackendSettings;
use crate::caller::Caller;
use crate::platform::ListedMachine;
use crate::platform::Platform;
use crate::platform::PlatformState;

/// A running system. A part that is taken out and dropped ends as if killed.
#[derive(Debug)]
pub struct TestBed {
    pub plan: TestBedPlan,
    pub platform: Option<Platform>,
    pub state: PlatformState,
    platform_address: SocketAddr,
    pub backends: Vec<Backend>,
    pub daemons: Vec<Option<InProcessDaemon>>,
}

impl TestBed {
    /// Starts all parts and waits until all instances know each other.
    ///
    /// # Panics
    /// If a part does not start.
    pub async fn start(plan: TestBedPlan) -> Self {
        let state = PlatformState::default();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::bind(any, state.clone()).await.expect("platform starts");
        let platform_address = platform.address();
        let platform = Some(platform);
        let mut bed = Self {
            plan,
            platform,
            state,
            platform_address,
            backends: Vec::new(),
            daemons: Vec::new(),
        };
        for at in 0..bed.plan.backends {
            bed.add_backend(at).await;
        }
        for _ in 0..bed.plan.instances {
            bed.add_daemon().await;
        }
        bed.wait_until_joined().await;
        bed
    }

    async fn add_backend(&mut self, at: usize) {
        let settings = BackendSettings {
            id: format!("b{at}"),
            seed: self.plan.backend.seed + at as u64,
            ..self.plan.backend.clone()
        };
        self.backends.push(Backend::bind(settings).await.expect("backend starts"));
    }

    /// Starts another instance and adds it to the platform's list.
    ///
    /// # Panics
    /// If it does not start.
    pub async fn add_daemon(&mut self) -> usize {
        self.add_daemon_with(|_| {}).await
    }

    /// Starts another instance with settings modified by `change`.
    ///
    /// # Panics
    /// If it does not start.
    pub async fn add_daemon_with(&mut self, change: impl FnOnce(&mut Settings)) -> usize {
        let at = self.daemons.len();
        let mut settings = settings_for(&self.plan, at, self.platform_address);
        change(&mut settings);
        self.daemons.push(Some(InProcessDaemon::spawn(settings).await));
        self.publish_machine_list();
        at
    }

    fn publish_machine_list(&self) {
        let machine = |board: &Arc<Blackboard>| ListedMachine {
            id: board.settings.instance.name.clone(),
            ip: "127.0.0.1".into(),
            port: board.settings.listen.peer.port().into(),
            zone: board.settings.instance.zone.clone(),
            leaving: false,
        };
        let running = self.daemons.iter().flatten();
        let machines = running.map(|daemon| machine(daemon.board())).collect();
        self.state.set_list("sorrelwick", machines);
    }

    /// Waits until all running instances know each other.
    pub async fn wait_until_joined(&self) {
        let running = self.daemons.iter().flatten().count();
        wait_until("all instances joined", async || {
            self.boards().iter().all(|board| {
                let view = board.members_view();
                let alive = view.rows.iter().filter(|row| row.state.accepts_work());
                alive.count() == running
            })
        })
        .await;
    }

    /// Kills the instance at index `at`.
    pub fn kill(&mut self, at: usize) {
        drop(self.daemons[at].take());
    }

    /// The blackboards of the running instances.
    #[must_use]
    pub fn boards(&self) -> Vec<Arc<Blackboard>> {
        self.daemons.iter().flatten().map(|daemon| Arc::clone(daemon.board())).collect()
    }

    /// The running instance at index `at`.
    ///
    /// # Panics
    /// If it was killed.
    #[must_use]
    pub fn daemon(&self, at: usize) -> &InProcessDaemon {
        self.daemons[at].as_ref().expect("the instance runs")
    }

    /// Stops the platform; its state is kept.
    pub fn stop_platform(&mut self) {
        self.platform = None;
    }

    /// Restarts the platform on the same address.
    pub async fn start_platform(&mut self) {
        wait_until("the platform's port is free", async || {
            let bound = Platform::bind(self.platform_address, self.state.clone()).await;
            self.platform = bound.ok();
            self.platform.is_some()
        })
        .await;
    }

    /// The running platform.
    ///
    /// # Panics
    /// If it is stopped.
    #[must_use]
    pub fn platform(&self) -> &Platform {
        self.platform.as_ref().expect("the platform runs")
    }

    /// A service declaration with all backend servers: GET is idempotent, POST is not.
    #[must_use]
    pub fn service(&self, name: &str) -> Service {
        let servers = self.backends.iter().enumerate().map(|(at, backend)| BackendServer {
            id: backend.id().to_owned(),
            address: backend.address(),
            zone: self.plan.zone(at).to_owned(),
            slots: u32::try_from(self.plan.backend.slots).unwrap_or(1),
            connections_max: 250,
            drained: false,
        });
        let kind = |name: &str, method: &str, idempotent| RequestKind {
            name: name.into(),
            method: method.into(),
            path_prefix: "/".into(),
            idempotent,
            key_required: false,
        };
        Service {
            name: name.into(),
            kinds: vec![kind("lookup", "GET", true), kind("order", "POST", false)],
            backend_servers: servers.collect(),
            measuring_budget_per_s: 0,
            preference: Preference::Tail,
            refusal_statuses: vec![503],
            timeout_ms: 5_000,
            health_path: "/health".into(),
        }
    }

    /// Client of the operator listener of a running instance.
    ///
    /// # Panics
    /// If the instance was killed.
    #[must_use]
    pub fn operator(&self, at: usize) -> ToolClient {
        let address = self.daemon(at).board().settings.listen.operator;
        ToolClient::open(&address.to_string(), "").expect("an address")
    }

    /// Commits a service through the operator API and returns its revision.
    ///
    /// # Errors
    /// The error of the operator call.
    pub async fn put_service(
        &self,
        at: usize,
        service: &Service,
        expected: u64,
    ) -> Result<u64, CodedError> {
        let row = self.operator(at).put(&service_to_wire(service), expected).await?;
        Ok(row.revision)
    }

    /// Waits until all running instances have applied this or a later revision; returns the time taken.
    pub async fn wait_until_applied(&self, service: &str, revision: u64) -> std::time::Duration {
        wait_until("all instances have applied the revision", async || {
            self.boards().iter().all(|board| {
                let services = board.services();
                services.get(service).is_some_and(|state| state.revision >= revision)
            })
        })
        .await
    }

    /// Creates a service with all backend servers and waits until all instances have applied it.
    ///
    /// # Panics
    /// If the operator call fails.
    pub async fn create_service(&self, name: &str) -> Service {
        let service = self.service(name);
        let revision = self.put_service(0, &service, 0).await.expect("the service is accepted");
        self.wait_until_applied(name, revision).await;
        service
    }

    /// Caller addresses of the running instances.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.boards().iter().map(|board| board.settings.listen.caller).collect()
    }

    /// A caller of `service` in the zone at index `at`.
    #[must_use]
    pub fn caller(&self, service: &str, at: usize) -> Caller {
        Caller::new(service, self.plan.zone(at), &self.caller_addresses())
    }

    /// Number of runs by request id, over all backend servers.
    #[must_use]
    pub fn run_counts(&self) -> std::collections::HashMap<String, usize> {
        let mut all = std::collections::HashMap::new();
        for backend in &self.backends {
            for (id, count) in backend.record.counts() {
                *all.entry(id).or_insert(0) += count;
            }
        }
        all
    }
}
