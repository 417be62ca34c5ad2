//! In-memory network between hundreds of instances in one process.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use sorrelwick::board::Blackboard;
use sorrelwick::gateway::Mirror;
use sorrelwick::gateway::Sink;
use sorrelwick::member::handle_member_request;
use sorrelwick::peer::Feed;
use sorrelwick::peer::PeerClient;
use sorrelwick::peer::PeerError;
use sorrelwick::peer::PeerReply;
use sorrelwick::peer::PeerRequest;
use sorrelwick::peer::encode;

/// One-way network latency between two instances of a region.
const ONE_WAY_LATENCY: Duration = Duration::from_millis(1);
/// Size of a ping without gossip.
const PING_BYTES: usize = 120;

/// An instance on the network.
struct Endpoint<K> {
    board: Arc<Blackboard>,
    mirror: Option<Arc<Mirror<K>>>,
    /// Bandwidth of its link, in each direction.
    link_bytes_per_s: u64,
    /// Time at which its link has sent all queued bytes.
    busy_until_us: AtomicU64,
}

impl<K> Endpoint<K> {
    /// Transmits bytes over the link, after those already queued.
    async fn transmit(&self, bytes: usize) {
        let now_us = sorrelwick::clock::now_us();
        let transmit_us = bytes as u64 * 1_000_000 / self.link_bytes_per_s;
        let start_us = self.busy_until_us.load(Ordering::Relaxed).max(now_us);
        self.busy_until_us.store(start_us + transmit_us, Ordering::Relaxed);
        tokio::time::sleep(
            Duration::from_micros(start_us + transmit_us - now_us) + ONE_WAY_LATENCY,
        )
        .await;
    }
}

/// The network: instances by peer address, and counts of what they sent.
struct Net<K> {
    /// `None` for an instance whose machine was removed.
    endpoints: Mutex<HashMap<SocketAddr, Option<Arc<Endpoint<K>>>>>,
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// Peer client of one instance; clients of the same network reach each other.
pub struct MemoryLinks<K> {
    net: Arc<Net<K>>,
    own: SocketAddr,
    /// Number of calls by this instance.
    calls: Arc<AtomicU64>,
}

impl<K> Clone for MemoryLinks<K> {
    fn clone(&self) -> Self {
        Self { net: Arc::clone(&self.net), own: self.own, calls: Arc::clone(&self.calls) }
    }
}

impl<K> std::fmt::Debug for MemoryLinks<K> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MemoryLinks").field("own", &self.own).finish_non_exhaustive()
    }
}

impl<K: Sink> Default for MemoryLinks<K> {
    /// Creates an empty network; [`MemoryLinks::add`] adds instances to it.
    fn default() -> Self {
        let net = Net { endpoints: Mutex::default(), messages: 0.into(), bytes: 0.into() };
        Self { net: Arc::new(net), own: SocketAddr::from(([0, 0, 0, 0], 0)), calls: Arc::default() }
    }
}

impl<K: Sink> MemoryLinks<K> {
    /// Adds an instance, which responds from now on, and returns its peer client.
    #[must_use]
    pub fn add(
        &self,
        board: &Arc<Blackboard>,
        mirror: Option<Arc<Mirror<K>>>,
        link_bytes_per_s: u64,
    ) -> Self {
        let own = board.settings.listen.peer;
        let board = Arc::clone(board);
        let reached = Endpoint { board, mirror, link_bytes_per_s, busy_until_us: 0.into() };
        self.net.endpoints.lock().insert(own, Some(Arc::new(reached)));
        Self { net: Arc::clone(&self.net), own, calls: Arc::default() }
    }

    /// Removes an instance with its machine: calls to it hang. Calls to an address where there never
    /// was an instance are refused.
    pub fn remove(&self, address: SocketAddr) {
        self.net.endpoints.lock().insert(address, None);
    }

    /// Number of calls that this instance made so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Number of messages sent by all instances so far, including responses.
    #[must_use]
    pub fn messages(&self) -> u64 {
        self.net.messages.load(Ordering::Relaxed)
    }

    /// Bytes of these messages, without connection overhead.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.net.bytes.load(Ordering::Relaxed)
    }

    fn endpoint(&self, address: SocketAddr) -> Option<Arc<Endpoint<K>>> {
        self.net.endpoints.lock().get(&address).cloned().flatten()
    }

    fn was_added(&self, address: SocketAddr) -> bool {
        self.net.endpoints.lock().contains_key(&address)
    }

    /// Transmits a message over the sender's link; hangs if its machine was removed.
    async fn send(&self, from: SocketAddr, bytes: usize) {
        self.net.messages.fetch_add(1, Ordering::Relaxed);
        self.net.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        match self.endpoint(from) {
            Some(end) => end.transmit(bytes).await,
            None => std::future::pending().await,
        }
    }

    async fn answer(&self, to: &Endpoint<K>, request: PeerRequest) -> PeerReply {
        let board = &to.board;
        match request {
            PeerRequest::Member(request) => handle_member_request(board, request),
            PeerRequest::Suspects { records, complete } => {
                PeerReply::Suspects(board.quarantine.merge_and_diff(&records, complete))
            }
            PeerRequest::IndirectPing { target } => self.ping_for(board, target).await,
            PeerRequest::Feed { feed, after, hold_ms } => match &to.mirror {
                Some(mirror) => {
                    let hold = Duration::from_millis(hold_ms);
                    PeerReply::Feed(match feed {
                        Feed::SomeServers { zone } => mirror.serve_sample(zone, after, hold).await,
                        Feed::Config | Feed::Servers => mirror.serve(after, hold).await,
                    })
                }
                None => PeerReply::Failed(0),
            },
            _ => PeerReply::Failed(0),
        }
    }

    /// Handles an indirect ping. Only whether the target is on the network matters, so no ping is encoded.
    async fn ping_for(&self, board: &Blackboard, target: SocketAddr) -> PeerReply {
        let reached = async {
            self.send(board.settings.listen.peer, PING_BYTES).await;
            self.send(target, PING_BYTES).await;
        };
        let within = Duration::from_millis(board.settings.peers.ping_timeout_ms);
        PeerReply::Reached(tokio::time::timeout(within, reached).await.is_ok())
    }

    async fn exchange(&self, address: SocketAddr, request: PeerRequest) -> PeerReply {
        self.send(self.own, encode(&request).len()).await;
        let Some(to) = self.endpoint(address) else {
            return std::future::pending().await;
        };
        let reply = self.answer(&to, request).await;
        self.send(address, encode(&reply).len()).await;
        reply
    }
}

impl<K: Sink> PeerClient for MemoryLinks<K> {
    async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        within: Duration,
    ) -> Result<PeerReply, PeerError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if !self.was_added(address) {
            tokio::time::sleep(ONE_WAY_LATENCY * 2).await;
            return Err(PeerError::NotSent);
        }
        let exchanged = self.exchange(address, request.clone());
        tokio::time::timeout(within, exchanged).await.map_err(|_| PeerError::ResponseLost)
    }

    fn close_idle(&self) {}

    fn drop_link(&self, _: SocketAddr) {}
}
