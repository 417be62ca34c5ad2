//! A stand-in backend server that speaks raw HTTP/1.1, with configurable faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use sorrelwick::gateway::Dialect;
use sorrelwick::gateway::HeaderNames;
use sorrelwick::task::TaskGuard;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::ColdPhase;
use super::CrashRule;
use super::PlainDialect;
use super::raw_conn::serve;
use crate::rebind::accept_until;
use crate::rebind::rebind;

/// Body size of a large response: more than all socket buffers on the path can hold.
pub const LARGE_BYTES: usize = 64 << 20;
/// Bytes of a large body before its server falls silent: more than an instance buffers.
pub const STALLED_AFTER_BYTES: usize = 512 << 10;

/// How the server responds to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Responds with the request id as body.
    Answer,
    /// As `Answer`, with chunked encoding.
    AnswerInChunks,
    /// As `Answer`, without a length: the body ends when the connection closes.
    AnswerByClose,
    /// Responds 503 with the header that says that the request was not run.
    Shed,
    /// Runs the request and responds 503 without that header.
    Unavailable,
    /// Runs the request and responds 500.
    Fail,
    /// Runs the request and closes the connection without a response.
    Close,
    /// Sends less body than its `Content-Length` says.
    Truncate,
    /// Sends bytes that are not a valid HTTP response.
    Garble,
    /// Responds, and sends the same response again when the next request arrives on the connection.
    AnswerTwice,
    /// Runs the request and never responds.
    Silent,
    /// Responds before it has read the request body.
    AnswerEarly,
    /// Responds with a body of [`LARGE_BYTES`], as fast as the client reads.
    AnswerLarge,
    /// As `AnswerLarge`, with chunked encoding or a length, but falls silent after
    /// [`STALLED_AFTER_BYTES`] of the body.
    StallMidway { chunked: bool },
}

/// Rate limit that a server advertises.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLimit {
    /// Requests per second from all instances together.
    pub per_s: f64,
    /// Whether responses to health checks also carry the limit.
    pub in_health_checks: bool,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) id: String,
    pub(super) header_names: HeaderNames,
    pub(super) behaviour: Mutex<Behaviour>,
    pub(super) crash_rule: Mutex<Option<CrashRule>>,
    pub(super) crash: Notify,
    /// Times of the crashes, in order.
    pub(super) crash_times: Mutex<Vec<tokio::time::Instant>>,
    pub(super) work_time: Mutex<Duration>,
    pub(super) cold_phase: Mutex<Option<ColdPhase>>,
    pub(super) reported_limit: Mutex<Option<ReportedLimit>>,
    pub(super) retry_after: Mutex<Option<Duration>>,
    pub(super) draining: AtomicBool,
    pub(super) rejects_health_checks_twice: AtomicBool,
    pub(super) slowdown_percent: AtomicU32,
    /// Ids of the requests that were run, in order.
    pub(super) ran_ids: Mutex<Vec<String>>,
    /// Heads of all requests except health checks.
    pub(super) request_heads: Mutex<Vec<String>>,
    /// Arrival times of these requests, in order.
    pub(super) arrival_times: Mutex<Vec<tokio::time::Instant>>,
    pub(super) cancelled: AtomicU32,
    /// Body bytes of large responses that were written to sockets.
    pub(super) large_bytes: AtomicU64,
    pub(super) in_flight: AtomicU32,
    pub(super) peak_in_flight: AtomicU32,
    pub(super) connections: AtomicU32,
    pub(super) peak_connections: AtomicU32,
}

/// A running server; it stops on drop.
#[derive(Debug)]
pub struct RawServer {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _task: TaskGuard,
}

impl RawServer {
    /// Starts a server that uses the header names of [`PlainDialect`].
    ///
    /// # Panics
    /// If no port is free.
    pub async fn spawn(id: &str) -> Self {
        Self::spawn_with_headers(id, PlainDialect::default().header_names().clone()).await
    }

