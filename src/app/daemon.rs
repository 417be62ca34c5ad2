//! The daemon: an instance that serves the services declared by operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::daemon_peer_service::DaemonPeerService;
use super::graceful_stop::stop_gracefully;
use crate::board::Blackboard;
use crate::board::EventKind;
use crate::catalog::run_repair;
use crate::catalog::run_watcher;
use crate::conf::Settings;
use crate::errors::Code;
use crate::errors::CodedError;
use crate::measure::DaemonServerChecker;
use crate::measure::Shard;
use crate::measure::TokenBuckets;
use crate::measure::run_prober;
use crate::measure::run_roster;
use crate::measure::run_shard;
use crate::member::run_failure_detector;
use crate::member::run_joiner;
use crate::operator::OperatorListener;
use crate::peer::Links;
use crate::peer::PeerListener;
use crate::quarantine::run_suspect_gossip;
use crate::reach::ReachAnswerer;
use crate::reach::ReachMonitor;
use crate::route::CallerListener;
use crate::route::Router;
use crate::route::run_placement;
use crate::route::run_queues;
use crate::status::StatusListener;
use crate::store::AnyStore;

/// Time between two runs of the periodic cleanup.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// A running instance. Dropping it stops it at once, as if the process were killed.
#[derive(Debug)]
pub struct Daemon {
    pub router: Router,
    listener: CallerListener,
    tasks: JoinSet<()>,
    _peers: PeerListener,
    _operators: OperatorListener,
    _status: StatusListener,
}

/// Binds the listener of the setting `listen.{what}`.
pub(super) async fn bind_listener(
    address: SocketAddr,
    what: &str,
) -> Result<TcpListener, CodedError> {
    TcpListener::bind(address).await.map_err(|err| {
        CodedError::new(Code::ListenFailed, format!("listen.{what} {address}: {err}"))
    })
}

/// Writes the bound address back to its setting, which may have had port 0.
pub(super) fn record_bound_address(listener: &TcpListener, set: &mut SocketAddr) {
    if let Ok(address) = listener.local_addr() {
        *set = address;
    }
}

/// Periodically expires outcomes and maintains the connections to backend servers.
async fn run_cleanup(board: Arc<Blackboard>) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        board.outcomes.expire(board.incarnation);
        board.claim_witnesses.expire();
        for state in board.services().values() {
            let servers = state.runtime.slot_queue.declared_servers().into_iter();
            for server in servers.filter(|server| server.upstream.needs_maintenance()) {
                tokio::spawn(async move { server.upstream.maintain().await });
            }
        }
    }
}

impl Daemon {
    /// Binds all listeners and starts the background tasks. A port 0 in the settings is replaced
    /// by the port that the system assigned.
    ///
    /// # Errors
    /// `ListenFailed`, with the listener that cannot be bound.
    pub async fn spawn(mut settings: Settings) -> Result<Self, CodedError> {
        let callers = bind_listener(settings.listen.caller, "caller").await?;
        let operators = bind_listener(settings.listen.operator, "operator").await?;
        let peers = bind_listener(settings.listen.peer, "peer").await?;
        let status = bind_listener(settings.listen.status, "status").await?;
        record_bound_address(&callers, &mut settings.listen.caller);
        record_bound_address(&operators, &mut settings.listen.operator);
        record_bound_address(&peers, &mut settings.listen.peer);
        record_bound_address(&status, &mut settings.listen.status);
        let store = AnyStore::open(settings.platform.as_ref());
        let links = Links::new(&settings.peers.secret);
        let incarnation = rand::rng().random::<u64>();
        let board = Arc::new(Blackboard::new(settings, incarnation));
        let router =
            Router { board: Arc::clone(&board), links: links.clone(), store: store.clone() };
        let shard = Shard::default();
        let buckets = TokenBuckets::default();
        let checker = DaemonServerChecker { router: router.clone() };
        let reach = Arc::clone(&board.reach);
        let reach_monitor =
            ReachMonitor::new(Arc::clone(&board), reach, checker.clone(), links.clone());
        let peer_service = DaemonPeerService {
            router: router.clone(),
            shard: shard.clone(),
            buckets: buckets.clone(),
            reach_answerer: ReachAnswerer::new(Arc::clone(&board.reach), checker.clone()),
        };
        let secret: Arc<str> = links.secret().into();
        let mut tasks = JoinSet::new();
        tasks.spawn(run_placement(Arc::clone(&board)));
        tasks.spawn(run_failure_detector(Arc::clone(&board), links.clone()));
        tasks.spawn(run_suspect_gossip(Arc::clone(&board), links.clone()));
        tasks.spawn(run_joiner(Arc::clone(&board), store.clone(), links.clone()));
        tasks.spawn(run_watcher(Arc::clone(&board), store.clone(), links.clone()));
        tasks.spawn(run_repair(Arc::clone(&board), links.clone()));
        tasks.spawn(run_shard(
            Arc::clone(&board),
            store.clone(),
            links.clone(),
            shard.clone(),
            buckets.clone(),
        ));
        tasks.spawn(run_prober(router.clone(), buckets, shard));
        tasks.spawn(run_roster(Arc::clone(&board), store, links.clone()));
        tasks.spawn(run_queues(router.clone()));
        tasks.spawn(run_cleanup(Arc::clone(&board)));
        tasks.spawn(reach_monitor.run());
        board.record_event(EventKind::Started);
        Ok(Self {
            _peers: PeerListener::spawn(peers, secret, peer_service),
            _operators: OperatorListener::spawn(operators, router.clone()),
            _status: StatusListener::spawn(status, Arc::clone(&board)),
            listener: CallerListener::spawn(callers, router.clone()),
            router,
            tasks,
        })
    }

    /// The shared state of the instance.
    #[must_use]
    pub fn board(&self) -> &Arc<Blackboard> {
        &self.router.board
    }

    /// Shuts down gracefully; returns once no request is in flight.
    pub async fn stop(mut self) {
        stop_gracefully(&self.router.board, &self.router.links, self.listener).await;
        self.tasks.shutdown().await;
    }
}
