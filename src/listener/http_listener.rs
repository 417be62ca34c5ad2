//! An HTTP/1.1 listener with graceful shutdown.

use std::convert::Infallible;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use http::Extensions;
use http::Request;
use http::Response;
use http::request::Parts;
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use super::guarded_body::GuardedBody;
use super::timed_stream::ConnRequests;
use super::timed_stream::TimedStream;
use crate::task::TaskGuard;

/// Delay after a failed accept: the process is out of file descriptors, and some are released soon.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Handles the requests of all connections of a listener.
pub trait Handler: Clone + Send + Sync + 'static {
    /// The body of its responses.
    type Body: Body<Data: Send, Error: std::error::Error + Send + Sync> + Send + Unpin + 'static;

    /// Handles one request. The future is dropped when the caller disconnects.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + Send;

    /// Limits for a connection that is accepted now.
    fn limits(&self) -> ConnLimits;
}

/// The IP address that a request came from; set as an extension of each request passed to a
/// handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerAddress(pub IpAddr);

impl CallerAddress {
    /// The address of a request that came from a listener; the unspecified address for any other.
    #[must_use]
    pub fn from_parts(parts: &Parts) -> IpAddr {
        Self::of(&parts.extensions)
    }

    /// As [`Self::from_parts`], of the extensions of a request.
    #[must_use]
    pub fn of(extensions: &Extensions) -> IpAddr {
        let known = extensions.get::<Self>();
        known.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |caller| caller.0)
    }
}

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnLimits {
    /// Size limit of a request head.
    pub header_bytes_max: usize,
    /// Time limit for receiving a request head, from its first byte on.
    pub header_timeout: Duration,
    /// Time that a connection may be idle before a request.
    pub idle_timeout: Duration,
}

/// A running listener.
#[derive(Debug)]
pub struct HttpListener {
    accept_task: TaskGuard,
    stop: watch::Sender<bool>,
    /// One permit per connection.
    permits: Arc<Semaphore>,
    connections_max: u32,
}

impl HttpListener {
    /// Serves `listener` with at most `connections_max` connections at a time; further ones wait to
    /// be accepted.
    pub fn spawn<H: Handler>(listener: TcpListener, handler: H, connections_max: u32) -> Self {
        let permits = Arc::new(Semaphore::new(connections_max as usize));
        let (stop, stopped) = watch::channel(false);
        let accept_task =
            TaskGuard::spawn(accept_all(listener, handler, Arc::clone(&permits), stopped));
        Self { accept_task, stop, permits, connections_max }
    }

    /// Stops accepting, closes idle connections, lets the others finish their current request, and
    /// returns when all are closed.
    pub async fn stop(self) {
        self.accept_task.end().await;
        self.stop.send_replace(true);
        // This fails only for a closed semaphore, and this one is never closed.
        let _ = self.permits.acquire_many(self.connections_max).await;
    }
}

async fn accept_all<H: Handler>(
    listener: TcpListener,
    handler: H,
    permits: Arc<Semaphore>,
    stopped: watch::Receiver<bool>,
) {
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = handler.clone();
        let stopped = stopped.clone();
        tokio::spawn(async move {
            serve_connection(stream, CallerAddress(peer.ip()), handler, stopped).await;
            drop(permit);
        });
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    caller: CallerAddress,
    handler: H,
    mut stopped: watch::Receiver<bool>,
) {
    if stream.set_nodelay(true).is_err() {
        // The caller has already closed the connection.
        return;
    }
    let limits = handler.limits();
    let requests = Arc::new(ConnRequests::default());
    let counted = Arc::clone(&requests);
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(caller);
        let handler = handler.clone();
        let handled_request = counted.begin();
        async move {
            let response = handler.handle(request).await;
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, handled_request)))
        }
    });
    let ConnLimits { header_timeout, idle_timeout, .. } = limits;
    let stream = TimedStream::new(stream, requests, header_timeout, idle_timeout);
    let mut builder = http1::Builder::new();
    // `TimedStream` enforces the time limits.
    builder.header_read_timeout(None);
    builder.max_buf_size(limits.header_bytes_max.max(BUFFER_BYTES_MIN));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // An error here means that the caller's connection broke; there is nobody to report it to.
        _ = &mut connection => return,
        _ = stopped.wait_for(|stopped| *stopped) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// The smallest connection buffer that `hyper` accepts.
const BUFFER_BYTES_MIN: usize = 8 << 10;
