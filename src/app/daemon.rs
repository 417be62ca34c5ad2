//! One instance, running.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::peer_answers::PeerAnswers;
use super::stop::stop;
use crate::board::Blackboard;
use crate::board::EventKind;
use crate::catalog::run_repair;
use crate::catalog::run_watcher;
use crate::conf::Settings;
use crate::errors::Code;
use crate::errors::Coded;
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
use crate::route::CallerListener;
use crate::route::Router;
use crate::route::run_placement;
use crate::route::run_queues;
use crate::status::StatusPage;
use crate::store::AnyStore;

const TIDY: Duration = Duration::from_secs(1);

/// A running instance; dropped, it ends at once, as a kill would end it.
#[derive(Debug)]
pub struct Daemon {
    pub router: Router,
    listener: CallerListener,
    tasks: JoinSet<()>,
    _peers: PeerListener,
    _operators: OperatorListener,
    _status: StatusPage,
}

pub(super) async fn listen(address: SocketAddr, what: &str) -> Result<TcpListener, Coded> {
    TcpListener::bind(address)
        .await
        .map_err(|err| Coded::new(Code::ListenFailed, format!("listen.{what} {address}: {err}")))
}

pub(super) fn local(listener: &TcpListener, set: &mut SocketAddr) {
    if let Ok(address) = listener.local_addr() {
        *set = address;
    }
}

async fn tidy(board: Arc<Blackboard>) {
    loop {
        tokio::time::sleep(TIDY).await;
        board.outcomes.expire(board.incarnation);
        for state in board.services().values() {
            let servers = state.runtime.slot_queue.declared_servers().into_iter();
            for server in servers.filter(|server| server.upstream.needs_maintenance()) {
                tokio::spawn(async move { server.upstream.maintain().await });
            }
        }
    }
}

impl Daemon {
    /// Binds all listeners and starts the controllers. A port 0 in the settings is replaced by
    /// the one that the system gave.
    ///
    /// # Errors
    /// `ListenFailed` names the listener that cannot be bound.
    pub async fn spawn(mut settings: Settings) -> Result<Self, Coded> {
        let callers = listen(settings.listen.caller, "caller").await?;
        let operators = listen(settings.listen.operator, "operator").await?;
        let peers = listen(settings.listen.peer, "peer").await?;
        let status = listen(settings.listen.status, "status").await?;
        local(&callers, &mut settings.listen.caller);
        local(&operators, &mut settings.listen.operator);
        local(&peers, &mut settings.listen.peer);
        local(&status, &mut settings.listen.status);
        let store = AnyStore::open(settings.platform.as_ref());
        let links = Links::new(&settings.peers.secret);
        let incarnation = rand::rng().random::<u64>();
        let board = Arc::new(Blackboard::new(settings, incarnation));
        let router =
            Router { board: Arc::clone(&board), links: links.clone(), store: store.clone() };
        let shard = Shard::default();
        let buckets = TokenBuckets::default();
        let answers =
            PeerAnswers { router: router.clone(), shard: shard.clone(), buckets: buckets.clone() };
        let secret: Arc<str> = links.secret().into();
        let mut tasks = JoinSet::new();
        tasks.spawn(run_placement(Arc::clone(&board)));
        tasks.spawn(run_failure_detector(Arc::clone(&board), links.clone()));
        tasks.spawn(run_suspect_gossip(Arc::clone(&board), links.clone()));
        tasks.spawn(run_joiner(Arc::clone(&board), store.clone(), links.clone()));
        tasks.spawn(run_watcher(Arc::clone(&board), store.clone(), links.clone()));
        tasks.spawn(run_repair(Arc::clone(&board), links.clone()));
        tasks.spawn(run_shard(Arc::clone(&board), store.clone(), shard.clone(), buckets.clone()));
        tasks.spawn(run_prober(router.clone(), buckets, shard));
        tasks.spawn(run_roster(Arc::clone(&board), store, links.clone()));
        tasks.spawn(run_queues(router.clone()));
        tasks.spawn(tidy(Arc::clone(&board)));
        board.record_event(EventKind::Started);
        Ok(Self {
            _peers: PeerListener::spawn(peers, secret, answers),
            _operators: OperatorListener::spawn(operators, router.clone()),
            _status: StatusPage::spawn(status, Arc::clone(&board)),
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

    /// Stops as planned; returns when nothing is in flight any more.
    pub async fn stop(mut self) {
        stop(&self.router.board, &self.router.links, self.listener).await;
        self.tasks.shutdown().await;
    }
}
