//! Whether a backend server that gave no answer has ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::AdmittedSend;

/// A server in the same region accepts within some milliseconds; one whose machine is gone never
/// does.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(250);

/// A request goes on to the next server once it is known whether the last one ended, so that its own
/// crash counts when it is sent again; an address that does not even refuse is not waited for.
pub const CRASH_CHECK_WAIT: Duration = Duration::from_millis(25);

/// A send that brought no whole answer.
#[derive(Debug)]
pub struct FailedSend {
    /// The request's id, for the log.
    pub id: String,
    pub service: String,
    pub server: String,
    /// Hash by which instances name this start of the server to each other.
    pub server_hash: u32,
    pub address: SocketAddr,
}

impl FailedSend {
    /// Finds out, beside the request, whether the server has ended, and takes note of it.
    ///
    /// A connection that closes without an answer has two causes: a server that ended, and one that
    /// lives and lost the answer or reset the connection. Only the first refuses the next connection.
    #[must_use = "the look goes on when this is dropped; a request that is sent again waits for it"]
    pub fn check_server(self, trial: Arc<AdmittedSend>) -> JoinHandle<()> {
        tokio::spawn(async move {
            let ended = refuses_connections(self.address).await;
            let [exact, by_caller, content] = trial.fingerprints().to_hex();
            info!(
                event = "no-answer", request = self.id.as_str(), content = content.as_str(),
                exact = exact.as_str(), by_caller = by_caller.as_str(),
                service = self.service.as_str(), server = self.server.as_str(),
                server_ended = ended, known_level = trial.known_level();
                "the server was looked for after it gave no answer"
            );
            if ended {
                trial.record_crash(self.server_hash);
            }
        })
    }
}

/// Whether nothing listens at an address any more.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(ACCEPT_TIMEOUT, TcpStream::connect(address)).await;
    !matches!(connected, Ok(Ok(_)))
}
