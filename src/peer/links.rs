//! All links of one instance.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;

use super::ForwardHead;
use super::ForwardReply;
use super::PeerClient;
use super::PeerError;
use super::PeerReply;
use super::PeerRequest;
use super::encode;
use super::link::Link;

/// A peer that cannot be connected within this counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Members are pinged in turn, those of 500 instances every 2.3 s: links that are used go on.
const IDLE_MAX: Duration = Duration::from_secs(5);
const DEFAULT_SECRET: &str = "alone";

/// Opens links on demand and shares them; clones share.
#[derive(Clone, Debug)]
pub struct Links {
    secret: Arc<str>,
    by_address: Arc<Mutex<HashMap<SocketAddr, Arc<Link>>>>,
    /// Bytes of control messages sent, for the budget of control traffic.
    control_bytes: Arc<AtomicU64>,
}

impl Links {
    /// Links that prove themselves by `secret`.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        let secret = if secret.is_empty() { DEFAULT_SECRET } else { secret };
        Self { secret: secret.into(), by_address: Arc::default(), control_bytes: Arc::default() }
    }

    /// The secret that peers must know.
    #[must_use]
    pub fn secret(&self) -> &str {
        &self.secret
    }

    /// Bytes of control messages sent so far.
    #[must_use]
    pub fn control_bytes(&self) -> u64 {
        self.control_bytes.load(Ordering::Relaxed)
    }

    fn link(&self, address: SocketAddr) -> Arc<Link> {
        let mut links = self.by_address.lock();
        Arc::clone(links.entry(address).or_insert_with(|| Arc::new(Link::new(address))))
    }

    /// Passes a request on; the deadline is the caller's to watch.
    ///
    /// # Errors
    /// Tells whether the request may have arrived.
    pub async fn forward(
        &self,
        address: SocketAddr,
        head: &ForwardHead,
        body: &Bytes,
    ) -> Result<ForwardReply, PeerError> {
        self.link(address).forward(&self.secret, head, body, CONNECT_TIMEOUT).await
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

    /// Each link holds some 30 KB on both ends.
    fn close_idle(&self) {
        self.by_address.lock().retain(|_, link| link.idle_time() < IDLE_MAX);
    }

    fn drop_link(&self, address: SocketAddr) {
        self.by_address.lock().remove(&address);
    }
}
