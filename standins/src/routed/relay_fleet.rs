//! A fleet of config followers with injectable faults, in one process and on paused time.

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
use sorrelwick::peer::PeerError;
use sorrelwick::store::Item;
use sorrelwick::store::Revision;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::MemoryEventStore;
use super::StoreFault;

/// Number of zones and instances of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    pub zones: usize,
    pub instances: usize,
    /// Longest time that a revoked API key may still be accepted; `None` for no limit.
    pub key_revocation_ms: Option<u64>,
}

impl FleetSize {
    /// 24 instances in three zones.
    pub const SMALL: Self = Self { zones: 3, instances: 24, key_revocation_ms: None };
    /// 500 instances in five zones.
    pub const LARGE: Self = Self { zones: 5, instances: 500, key_revocation_ms: None };

    /// Number of instances that read the store while membership is uncertain: the first four of each zone.
    #[must_use]
    pub const fn readers(self) -> usize {
        4 * self.zones
    }
}

/// Sink that keeps the revision and time of the last write that an instance received.
#[derive(Clone, Debug, Default)]
pub struct LastWrite(pub Arc<Mutex<Option<(Revision, Instant)>>>);

impl Sink for LastWrite {
    fn written(&mut self, item: &Item) {
        *self.0.lock() = Some((item.revision, Instant::now()));
    }

    fn removed(&mut self, _: &str, _: Duration) {}
}

/// Fault of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceFault {
    None,
    /// Responds to no peer.
    Silent,
    /// Network partition: it reaches no peer, and no peer reaches it.
    Isolated,
    /// Its process has ended: connections to it break or are refused.
    Ended,
    /// Delays its responses to peers.
    Slow(Duration),
    /// Its calls to the store fail in this way.
    Store(StoreFault),
}

/// Network between the instances, with the fault of each.
#[derive(Debug)]
pub struct RelayNet {
    pub mirrors: Vec<Arc<Mirror<LastWrite>>>,
    pub faults: Mutex<Vec<InstanceFault>>,
}

/// Peer connections of one instance.
#[derive(Clone, Debug)]
pub struct RelayPeers {
    net: Arc<RelayNet>,
    /// Index of the instance that sends the requests.
    own: usize,
}

/// Peer address of the instance at index `at`.
///
/// # Panics
/// If the port would not fit into 16 bits.
#[must_use]
pub fn peer_address(at: usize) -> SocketAddr {
    ([127, 0, 0, 1], 1_000 + u16::try_from(at).expect("the port fits into 16 bits")).into()
}

impl FeedSource for RelayPeers {
    async fn ask(
        &self,
        peer: SocketAddr,
        _: Feed,
        after: Option<Revision>,
        hold: Duration,
        within: Duration,
    ) -> Result<FeedAnswer, PeerError> {
        let at = usize::from(peer.port() - 1_000);
        let requested_us = boot_us();
        if self.net.faults.lock()[self.own] == InstanceFault::Isolated {
            tokio::time::sleep(within).await;
            return Err(PeerError::ResponseLost);
        }
        let response = async {
            let fault = self.net.faults.lock()[at];
            match fault {
                InstanceFault::Silent | InstanceFault::Isolated => {
                    std::future::pending::<()>().await;
                }
                InstanceFault::Ended => return Err(PeerError::NotSent),
                InstanceFault::Slow(delay) => tokio::time::sleep(delay).await,
                InstanceFault::None | InstanceFault::Store(_) => {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            Ok(FeedAnswer::of(self.net.mirrors[at].serve(after, hold).await, requested_us))
        };
        let response = tokio::time::timeout(within, response).await;
        let response = response.map_err(|_| PeerError::ResponseLost)??;
        // A response that was under way when the fault began is lost too.
        let reachable =
            !matches!(self.net.faults.lock()[at], InstanceFault::Silent | InstanceFault::Isolated);
        reachable.then_some(response).ok_or(PeerError::ResponseLost)
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
        reaches_servers: true,
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

/// Draws a random fault for each instance.
pub fn random_faults(size: FleetSize, random: &mut Pcg64) -> Vec<InstanceFault> {
    let fault_probability = random.random_range(0.0..0.6);
    let kinds = [
        InstanceFault::Silent,
        InstanceFault::Slow(Duration::from_millis(random.random_range(5..=900))),
        InstanceFault::Store(StoreFault::Busy),
        InstanceFault::Store(StoreFault::Silent),
    ];
    let kind = kinds[random.random_range(0..kinds.len())];
    let mixed = random.random_bool(0.5);
    // In half of the runs, the first instance of each zone, which watches the store for the others,
    // fails with a probability of 0.9.
    let watcher_fault_probability = if random.random_bool(0.5) { 0.9 } else { fault_probability };
    let draw = |at| {
        if !random.random_bool(if at < size.zones {
            watcher_fault_probability
        } else {
            fault_probability
        }) {
            return InstanceFault::None;
        }
        if mixed { kinds[random.random_range(0..kinds.len())] } else { kind }
    };
    (0..size.instances).map(draw).collect()
}

/// Running instances with their followers.
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
    /// Starts instances that follow the store with the production [`Follower`].
    #[must_use]
    pub fn start(store: &MemoryEventStore, size: FleetSize) -> Self {
        Self::start_with(store, size, Self::start_follower)
    }

    /// Starts instances with a custom follower; `start_follower` starts it for one index.
    pub fn start_with(
        store: &MemoryEventStore,
        size: FleetSize,
        start_follower: impl Fn(&mut Self, usize),
    ) -> Self {
        let sinks: Vec<LastWrite> = (0..size.instances).map(|_| LastWrite::default()).collect();
        let mirrors = sinks.iter().map(|sink| Arc::new(Mirror::new(sink.clone()))).collect();
        let faults = Mutex::new(vec![InstanceFault::None; size.instances]);
        let net = Arc::new(RelayNet { mirrors, faults });
        let store_clients: Vec<MemoryEventStore> =
            (0..size.instances).map(|_| store.new_client()).collect();
        let (boards, tasks) = (Vec::new(), JoinSet::new());
        let mut fleet = Self { size, sinks, net, store_clients, boards, tasks };
        for at in 0..size.instances {
            start_follower(&mut fleet, at);
        }
        fleet
    }

    /// Peer connections of the instance at index `own`.
    #[must_use]
    pub fn peers(&self, own: usize) -> RelayPeers {
        RelayPeers { net: Arc::clone(&self.net), own }
    }

    /// Spawns a task that is aborted when the fleet is dropped.
    pub fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }

    fn start_follower(&mut self, at: usize) {
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

    /// The member row of an instance, as its peers see it.
    #[must_use]
    pub fn member_row(&self, at: usize) -> MemberRow {
        new_member_row(self.size, at, self.boards[0].own_capacity_per_s())
    }
}
