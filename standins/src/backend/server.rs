//! The HTTP server of the backend stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use super::Behaviour;
use super::Record;
use super::body_for;
use super::work::WorkTimes;
use crate::rebind::accept_until;
use crate::rebind::rebind;

/// Settings of a backend server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendSettings {
    pub id: String,
    pub listen: SocketAddr,
    pub slots: usize,
    pub connections_max: usize,
    /// Mean service time, before the heavy tail.
    pub work_us: u64,
    pub body_bytes: usize,
    /// For this long after the start, service times are `cold_factor` times as long.
    pub cold_ms: u64,
    pub cold_factor: u32,
    /// Delay before a new connection is served.
    pub connect_us: u64,
    /// A request whose path has this prefix crashes the server after its service time; empty for none.
    pub crash_path: String,
    /// How long nothing listens on the server's address after a crash.
    pub down_ms: u64,
    pub seed: u64,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            id: "b1".into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 4,
            connections_max: 250,
            work_us: 1_000,
            body_bytes: 200,
            cold_ms: 0,
            cold_factor: 1,
            connect_us: 1_000,
            crash_path: String::new(),
            down_ms: 1_000,
            seed: 1,
        }
    }
}

#[derive(Debug)]
struct Shared {
    settings: BackendSettings,
    behaviour: Arc<Behaviour>,
    record: Arc<Record>,
    slots: Semaphore,
    in_flight: AtomicU32,
    connections: AtomicU32,
    peak_connections: AtomicU32,
    times: Mutex<WorkTimes>,
    crash: Notify,
    started: tokio::time::Instant,
}

/// A running backend server; on drop it stops at once and closes all its connections.
#[derive(Debug)]
pub struct Backend {
    address: SocketAddr,
    pub behaviour: Arc<Behaviour>,
    pub record: Arc<Record>,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Backend {
    /// Starts a server on the address of the settings.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(settings: BackendSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let behaviour = Arc::new(Behaviour::default());
        let record = Arc::new(Record::default());
        let shared = Arc::new(Shared {
            slots: Semaphore::new(settings.slots),
            times: Mutex::new(WorkTimes::new(settings.work_us, settings.seed)),
            crash: Notify::new(),
            behaviour: Arc::clone(&behaviour),
            record: Arc::clone(&record),
            in_flight: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            peak_connections: AtomicU32::new(0),
            started: tokio::time::Instant::now(),
            settings,
        });
        let task = tokio::spawn(run_with_restarts(listener, Arc::clone(&shared)));
        Ok(Self { address, behaviour, record, shared, task })
    }

    /// The address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The server id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.shared.settings.id
    }

    /// Most connections that were open at the same time.
    #[must_use]
    pub fn peak_connections(&self) -> u32 {
        self.shared.peak_connections.load(Ordering::Relaxed)
    }

    /// Serves until the process ends.
    pub async fn run(mut self) {
        let _ = (&mut self.task).await;
    }
}

/// Increments a counter, and decrements it on drop.
struct CountGuard<'a>(&'a AtomicU32);

impl<'a> CountGuard<'a> {
    fn increment(counter: &'a AtomicU32) -> (Self, u32) {
        let now = counter.fetch_add(1, Ordering::AcqRel) + 1;
        (Self(counter), now)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves until a crash, then restarts on the same address, forever.
async fn run_with_restarts(mut listener: TcpListener, shared: Arc<Shared>) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    loop {
        let serve = |stream| serve_connection(stream, Arc::clone(&shared));
        accept_until(listener, &shared.crash, serve).await;
        shared.record.record_crash();
        listener = rebind(address, Duration::from_millis(shared.settings.down_ms)).await;
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    let (_guard, open) = CountGuard::increment(&shared.connections);
    shared.peak_connections.fetch_max(open, Ordering::AcqRel);
    if open as usize > shared.settings.connections_max {
        return;
    }
    if shared.settings.connect_us > 0 {
        tokio::time::sleep(Duration::from_micros(shared.settings.connect_us)).await;
    }
    let _ = stream.set_nodelay(true);
    let inner = Arc::clone(&shared);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&inner);
        async move { serve(&shared, request).await }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Delay between the first half of the body and the error, so that the half is sent.
const TRUNCATE_DELAY: Duration = Duration::from_millis(5);

/// A body that ends with an error halfway.
#[derive(Debug)]
pub struct TruncatedBody {
    first_half: Option<Bytes>,
    /// Announced length; `None` for chunked encoding.
    len: Option<u64>,
    delay: Option<std::pin::Pin<Box<tokio::time::Sleep>>>,
}

/// Error that makes hyper close the connection.
#[derive(Debug)]
pub struct TruncatedError;

impl std::fmt::Display for TruncatedError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response truncated on purpose")
    }
}

