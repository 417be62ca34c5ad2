//! Starts the tasks of a gateway: mirrors of the store, checks of paths, sharing with other
//! instances.

use std::sync::Arc;

use tokio::task::JoinSet;

use crate::board::Blackboard;
use crate::gateway::CurrentRouteTable;
use crate::gateway::Dialect;
use crate::gateway::Dispatcher;
use crate::gateway::Follower;
use crate::gateway::GatewayServerChecker;
use crate::gateway::HomePlanner;
use crate::gateway::LoadReporter;
use crate::gateway::Mirror;
use crate::gateway::MirrorAge;
use crate::gateway::OperatorSink;
use crate::gateway::QuarantineStore;
use crate::gateway::RetryBorrower;
use crate::gateway::ServerSink;
use crate::peer::Feed;
use crate::peer::Links;
use crate::quota::Quotas;
use crate::reach::ReachAnswerer;
use crate::reach::ReachMonitor;
use crate::store::EventStore;

/// Local mirrors of the store's contents, for this instance and for peers that request them.
pub(super) struct StoreMirrors<D> {
    pub(super) config_age: Arc<MirrorAge>,
    pub(super) config: Arc<Mirror<OperatorSink<D>>>,
    pub(super) servers: Arc<Mirror<ServerSink<D>>>,
}

/// Creates the mirrors and starts the tasks that keep them up to date.
pub(super) fn spawn_followers<D: Dialect, S: EventStore>(
    tasks: &mut JoinSet<()>,
    dialect: &D,
    store: &S,
    links: &Links,
    board: &Arc<Blackboard>,
    table: &CurrentRouteTable,
    dispatcher: &Dispatcher,
) -> StoreMirrors<D> {
    let keys = dialect.store_keys();
    let config_age = Arc::new(MirrorAge::default());
    let operators = OperatorSink {
        dialect: dialect.clone(),
        table: Arc::clone(table),
        board: Arc::clone(board),
        dispatcher: dispatcher.clone(),
        age: Arc::clone(&config_age),
    };
    let config = Arc::new(Mirror::with_age(operators, Arc::clone(&config_age)));
    let servers = ServerSink::new(dialect.clone(), dispatcher.clone());
    let servers = Arc::new(Mirror::new(servers));
    let follow_config = || {
        let (store, links, board) = (store.clone(), links.clone(), Arc::clone(board));
        Follower::new(store, links, board, Arc::clone(&config), Feed::Config, keys.operators_prefix)
    };
    let follow_servers = || {
        let (store, links, board) = (store.clone(), links.clone(), Arc::clone(board));
        let prefix = keys.servers_prefix;
        Follower::new(store, links, board, Arc::clone(&servers), Feed::Servers, prefix)
    };
    tasks.spawn(follow_config().run());
    tasks.spawn(follow_config().cross_check());
    tasks.spawn(follow_servers().run());
    tasks.spawn(follow_servers().cross_check());
    StoreMirrors { config_age, config, servers }
}

/// Starts the task that finds out whether this instance has lost the backend servers. Returns what
/// answers others that have.
pub(super) fn spawn_reach_monitor<D: Dialect>(
    tasks: &mut JoinSet<()>,
    dialect: &D,
    board: &Arc<Blackboard>,
    links: &Links,
    table: &CurrentRouteTable,
    dispatcher: &Dispatcher,
) -> ReachAnswerer<GatewayServerChecker<D>> {
    let checker = GatewayServerChecker::new(
        dialect.clone(),
        Arc::clone(board),
        dispatcher.clone(),
        Arc::clone(table),
    );
    let reach = dispatcher.reach();
    let monitor =
        ReachMonitor::new(Arc::clone(board), Arc::clone(reach), checker.clone(), links.clone());
    tasks.spawn(monitor.run());
    ReachAnswerer::new(Arc::clone(reach), checker)
}

/// Starts the tasks by which instances share backend servers and limits: the plan of homes, the
/// reports of their load, and loans of retries.
pub(super) fn spawn_sharing_tasks(
    tasks: &mut JoinSet<()>,
    board: &Arc<Blackboard>,
    links: &Links,
    dispatcher: &Dispatcher,
    table: &CurrentRouteTable,
    quotas: &Arc<Quotas>,
) {
    let load_reporter = LoadReporter {
        board: Arc::clone(board),
        links: links.clone(),
        dispatcher: dispatcher.clone(),
    };
    let planner = HomePlanner {
        board: Arc::clone(board),
        dispatcher: dispatcher.clone(),
        table: Arc::clone(table),
        quotas: Arc::clone(quotas),
    };
    let retry_borrower = RetryBorrower {
        board: Arc::clone(board),
        links: links.clone(),
        dispatcher: dispatcher.clone(),
    };
    tasks.spawn(planner.run());
    tasks.spawn(load_reporter.run());
    if board.settings.gateway.as_ref().is_some_and(|gateway| gateway.retry_loans) {
        tasks.spawn(retry_borrower.run());
    }
}

/// Starts the tasks that keep quarantined requests in the store.
pub(super) fn spawn_quarantine_store<D: Dialect, S: EventStore>(
    tasks: &mut JoinSet<()>,
    dialect: &D,
    store: &S,
    board: &Arc<Blackboard>,
    first_start: bool,
) {
    let quarantine_store = QuarantineStore {
        dialect: dialect.clone(),
        store: store.clone(),
        board: Arc::clone(board),
    };
    if !first_start {
        // At the first start of the fleet the store holds no quarantine records yet.
        tasks.spawn(quarantine_store.clone().load_when_first_home());
    }
    tasks.spawn(quarantine_store.clone().rewrite_after_restores());
    tasks.spawn(quarantine_store.run_writer());
}
