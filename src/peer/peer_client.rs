//! Calls to other instances.

use std::net::SocketAddr;
use std::time::Duration;

use super::PeerError;
use super::PeerReply;
use super::PeerRequest;

/// Calls to other instances; implemented by the network links, and by tests that run hundreds of
/// instances in one process.
pub trait PeerClient: Clone + Send + Sync + 'static {
    /// Sends a control message and waits for the response.
    ///
    /// # Errors
    /// The error tells whether the message may have arrived.
    fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<PeerReply, PeerError>> + Send;

    /// Closes links that have been idle for too long.
    fn close_idle(&self);

    /// Drops the link to a peer that is dead.
    fn drop_link(&self, address: SocketAddr);
}