    /// Starts a server that uses these header names.
    ///
    /// # Panics
    /// If no port is free.
    pub async fn spawn_with_headers(id: &str, header_names: HeaderNames) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            id: id.into(),
            header_names,
            behaviour: Mutex::new(Behaviour::Answer),
            crash_rule: Mutex::default(),
            crash: Notify::new(),
            crash_times: Mutex::default(),
            work_time: Mutex::new(Duration::from_millis(2)),
            cold_phase: Mutex::default(),
            reported_limit: Mutex::default(),
            retry_after: Mutex::default(),
            draining: AtomicBool::new(false),
            rejects_health_checks_twice: AtomicBool::new(false),
            slowdown_percent: AtomicU32::new(100),
            ran_ids: Mutex::default(),
            request_heads: Mutex::default(),
            arrival_times: Mutex::default(),
            cancelled: AtomicU32::new(0),
            large_bytes: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
            peak_in_flight: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            peak_connections: AtomicU32::new(0),
        });
        let serving = Arc::clone(&shared);
        let task = TaskGuard::spawn(run_with_restarts(listener, serving));
        Self { address, shared, _task: task }
    }

    /// Sets how the server responds from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock() = behaviour;
    }

    /// Sets which requests crash the server from now on.
    pub fn set_crash_rule(&self, rule: CrashRule) {
        *self.shared.crash_rule.lock() = Some(rule);
    }

    /// Crashes the server now. It restarts after the downtime of the crash rule, or at once without a
    /// rule.
    pub fn crash(&self) {
        self.shared.crash.notify_one();
    }

    /// Times of the crashes.
    #[must_use]
    pub fn crash_times(&self) -> Vec<tokio::time::Instant> {
        self.shared.crash_times.lock().clone()
    }

    /// Sets the service time of each request.
    pub fn set_work_time(&self, work_time: Duration) {
        *self.shared.work_time.lock() = work_time;
    }

    /// Starts a cold phase, during which the server crashes if more than `capacity_per_s` requests
    /// arrive within a second.
    pub fn start_cold_phase(&self, duration: Duration, capacity_per_s: usize) {
        *self.shared.cold_phase.lock() = Some(ColdPhase::new(duration, capacity_per_s));
    }

    /// Most requests that arrived within a second of the cold phase.
    #[must_use]
    pub fn cold_peak_arrivals_per_s(&self) -> usize {
        self.shared.cold_phase.lock().as_ref().map_or(0, ColdPhase::peak_arrivals_per_s)
    }

    /// Sets the rate limit that the server advertises from now on; `None` for no limit.
    pub fn set_reported_limit(&self, limit: Option<ReportedLimit>) {
        *self.shared.reported_limit.lock() = limit;
    }

    /// Announces in each response from now on that the server is draining; it still serves requests.
    pub fn announce_draining(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
    }

    /// Sets whether the server rejects health checks from now on, with the header that says that they
    /// were not run, and sends the rejection again when the next request arrives on the connection.
    pub fn reject_health_checks_twice(&self, rejects: bool) {
        self.shared.rejects_health_checks_twice.store(rejects, Ordering::Relaxed);
    }

    /// Sets the `Retry-After` of responses that say that the request was not run.
    pub fn set_retry_after(&self, retry_after: Option<Duration>) {
        *self.shared.retry_after.lock() = retry_after;
    }

    /// Arrival times of requests, without health checks.
    #[must_use]
    pub fn arrival_times(&self) -> Vec<tokio::time::Instant> {
        self.shared.arrival_times.lock().clone()
    }

    /// Sets the slowdown that the server reports, in percent. With 0 it reports no load at all, and
    /// health checks wait until no request is in flight.
    pub fn set_slowdown_percent(&self, percent: u32) {
        self.shared.slowdown_percent.store(percent, Ordering::Relaxed);
    }

    /// Ids of the requests that were run.
    #[must_use]
    pub fn ran_ids(&self) -> Vec<String> {
        self.shared.ran_ids.lock().clone()
    }

    /// Heads of the received requests, without health checks.
    #[must_use]
    pub fn request_heads(&self) -> Vec<String> {
        self.shared.request_heads.lock().clone()
    }

    /// Number of requests whose connection was closed during their service time.
    #[must_use]
    pub fn cancelled(&self) -> u32 {
        self.shared.cancelled.load(Ordering::Relaxed)
    }

    /// Body bytes of large responses that were written to sockets so far.
    #[must_use]
    pub fn large_bytes(&self) -> u64 {
        self.shared.large_bytes.load(Ordering::Relaxed)
    }

    /// Most requests that were in flight at the same time.
    #[must_use]
    pub fn peak_in_flight(&self) -> u32 {
        self.shared.peak_in_flight.load(Ordering::Relaxed)
    }

    /// Most connections that were open at the same time.
    #[must_use]
    pub fn peak_connections(&self) -> u32 {
        self.shared.peak_connections.load(Ordering::Relaxed)
    }

    /// The store entry of this server, as JSON.
    #[must_use]
    pub fn entry(&self, service: &str, zone: &str, slots: u32, state: &str) -> String {
        self.entry_started_at(service, zone, slots, state, 0)
    }

    /// As [`RawServer::entry`], for a process that started at `started_ms` (Unix milliseconds).
    #[must_use]
    pub fn entry_started_at(
        &self,
        service: &str,
        zone: &str,
        slots: u32,
        state: &str,
        started_ms: u64,
    ) -> String {
        let address = self.address;
        serde_json::json!({
            "service": service, "address": address, "zone": zone, "slots": slots, "state": state,
            "started_ms": started_ms,
        })
        .to_string()
    }
}

/// Serves until a crash, then restarts on the same address, forever.
async fn run_with_restarts(mut listener: TcpListener, shared: Arc<Shared>) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    loop {
        accept_until(listener, &shared.crash, |stream| serve_counted(stream, Arc::clone(&shared)))
            .await;
        shared.crash_times.lock().push(tokio::time::Instant::now());
        shared.in_flight.store(0, Ordering::Relaxed);
        shared.connections.store(0, Ordering::Relaxed);
        let down = shared.crash_rule.lock().as_ref().map_or(Duration::ZERO, |rule| rule.downtime);
        listener = rebind(address, down).await;
    }
}

/// Serves a connection and counts it while it is open.
async fn serve_counted(stream: TcpStream, shared: Arc<Shared>) {
    let open = shared.connections.fetch_add(1, Ordering::Relaxed) + 1;
    shared.peak_connections.fetch_max(open, Ordering::Relaxed);
    serve(stream, Arc::clone(&shared)).await;
    shared.connections.fetch_sub(1, Ordering::Relaxed);
}
