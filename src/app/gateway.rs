//! The gateway: an instance that serves requests by the routes of a platform's configuration.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use log::info;
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::daemon::bind_listener;
use super::daemon::record_bound_address;
use super::gateway_peer_service::GatewayPeerService;
use super::gateway_tasks::StoreMirrors;
use super::gateway_tasks::spawn_followers;
use super::gateway_tasks::spawn_quarantine_store;
use super::gateway_tasks::spawn_reach_monitor;
use super::gateway_tasks::spawn_sharing_tasks;
use crate::board::Blackboard;
use crate::board::EventKind;
use crate::board::Phase;
use crate::clock::now_ms;
use crate::clock::now_us;
use crate::conf::GatewaySettings;
use crate::conf::Settings;
use crate::errors::Code;
use crate::errors::CodedError;
use crate::gateway::AddressHandler;
use crate::gateway::Admission;
use crate::gateway::Borrowers;
use crate::gateway::CallerHandler;
use crate::gateway::CurrentRouteTable;
use crate::gateway::Dialect;
use crate::gateway::Dispatcher;
use crate::gateway::Forwarder;
use crate::gateway::MemoryBudget;
use crate::gateway::PeerForwardHandler;
use crate::gateway::PeerForwarder;
use crate::gateway::Prober;
use crate::gateway::QuotaLimiter;
use crate::gateway::ReadinessHandler;
use crate::gateway::Registry;
use crate::gateway::StartHold;
use crate::gateway::run_store_check;
use crate::listener::HttpListener;
use crate::member::MemberState;
use crate::member::announce;
use crate::member::run_failure_detector;
use crate::member::run_joiner;
use crate::peer::Links;
use crate::peer::PeerListener;
use crate::quarantine::run_suspect_gossip;
use crate::quota::Quotas;
use crate::retry::RetryAllowance;
use crate::status::StatusListener;
use crate::store::EventStore;

/// Connection limit of the readiness and the address listener: the platform polls about once a
/// second from a few places, and each caller that asks for addresses takes one connection.
const PLATFORM_CONNECTIONS_MAX: u32 = 1_000;
/// Request bodies may take the process's memory limit divided by this; buffered response bodies
/// may take as much again.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Fraction of the configured retry ratio that is used: a retry may be counted in another window
/// than its request.
const RETRY_RATIO_FACTOR: f64 = 0.9;
/// Fraction of the retry budget's slack that is divided among the homes. The rest covers the other
/// instances' addition, and homes that changed within a window, each of which may have used its
/// share.
const RETRY_SLACK_FACTOR: f64 = 0.7;
/// How long callers that cache an old address response are served after the stop signal, in
/// percent of the grace period.
const SERVE_AFTER_STOP_PERCENT: u32 = 55;
/// Part of the grace period reserved for the exit of the process itself, at most.
const EXIT_MARGIN_MAX: Duration = Duration::from_millis(400);
/// That part of a short grace period, in percent.
const EXIT_MARGIN_PERCENT: u32 = 10;
/// Part of the exit margin, in percent, that is reserved before it for sending the last answers, and
/// within it for announcing to the other instances that this one has stopped.
const EXIT_STEP_PERCENT: u32 = 25;
/// Interval at which a stopping instance checks for requests in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running instance. Dropping it stops it at once, as if the process were killed.
#[derive(Debug)]
pub struct Gateway {
    board: Arc<Blackboard>,
    links: Links,
    callers: HttpListener,
    tasks: JoinSet<()>,
    /// Time between the stop signal and the forced end of the process.
    grace: Duration,
    _readiness: HttpListener,
    _addresses: HttpListener,
    _peers: PeerListener,
    _status: StatusListener,
}

/// The listening sockets of an instance.
struct Sockets {
    callers: TcpListener,
    peers: TcpListener,
    status: TcpListener,
    readiness: TcpListener,
    addresses: TcpListener,
}

impl Sockets {
    async fn bind(
        settings: &mut Settings,
        gateway: &mut GatewaySettings,
    ) -> Result<Self, CodedError> {
        let sockets = Self {
            callers: bind_listener(settings.listen.caller, "caller").await?,
            peers: bind_listener(settings.listen.peer, "peer").await?,
            status: bind_listener(settings.listen.status, "status").await?,
            readiness: bind_listener(gateway.readiness, "readiness").await?,
            addresses: bind_listener(gateway.addresses, "addresses").await?,
        };
        record_bound_address(&sockets.callers, &mut settings.listen.caller);
        record_bound_address(&sockets.peers, &mut settings.listen.peer);
        record_bound_address(&sockets.status, &mut settings.listen.status);
        record_bound_address(&sockets.readiness, &mut gateway.readiness);
        record_bound_address(&sockets.addresses, &mut gateway.addresses);
        Ok(sockets)
    }
}

