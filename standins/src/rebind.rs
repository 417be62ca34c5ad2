//! Restart of a simulated server on the same address after a crash.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Interval between attempts to bind; the address may still be in use for a moment.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Binds the address again after `downtime`, and retries until that succeeds.
pub async fn rebind(address: SocketAddr, downtime: Duration) -> TcpListener {
    tokio::time::sleep(downtime).await;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Accepts and serves connections until `crash` is notified, then closes all of them.
pub async fn accept_until<S, F>(listener: TcpListener, crash: &Notify, serve: S)
where
    S: Fn(TcpStream) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = crash.notified() => break,
        };
        if let Ok((stream, _)) = accepted {
            connections.spawn(serve(stream));
        }
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    // Waits for the tasks: one that still runs on another thread would otherwise decrement the
    // connection count after the caller has reset it.
    connections.shutdown().await;
}
