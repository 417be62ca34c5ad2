//! Servers that crash and come back on their address.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;

/// Pause before the next try; the address may still be taken for a moment.
const PAUSE: Duration = Duration::from_millis(5);

/// Listens on an address again after `down`.
pub async fn rebind(address: SocketAddr, down: Duration) -> TcpListener {
    tokio::time::sleep(down).await;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}
