//! Hundreds of instances in one process, that call each other in memory.

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

/// One way of a message between two instances of a region.
const ONE_WAY_LATENCY: Duration = Duration::from_millis(1);
/// A ping without rumours.
const PING_BYTES: usize = 120;

/// An instance as others reach it.
struct Endpoint<K> {
    board: Arc<Blackboard>,
    mirror: Option<Arc<Mirror<K>>>,
    /// Bytes a second that its link carries in each direction.
    link_bytes_per_s: u64,
    /// Until when its link is busy with what was sent before, in microseconds.
    busy_until_us: AtomicU64,
}

impl<K> Endpoint<K> {
    /// Sends bytes over the link, after those that wait already.
    async fn transmit(&self, bytes: usize) {
        let now_us = sorrelwick::clock::now_us();
        let takes_us = bytes as u64 * 1_000_000 / self.link_bytes_per_s;
        let begins_us = self.busy_until_us.load(Ordering::Relaxed).max(now_us);
        self.busy_until_us.store(begins_us + takes_us, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_micros(begins_us + takes_us - now_us) + ONE_WAY_LATENCY)
            .await;
    }
}

/// The instances that are there, by their peer addresses, and what they sent.
struct Net<K> {
    /// `None` for one that was there, and is gone with its machine.
    endpoints: Mutex<HashMap<SocketAddr, Option<Arc<Endpoint<K>>>>>,
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// The links of one instance; those of one net reach each other.
pub struct MemoryLinks<K> {
    net: Arc<Net<K>>,
    own: SocketAddr,
    /// Calls of this instance.
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
    /// Links of nobody, on a net of its own; see [`MemoryLinks::add`].
    fn default() -> Self {
        let net = Net { endpoints: Mutex::default(), messages: 0.into(), bytes: 0.into() };
        Self { net: Arc::new(net), own: SocketAddr::from(([0, 0, 0, 0], 0)), calls: Arc::default() }
    }
}

impl<K: Sink> MemoryLinks<K> {
    /// The links of one more instance of the net, which answers from now on.
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

    /// Takes an instance away with its machine: calls to it hang. Where none ever was, they are
    /// refused.
    pub fn remove(&self, address: SocketAddr) {
        self.net.endpoints.lock().insert(address, None);
    }

    /// Calls that this instance made so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Messages that were sent so far, answers included.
    #[must_use]
    pub fn messages(&self) -> u64 {
        self.net.messages.load(Ordering::Relaxed)
    }

    /// Bytes of these messages, without what connections add.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.net.bytes.load(Ordering::Relaxed)
    }

    fn reached(&self, address: SocketAddr) -> Option<Arc<Endpoint<K>>> {
        self.net.endpoints.lock().get(&address).cloned().flatten()
    }

    fn was_added(&self, address: SocketAddr) -> bool {
        self.net.endpoints.lock().contains_key(&address)
    }

    /// Sends a message from one end; hangs where the end is not there any more.
    async fn send(&self, from: SocketAddr, bytes: usize) {
        self.net.messages.fetch_add(1, Ordering::Relaxed);
        self.net.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        match self.reached(from) {
            Some(end) => end.transmit(bytes).await,
            None => std::future::pending().await,
        }
    }

    async fn answer(&self, to: &Endpoint<K>, request: PeerRequest) -> PeerReply {
        let board = &to.board;
        match request {
            PeerRequest::Member(request) => handle_member_request(board, request),
            PeerRequest::Suspects { records: rows, complete: all } => {
                PeerReply::Suspects(board.quarantine.merge_and_diff(&rows, all))
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

    /// Reaches another instance in the place of one that could not. Only whether it is there counts.
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
        let Some(to) = self.reached(address) else {
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