impl std::error::Error for TruncatedError {}

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = TruncatedError;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, TruncatedError>>> {
        if let Some(bytes) = self.first_half.take() {
            return std::task::Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if let Some(delay) = &mut self.delay {
            return delay.as_mut().poll(cx).map(|()| Some(Err(TruncatedError)));
        }
        // The server writes what it has only once the body is pending; on a busy machine the delay
        // may have passed by now, and the error would discard head and half.
        self.delay = Some(Box::pin(tokio::time::sleep(TRUNCATE_DELAY)));
        cx.waker().wake_by_ref();
        std::task::Poll::Pending
    }

    fn size_hint(&self) -> SizeHint {
        self.len.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

type BackendResponse = Response<Either<Full<Bytes>, TruncatedBody>>;

fn full_response(status: StatusCode, body: Bytes) -> BackendResponse {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    response
}

fn try_decrement(counter: &std::sync::atomic::AtomicU64) -> bool {
    let next = |count: u64| count.checked_sub(1);
    counter.fetch_update(Ordering::AcqRel, Ordering::Acquire, next).is_ok()
}

/// The load that the server reports: requests in flight, scaled by `report_percent`.
fn reported_load(shared: &Shared) -> u32 {
    let percent = match shared.behaviour.report_percent.load(Ordering::Relaxed) {
        0 => 100,
        percent => percent,
    };
    shared.in_flight.load(Ordering::Acquire) * percent / 100
}

fn add_state_headers(shared: &Shared, response: &mut BackendResponse) {
    response.headers_mut().insert("x-backend-load", reported_load(shared).into());
    if shared.behaviour.draining.load(Ordering::Acquire) {
        let draining = http::HeaderValue::from_static("draining");
        response.headers_mut().insert("x-backend-state", draining);
    }
}

async fn serve(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Result<BackendResponse, TruncatedError> {
    let path = request.uri().path();
    if path == "/health" || path == "/load" {
        shared.record.record_probe();
        let always_healthy = shared.behaviour.always_healthy.load(Ordering::Relaxed);
        let failing = shared.behaviour.failing.load(Ordering::Relaxed);
        let ok = always_healthy || !failing;
        let status = if ok { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let mut response = full_response(status, Bytes::from(reported_load(shared).to_string()));
        if !always_healthy {
            add_state_headers(shared, &mut response);
        }
        return Ok(response);
    }
    let mut response = run_request(shared, request).await?;
    add_state_headers(shared, &mut response);
    Ok(response)
}

fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    let mut named = pairs.filter_map(|pair| pair.split_once('='));
    named.find(|(key, _)| *key == name)?.1.parse().ok()
}

fn slowdown_factor(shared: &Shared) -> u32 {
    let cold = shared.started.elapsed() < Duration::from_millis(shared.settings.cold_ms);
    let cold_factor = if cold { shared.settings.cold_factor.max(1) } else { 1 };
    shared.behaviour.slow_factor.load(Ordering::Relaxed).max(1) * cold_factor
}

async fn run_request(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Result<BackendResponse, TruncatedError> {
    let behaviour = &shared.behaviour;
    if behaviour.failing.load(Ordering::Acquire) {
        return Ok(full_response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()));
    }
    let retry_after_s = behaviour.retry_after_s.load(Ordering::Acquire);
    if retry_after_s > 0 {
        shared.record.record_rejection();
        let mut response = full_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        response.headers_mut().insert(http::header::RETRY_AFTER, retry_after_s.into());
        return Ok(response);
    }
    let busy = shared.slots.available_permits() == 0;
    if busy && behaviour.shedding.load(Ordering::Acquire) {
        return Ok(full_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
    }
    let work_us = query_number(&request, "work_us");
    let len = query_number(&request, "bytes").and_then(|len| usize::try_from(len).ok());
    let id = request.headers().get("x-request-id").and_then(|value| value.to_str().ok());
    let id = id.unwrap_or("").to_owned();
    let crash_path = shared.settings.crash_path.as_str();
    let crashes = !crash_path.is_empty() && request.uri().path().starts_with(crash_path);
    if request.into_body().collect().await.is_err() {
        return Err(TruncatedError);
    }
    let (_guard, _) = CountGuard::increment(&shared.in_flight);
    let _slot = shared.slots.acquire().await.map_err(|_| TruncatedError)?;
    shared.record.record_run(&id);
    if behaviour.frozen.load(Ordering::Acquire) {
        std::future::pending::<()>().await;
    }
    let time = work_us.map_or_else(|| shared.times.lock().next_time(), Duration::from_micros);
    if !time.is_zero() {
        tokio::time::sleep(time * slowdown_factor(shared)).await;
    }
    if crashes {
        shared.crash.notify_one();
        std::future::pending::<()>().await;
    }
    if try_decrement(&behaviour.responses_to_drop) {
        return Err(TruncatedError);
    }
    let body = body_for(&id, len.unwrap_or(shared.settings.body_bytes));
    if try_decrement(&behaviour.bodies_to_truncate) {
        let chunked = behaviour.truncate_chunked.load(Ordering::Acquire);
        let len = (!chunked).then_some(body.len() as u64);
        let truncated =
            TruncatedBody { first_half: Some(body.slice(..body.len() / 2)), len, delay: None };
        return Ok(Response::new(Either::Right(truncated)));
    }
    Ok(full_response(StatusCode::OK, body))
}