/// The retry allowance that all instances share.
fn retry_allowance(gateway: &GatewaySettings) -> RetryAllowance {
    RetryAllowance {
        ratio: gateway.repeat_ratio * RETRY_RATIO_FACTOR,
        window_us: u64::try_from(gateway.repeat_window().as_micros()).unwrap_or(u64::MAX),
        slack_retries: gateway.repeat_slack * RETRY_SLACK_FACTOR,
    }
}

/// Number of homes assumed until the members are known.
fn initial_home_count(gateway: &GatewaySettings) -> usize {
    gateway.homes_per_zone * gateway.zones.len()
}

/// Logs a stage of the shutdown. Requests in flight at the last one get no answer.
fn log_stop_stage(board: &Blackboard, stage: &str, stop_began: tokio::time::Instant) {
    info!(
        event = "stop-stage", stage = stage, after_ms = stop_began.elapsed().as_millis(),
        in_flight = board.requests_in_flight();
        "shutting down"
    );
}

/// The parts that forward requests, to backend servers or to another instance.
fn new_forwarder<D: Dialect>(
    dialect: &D,
    board: &Arc<Blackboard>,
    links: &Links,
    dispatcher: &Dispatcher,
    admission: &Admission,
    response_memory: Arc<MemoryBudget>,
) -> Forwarder<D> {
    let peer_forwarder = PeerForwarder {
        board: Arc::clone(board),
        links: links.clone(),
        api_key: dialect.header_names().api_key.clone(),
        response_memory: Arc::clone(&response_memory),
    };
    Forwarder {
        dialect: dialect.clone(),
        board: Arc::clone(board),
        dispatcher: dispatcher.clone(),
        admission: admission.clone(),
        response_memory,
        peer_forwarder,
    }
}

