//! How an instance calls another.

use std::net::SocketAddr;
use std::time::Duration;

use super::PeerError;
use super::PeerReply;
use super::PeerRequest;

/// Calls to other instances; links do so, and tests with hundreds of instances in one process.
pub trait PeerClient: Clone + Send + Sync + 'static {
    /// Sends a control message and waits for its answer.
    ///
    /// # Errors
    /// Tells whether the message may have arrived.
    fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<PeerReply, PeerError>> + Send;

    /// Closes links that are not used any more.
    fn close_idle(&self);

    /// Drops the link to a peer that is gone.
    fn drop_link(&self, address: SocketAddr);
}
