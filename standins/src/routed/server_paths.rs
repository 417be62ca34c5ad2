//! The network paths from one instance to the backend servers, which can be cut.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use sorrelwick::task::TaskGuard;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

use crate::rebind::rebind;

const PIECE_BYTES: usize = 16 << 10;
/// A connection that is not accepted within this time shows that the listener's queue is full.
const QUEUE_FULL_AFTER: Duration = Duration::from_millis(30);
/// Connections that are enough to fill the queue of a listener with the smallest backlog.
const QUEUE_FILLERS: usize = 4;

/// What happens on a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathFault {
    None,
    /// New connections hang, open ones carry nothing.
    Silent,
    /// New connections are refused, open ones are reset.
    Reset,
    /// New connections are refused, open ones live on.
    RefuseNew,
}

/// The path to one server: a proxy that the instance connects to instead.
#[derive(Debug)]
struct ServerPath {
    proxy: SocketAddr,
    fault: watch::Sender<PathFault>,
    _task: TaskGuard,
}

/// The paths of one instance, by the address of the server.
#[derive(Debug, Default)]
pub struct ServerPaths {
    paths: Mutex<HashMap<SocketAddr, ServerPath>>,
}

impl ServerPaths {
    /// Adds a path to a server that is not listed yet.
    ///
    /// # Panics
    /// If no port is free.
    pub async fn add(&self, server: SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let proxy = listener.local_addr().expect("an address");
        let (fault, current_fault) = watch::channel(PathFault::None);
        let task = TaskGuard::spawn(run_path(listener, proxy, server, current_fault));
        self.paths.lock().insert(server, ServerPath { proxy, fault, _task: task });
    }

    /// Where an instance connects to in order to reach `server`.
    #[must_use]
    pub fn route(&self, server: SocketAddr) -> SocketAddr {
        self.paths.lock().get(&server).map_or(server, |path| path.proxy)
    }

    /// Sets what happens on all paths.
    pub fn set_fault(&self, fault: PathFault) {
        for path in self.paths.lock().values() {
            path.fault.send_replace(fault);
        }
    }

    /// Sets what happens on the paths to these servers.
    pub fn set_fault_to(&self, servers: &[SocketAddr], fault: PathFault) {
        let paths = self.paths.lock();
        for path in servers.iter().filter_map(|server| paths.get(server)) {
            path.fault.send_replace(fault);
        }
    }
}

/// Serves the proxy of one path.
async fn run_path(
    first: TcpListener,
    proxy: SocketAddr,
    server: SocketAddr,
    mut fault: watch::Receiver<PathFault>,
) {
    let mut listener = Some(first);
    loop {
        let current = *fault.borrow_and_update();
        match current {
            PathFault::None => {
                let bound = match listener.take() {
                    Some(bound) => bound,
                    None => rebind(proxy, Duration::ZERO).await,
                };
                accept_until_changed(bound, server, &mut fault).await;
            }
            PathFault::Silent => {
                listener = None;
                let queue = full_queue(proxy).await;
                let _ = fault.changed().await;
                drop(queue);
            }
            PathFault::Reset | PathFault::RefuseNew => {
                listener = None;
                let _ = fault.changed().await;
            }
        }
    }
}

async fn accept_until_changed(
    listener: TcpListener,
    server: SocketAddr,
    fault: &mut watch::Receiver<PathFault>,
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((client, _)) = accepted {
                    tokio::spawn(relay(client, server, fault.clone()));
                }
            }
            _ = fault.changed() => {
                fault.mark_changed();
                return;
            }
        }
    }
}

/// A listener that accepts nothing and whose queue is full, so that further connections hang.
async fn full_queue(address: SocketAddr) -> (Option<TcpListener>, Vec<TcpStream>) {
    let mut listener = None;
    while listener.is_none() {
        listener = TcpSocket::new_v4().ok().and_then(|socket| {
            socket.set_reuseaddr(true).ok()?;
            socket.bind(address).ok()?;
            socket.listen(1).ok()
        });
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let mut queued = Vec::new();
    for _ in 0..QUEUE_FILLERS {
        match tokio::time::timeout(QUEUE_FULL_AFTER, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => queued.push(stream),
            _ => break,
        }
    }
    (listener, queued)
}

/// Relays one connection in both directions.
async fn relay(client: TcpStream, server: SocketAddr, fault: watch::Receiver<PathFault>) {
    let Ok(upstream) = TcpStream::connect(server).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let _ = client.set_zero_linger();
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = upstream.into_split();
    let mut reset = fault.clone();
    tokio::select! {
        () = copy(client_read, server_write, fault.clone()) => {}
        () = copy(server_read, client_write, fault) => {}
        _ = reset.wait_for(|fault| *fault == PathFault::Reset) => {}
    }
}

/// Copies until the end, and holds bytes back while the path is silent.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault: watch::Receiver<PathFault>,
) {
    let mut piece = vec![0; PIECE_BYTES];
    while let Ok(read) = from.read(&mut piece).await {
        let open = fault.wait_for(|fault| *fault != PathFault::Silent).await.is_ok();
        if read == 0 || !open || to.write_all(&piece[..read]).await.is_err() {
            return;
        }
    }
}