impl Gateway {
    /// Binds all listeners and starts the background tasks. A port 0 in the settings is replaced by
    /// the port that the system assigned.
    ///
    /// # Errors
    /// `SettingsValue` without a `gateway` section; `ListenFailed`, with the listener that cannot
    /// be bound.
    pub async fn spawn<D: Dialect, S: EventStore>(
        mut settings: Settings,
        dialect: D,
        store: S,
    ) -> Result<Self, CodedError> {
        let Some(mut gateway) = settings.gateway.take() else {
            return Err(CodedError::new(Code::SettingsValue, "gateway: the section is missing"));
        };
        let sockets = Sockets::bind(&mut settings, &mut gateway).await?;
        settings.gateway = Some(gateway.clone());
        let zone = settings.instance.zone.clone();
        let connections_max = u32::try_from(settings.requests.connections_max).unwrap_or(u32::MAX);
        let links = Links::new(&settings.peers.secret);
        let board = Arc::new(Blackboard::new(settings, rand::rng().random::<u64>()));
        let table: CurrentRouteTable = Arc::new(ArcSwapOption::empty());
        let dispatcher = Dispatcher::new(&zone, retry_allowance(&gateway));
        let dispatcher = dispatcher.with_reach(Arc::clone(&board.reach));
        // Others than the homes are not known yet.
        dispatcher.set_instance_counts(initial_home_count(&gateway), 0, true);

        let mut tasks = JoinSet::new();
        let StoreMirrors { config_age, config, servers } =
            spawn_followers(&mut tasks, &dialect, &store, &links, &board, &table, &dispatcher);
        let (config_ref, servers_ref) = (Arc::clone(&config), Arc::clone(&servers));
        let check = run_store_check(store.clone(), Arc::clone(&board), config_ref, servers_ref);
        tasks.spawn(check);
        spawn_quarantine_store(&mut tasks, &dialect, &store, &board, gateway.first_start);
        let registry = Registry::new(dialect.clone(), store, Arc::clone(&board));
        tasks.spawn(registry.clone().run());
        tasks.spawn(run_failure_detector(Arc::clone(&board), links.clone()));
        tasks.spawn(run_joiner(Arc::clone(&board), registry, links.clone()));
        tasks.spawn(run_suspect_gossip(Arc::clone(&board), links.clone()));
        tasks.spawn(dispatcher.clone().run());
        let quotas = Arc::new(Quotas::new(gateway.quota_tolerance(), now_us()));
        let admission = Admission::new(Arc::clone(&table), config_age, &gateway);
        let grace = gateway.grace();
        let start_hold = Arc::new(StartHold::new(gateway.start_hold()));
        let memory_bytes = gateway.memory_max_bytes();
        let prober = Prober {
            dialect: dialect.clone(),
            board: Arc::clone(&board),
            dispatcher: dispatcher.clone(),
            table: Arc::clone(&table),
            settings: gateway,
        };
        tasks.spawn(prober.run());

        spawn_sharing_tasks(&mut tasks, &board, &links, &dispatcher, &table, &quotas);
        let reach_answerer =
            spawn_reach_monitor(&mut tasks, &dialect, &board, &links, &table, &dispatcher);
        let quota_limiter = QuotaLimiter {
            board: Arc::clone(&board),
            links: links.clone(),
            table: Arc::clone(&table),
            quotas,
            borrowers: Borrowers::default(),
        };
        let body_memory = Arc::new(MemoryBudget::new(memory_bytes / BODY_MEMORY_DIVISOR));
        let response_memory = Arc::new(MemoryBudget::new(memory_bytes / BODY_MEMORY_DIVISOR));
        let forwarder =
            new_forwarder(&dialect, &board, &links, &dispatcher, &admission, response_memory);
        let peers = GatewayPeerService {
            board: Arc::clone(&board),
            links: links.clone(),
            dispatcher: dispatcher.clone(),
            config,
            servers,
            quota_limiter: quota_limiter.clone(),
            forward_handler: PeerForwardHandler::new(forwarder.clone(), Arc::clone(&body_memory)),
            reach_answerer,
        };
        let callers = CallerHandler {
            forwarder,
            body_memory,
            spent_time: Arc::default(),
            refused: Arc::default(),
            quota_limiter,
            start_hold,
        };
        let readiness =
            ReadinessHandler { dialect: dialect.clone(), board: Arc::clone(&board), table };
        let addresses = AddressHandler { dialect, board: Arc::clone(&board), admission };
        let secret: Arc<str> = links.secret().into();
        board.record_event(EventKind::Started);
        Ok(Self {
            callers: HttpListener::spawn(sockets.callers, callers, connections_max),
            tasks,
            grace,
            _readiness: HttpListener::spawn(sockets.readiness, readiness, PLATFORM_CONNECTIONS_MAX),
            _addresses: HttpListener::spawn(sockets.addresses, addresses, PLATFORM_CONNECTIONS_MAX),
            _peers: PeerListener::spawn(sockets.peers, secret, peers),
            _status: StatusListener::spawn(sockets.status, Arc::clone(&board)),
            board,
            links,
        })
    }

    /// The shared state of the instance.
    #[must_use]
    pub const fn board(&self) -> &Arc<Blackboard> {
        &self.board
    }

    /// Shuts down gracefully within the grace period. At once it reports not ready and is left out
    /// of new address responses; it serves on for callers that cache an older response, then
    /// closes connections as they become idle.
    pub async fn stop(mut self) {
        self.board.set_phase(Phase::Leaving);
        self.board.record_event(EventKind::Stopping);
        self.board.members.lock().set_own_state(MemberState::Leaving, None, now_ms());
        self.board.publish_members();
        let serve_time = self.grace * SERVE_AFTER_STOP_PERCENT / 100;
        let started = tokio::time::Instant::now();
        let exit_margin = EXIT_MARGIN_MAX.min(self.grace * EXIT_MARGIN_PERCENT / 100);
        let exit_step = exit_margin * EXIT_STEP_PERCENT / 100;
        let end = started + self.grace.saturating_sub(exit_margin);
        self.board.stop_deadline.set(end - exit_step);
        let _ = tokio::time::timeout(serve_time, announce(&self.board, &self.links)).await;
        tokio::time::sleep_until(started + serve_time).await;
        log_stop_stage(&self.board, "closing-connections", started);
        let remaining = end.saturating_duration_since(tokio::time::Instant::now());
        // Connections that are still open after that are closed when the process exits.
        let _ = tokio::time::timeout(remaining, self.callers.stop()).await;
        while self.board.requests_in_flight() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        log_stop_stage(&self.board, "ending", started);
        self.board.members.lock().set_own_state(MemberState::Left, None, now_ms());
        self.board.publish_members();
        // Peers that miss this announcement detect the stop by failed pings; the process must end
        // within the grace period.
        let _ = tokio::time::timeout(exit_step, announce(&self.board, &self.links)).await;
        self.board.set_phase(Phase::Stopped);
        self.tasks.shutdown().await;
    }
}
