//! Checks whether a backend server that did not respond has crashed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::AdmittedSend;

/// Timeout of the connection that the check opens. A running server in the same region accepts a
/// connection within a few milliseconds; one whose machine is gone never does.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a retry waits for the check of the previous server, so that a crash by the request
/// itself is counted before it is sent again. If the address neither accepts nor refuses
/// connections, the retry does not wait for the end of the check.
pub const CRASH_CHECK_WAIT: Duration = Duration::from_millis(25);

/// A send that got no complete response.
#[derive(Debug)]
pub struct FailedSend {
    /// Request id, for log lines.
    pub id: String,
    pub service: String,
    /// Id of the server.
    pub server: String,
    /// Hash that identifies the server between instances: of its id, and in the gateway also of its
    /// start.
    pub server_hash: u32,
    pub address: SocketAddr,
}

impl FailedSend {
    /// Checks in the background whether the server has crashed, and records it if so.
    ///
    /// A connection closes without a response if the server crashed, or if a running server lost
    /// the response or reset the connection. Only a crashed server refuses the next connection.
    #[must_use = "the check continues when this is dropped; a retry waits for it"]
    pub fn check_for_crash(self, admitted_send: Arc<AdmittedSend>) -> JoinHandle<()> {
        tokio::spawn(async move {
            let crashed = accepts_no_connection(self.address).await;
            let [exact, by_caller, content] = admitted_send.fingerprints().to_hex();
            info!(
                event = "no-answer", request = self.id.as_str(), content = content.as_str(),
                exact = exact.as_str(), by_caller = by_caller.as_str(),
                service = self.service.as_str(), server = self.server.as_str(),
                server_ended = crashed, known_level = admitted_send.known_level();
                "checked whether the server has crashed, after it gave no complete response"
            );
            if crashed {
                admitted_send.record_crash(self.server_hash);
            }
        })
    }
}

/// Whether an address refuses connections, or accepts none within [`ACCEPT_TIMEOUT`].
async fn accepts_no_connection(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(ACCEPT_TIMEOUT, TcpStream::connect(address)).await;
    !matches!(connected, Ok(Ok(_)))
}
