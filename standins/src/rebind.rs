//! Servers that crash and come back on their address.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Pause before the next try; the address may still be taken for a moment.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Listens on an address again after `down`.
pub async fn rebind(address: SocketAddr, down: Duration) -> TcpListener {
    tokio::time::sleep(down).await;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Serves each connection until the server crashes; all of its connections end with it.
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
    // One that is just at work on another thread would otherwise count itself out later.
    connections.shutdown().await;
}
