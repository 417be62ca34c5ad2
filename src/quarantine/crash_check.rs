//! Whether a backend server that gave no answer has ended.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// A server in the same region accepts within some milliseconds; one whose machine is gone never
/// does.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(250);

/// Whether nothing listens at an address any more.
///
/// A connection that closes without an answer has two causes: a server that ended, and one that
/// lives and lost the answer or reset the connection. Only the first refuses the next connection.
pub async fn takes_no_connection(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(ACCEPT_TIMEOUT, TcpStream::connect(address)).await;
    !matches!(connected, Ok(Ok(_)))
}
