//! The connections of one instance to all peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::ForwardReply;
use super::Message;
use super::PeerClient;
use super::PeerError;
use super::PeerReply;
use super::PeerRequest;
use super::encode;
use super::link::Link;

/// A peer is unreachable if a connection to it cannot be opened within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Links unused for this long are closed. The members that an instance pings are each used more
/// often, every 2.3 s in a fleet of 500, so their links stay open.
const IDLE_MAX: Duration = Duration::from_secs(5);
/// Secret used when the settings have none, e.g. for an instance that runs alone.
const DEFAULT_SECRET: &str = "alone";

/// Opens links on demand; clones share them.
#[derive(Clone, Debug)]
pub struct Links {
    secret: Arc<str>,
    by_address: Arc<Mutex<HashMap<SocketAddr, Arc<Link>>>>,
    /// Bytes of control messages sent, to check the budget for control traffic.
    control_bytes: Arc<AtomicU64>,
}

impl Links {
    /// Links that authenticate with `secret`.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        let secret = if secret.is_empty() { DEFAULT_SECRET } else { secret };
        Self { secret: secret.into(), by_address: Arc::default(), control_bytes: Arc::default() }
    }

    /// The shared secret that authenticates peers.
    #[must_use]
    pub fn secret(&self) -> &str {
        &self.secret
    }

    /// Bytes of control messages sent so far.
    #[must_use]
    pub fn control_bytes(&self) -> u64 {
        self.control_bytes.load(Ordering::Relaxed)
    }

    /// The link to an address, added if absent.
    fn link(&self, address: SocketAddr) -> Arc<Link> {
        let mut links = self.by_address.lock();
        Arc::clone(links.entry(address).or_insert_with(|| Arc::new(Link::new(address))))
    }

    /// Forwards a request to another instance. The body of the response ends by `deadline`; until the
    /// response begins, the caller of this function enforces the deadline.
    ///
    /// # Errors
    /// The error tells whether the request may have arrived.
    pub async fn forward(
        &self,
        address: SocketAddr,
        head: &impl Message,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<ForwardReply, PeerError> {
        self.link(address).forward(&self.secret, head, body, deadline, CONNECT_TIMEOUT).await
    }
}

impl PeerClient for Links {
    async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let encoded = Bytes::from(encode(request));
        self.control_bytes.fetch_add(encoded.len() as u64, Ordering::Relaxed);
        self.link(address).call(&self.secret, encoded, timeout).await
    }

    /// A link holds some 30 KB at each end.
    fn close_idle(&self) {
        self.by_address.lock().retain(|_, link| link.idle_time() < IDLE_MAX);
    }

    fn drop_link(&self, address: SocketAddr) {
        self.by_address.lock().remove(&address);
    }
}
