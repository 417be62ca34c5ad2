//! Instances that follow the store and each other, in one process and paused time, and how they fail.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use rand_pcg::Pcg64;
use sorrelwick::board::Blackboard;
use sorrelwick::clock::boot_us;
use sorrelwick::conf::parse_settings;
use sorrelwick::gateway::FeedAnswer;
use sorrelwick::gateway::FeedSource;
use sorrelwick::gateway::Follower;
use sorrelwick::gateway::Mirror;
use sorrelwick::gateway::Sink;
use sorrelwick::gateway::run_store_check;
use sorrelwick::member::MemberRow;
use sorrelwick::member::MemberState;
use sorrelwick::peer::Feed;
use sorrelwick::store::Item;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::MemoryEventStore;
use super::StoreFault;

/// How many instances play, in how many zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    pub zones: usize,
    pub instances: usize,
    /// For so long a key may be served after it was taken away, where that is bounded.
    pub key_revocation_ms: Option<u64>,
}

impl FleetSize {
    /// Three zones, and a few instances in each.
    pub const SMALL: Self = Self { zones: 3, instances: 24, key_revocation_ms: None };
    /// Five hundred instances in five zones.
    pub const LARGE: Self = Self { zones: 5, instances: 500, key_revocation_ms: None };

    /// Instances that read the store when nobody is certain: four of each zone, the first ones.
    #[must_use]
    pub const fn readers(self) -> usize {
        4 * self.zones
    }
}

/// When the last item was written here.
#[derive(Clone, Debug, Default)]
pub struct LastWrite(pub Arc<Mutex<Option<(u64, Instant)>>>);

impl Sink for LastWrite {
    fn written(&mut self, item: &Item) {
        *self.0.lock() = Some((item.revision, Instant::now()));
    }

    fn removed(&mut self, _: &str, _: Duration) {}
}

/// How an instance fails from a moment on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceFault {
    None,
    /// It answers nobody.
    Silent,
    /// It reaches nobody, and nobody reaches it.
    Isolated,
    /// Its answers to others take so long.
    Slow(Duration),
    /// The store treats it so.
    Store(StoreFault),
}

/// The instances as they reach each other.
#[derive(Debug)]
pub struct RelayNet {
    pub mirrors: Vec<Arc<Mirror<LastWrite>>>,
    pub faults: Mutex<Vec<InstanceFault>>,
}

/// An instance's links to the others.
#[derive(Clone, Debug)]
pub struct RelayPeers {
    net: Arc<RelayNet>,
    /// The instance that asks.
    own: usize,
}

/// Where an instance listens for the others.
///
/// # Panics
/// With thousands of instances.
#[must_use]
pub fn peer_address(at: usize) -> SocketAddr {
    ([127, 0, 0, 1], 1_000 + u16::try_from(at).expect("a few")).into()
}

impl FeedSource for RelayPeers {
    async fn ask(
        &self,
        peer: SocketAddr,
        _: Feed,
        after: Option<u64>,
        hold: Duration,
        within: Duration,
    ) -> Option<FeedAnswer> {
        let at = usize::from(peer.port() - 1_000);
        let asked_us = boot_us();
        if self.net.faults.lock()[self.own] == InstanceFault::Isolated {
            tokio::time::sleep(within).await;
            return None;
        }
        let answer = async {
            let loss = self.net.faults.lock()[at];
            match loss {
                InstanceFault::Silent | InstanceFault::Isolated => {
                    std::future::pending::<()>().await;
                }
                InstanceFault::Slow(delay) => tokio::time::sleep(delay).await,
                InstanceFault::None | InstanceFault::Store(_) => {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            FeedAnswer::of(self.net.mirrors[at].serve(after, hold).await, asked_us)
        };
        let answer = tokio::time::timeout(within, answer).await.ok()?;
        // What began before the loss does not come either.
        let answers =
            !matches!(self.net.faults.lock()[at], InstanceFault::Silent | InstanceFault::Isolated);
        answers.then_some(answer)
    }
}

fn new_member_row(size: FleetSize, at: usize, capacity_per_s: u32) -> MemberRow {
    MemberRow {
        incarnation: at as u64 + 1,
        generation: 0,
        state: MemberState::Alive,
        name: format!("i{at:03}"),
        zone: format!("z{}", at % size.zones),
        caller_address: peer_address(at),
        operator_address: peer_address(at),
        peer_address: peer_address(at),
        capacity_per_s,
        uptime_ms: 1_000,
        successor: None,
    }
}

fn new_board(size: FleetSize, at: usize) -> Arc<Blackboard> {
    let own = new_member_row(size, at, 0);
    let zones: Vec<String> = (0..size.zones).map(|zone| format!("z{zone}")).collect();
    let text = serde_json::json!({
        "instance": { "name": own.name, "zone": own.zone },
        "gateway": {
            "readiness": "127.0.0.1:0", "addresses": "127.0.0.1:0", "store": "127.0.0.1:1",
            "config_apply_ms": 2_000, "memory_max_mb": 200.0, "zones": zones,
            "key_revocation_ms": size.key_revocation_ms,
        },
        "peers": { "secret": "a secret of sixteen" },
    });
    let settings = parse_settings("t", &text.to_string()).expect("valid");
    let board = Arc::new(Blackboard::new(settings, own.incarnation));
    for other in (0..size.instances).filter(|other| *other != at) {
        let row = new_member_row(size, other, board.own_capacity_per_s());
        board.members.lock().merge(&row, 1_000);
    }
    board.publish_members();
    board
}

/// Who fails how, drawn.
pub fn random_faults(size: FleetSize, random: &mut Pcg64) -> Vec<InstanceFault> {
    let share = random.random_range(0.0..0.6);
    let kinds = [
        InstanceFault::Silent,
        InstanceFault::Slow(Duration::from_millis(random.random_range(5..=900))),
        InstanceFault::Store(StoreFault::Busy),
        InstanceFault::Store(StoreFault::Silent),
    ];
    let kind = kinds[random.random_range(0..kinds.len())];
    let mixed = random.random_bool(0.5);
    // Faults look for those that act for others.
    let watchers_share = if random.random_bool(0.5) { 0.9 } else { share };
    let draw = |at| {
        if !random.random_bool(if at < size.zones { watchers_share } else { share }) {
            return InstanceFault::None;
        }
        if mixed { kinds[random.random_range(0..kinds.len())] } else { kind }
    };
    (0..size.instances).map(draw).collect()
}

/// Instances with their followers, running.
#[derive(Debug)]
pub struct RelayFleet {
    size: FleetSize,
    pub sinks: Vec<LastWrite>,
    pub net: Arc<RelayNet>,
    pub store_clients: Vec<MemoryEventStore>,
    pub boards: Vec<Arc<Blackboard>>,
    tasks: JoinSet<()>,
}

impl RelayFleet {
    /// Instances that follow the store as ours do.
    #[must_use]
    pub fn start(store: &MemoryEventStore, size: FleetSize) -> Self {
        Self::start_with(store, size, Self::follow)
    }

    /// Instances that follow the store in a way of their own.
    pub fn start_with(
        store: &MemoryEventStore,
        size: FleetSize,
        start_follower: impl Fn(&mut Self, usize),
    ) -> Self {
        let sinks: Vec<LastWrite> = (0..size.instances).map(|_| LastWrite::default()).collect();
        let mirrors = sinks.iter().map(|sink| Arc::new(Mirror::new(sink.clone()))).collect();
        let losses = Mutex::new(vec![InstanceFault::None; size.instances]);
        let net = Arc::new(RelayNet { mirrors, faults: losses });
        let views: Vec<MemoryEventStore> =
            (0..size.instances).map(|_| store.new_client()).collect();
        let (boards, tasks) = (Vec::new(), JoinSet::new());
        let mut fleet = Self { size, sinks, net, store_clients: views, boards, tasks };
        for at in 0..size.instances {
            start_follower(&mut fleet, at);
        }
        fleet
    }

    /// The links of an instance.
    #[must_use]
    pub fn peers(&self, own: usize) -> RelayPeers {
        RelayPeers { net: Arc::clone(&self.net), own }
    }

    /// Runs something until the fleet is dropped.
    pub fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }

    fn follow(&mut self, at: usize) {
        let board = new_board(self.size, at);
        self.boards.push(Arc::clone(&board));
        let (view, peers) = (self.store_clients[at].clone(), self.peers(at));
        let mirror = Arc::clone(&self.net.mirrors[at]);
        let new = || {
            let (view, peers, board) = (view.clone(), peers.clone(), Arc::clone(&board));
            Follower::new(view, peers, board, Arc::clone(&mirror), Feed::Config, "config")
        };
        self.spawn(new().run());
        self.spawn(new().cross_check());
        let (first, second) = (Arc::clone(&mirror), Arc::clone(&mirror));
        self.spawn(run_store_check(view, board, first, second));
    }

    /// How the others see an instance.
    #[must_use]
    pub fn member_row(&self, at: usize) -> MemberRow {
        new_member_row(self.size, at, self.boards[0].own_capacity_per_s())
    }
}
