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
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::ColdPhase;
use super::CrashRule;
use super::PlainDialect;
use crate::rebind::accept_until;
use crate::rebind::rebind;

const READ_BYTES: usize = 4_096;
/// Body size of a large response: more than all socket buffers on the path can hold.
pub const LARGE_BYTES: usize = 64 << 20;
const LARGE_PIECE_BYTES: usize = 64 << 10;
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
struct Shared {
    id: String,
    header_names: HeaderNames,
    behaviour: Mutex<Behaviour>,
    crash_rule: Mutex<Option<CrashRule>>,
    crash: Notify,
    /// Times of the crashes, in order.
    crash_times: Mutex<Vec<tokio::time::Instant>>,
    work_time: Mutex<Duration>,
    cold_phase: Mutex<Option<ColdPhase>>,
    reported_limit: Mutex<Option<ReportedLimit>>,
    retry_after: Mutex<Option<Duration>>,
    draining: AtomicBool,
    rejects_health_checks_twice: AtomicBool,
    slowdown_percent: AtomicU32,
    /// Ids of the requests that were run, in order.
    ran_ids: Mutex<Vec<String>>,
    /// Heads of all requests except health checks.
    request_heads: Mutex<Vec<String>>,
    /// Arrival times of these requests, in order.
    arrival_times: Mutex<Vec<tokio::time::Instant>>,
    cancelled: AtomicU32,
    /// Body bytes of large responses that were written to sockets.
    large_bytes: AtomicU64,
    in_flight: AtomicU32,
    peak_in_flight: AtomicU32,
    connections: AtomicU32,
    peak_connections: AtomicU32,
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

/// A request head.
struct Head {
    text: String,
    id: String,
    body_bytes: usize,
}

async fn read_head(
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
    names: &HeaderNames,
) -> Option<Head> {
    loop {
        if let Some(end) = input.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&input[..end]).into_owned();
            input.drain(..end + 4);
            let header = |name: &str| {
                let mut pairs = text.lines().filter_map(|line| line.split_once(": "));
                pairs.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| v.to_owned())
            };
            let id = header(names.request_id.as_str()).unwrap_or_default();
            let body_bytes = header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            return Some(Head { text, id, body_bytes });
        }
        let mut bytes = [0; READ_BYTES];
        let read = stream.read(&mut bytes).await.ok().filter(|read| *read > 0)?;
        input.extend_from_slice(&bytes[..read]);
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    // Nagle's algorithm and delayed ACKs would otherwise add 40 ms between two writes in a row.
    let _ = stream.set_nodelay(true);
    let mut input = Vec::new();
    let mut stale_response: Option<String> = None;
    while let Some(head) = read_head(&mut stream, &mut input, &shared.header_names).await {
        let is_health_check = head.text.starts_with("GET /health ");
        let respond_early = !is_health_check && *shared.behaviour.lock() == Behaviour::AnswerEarly;
        if respond_early && !run_and_respond(&mut stream, &shared, &head, &mut stale_response).await
        {
            return;
        }
        while input.len() < head.body_bytes {
            let mut bytes = [0; READ_BYTES];
            match stream.read(&mut bytes).await {
                Ok(read) if read > 0 => input.extend_from_slice(&bytes[..read]),
                _ => return,
            }
        }
        input.drain(..head.body_bytes);
        if respond_early {
            continue;
        }
        if let Some(stale) = stale_response.take()
            && stream.write_all(stale.as_bytes()).await.is_err()
        {
            return;
        }
        if is_health_check {
            let mut response = health_response(&shared).await;
            if shared.rejects_health_checks_twice.load(Ordering::Relaxed) {
                let not_run = &shared.header_names.not_run;
                response =
                    format!("HTTP/1.1 503 Busy\r\n{not_run}: 1\r\ncontent-length: 0\r\n\r\n");
                stale_response = Some(response.clone());
            }
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        if !run_and_respond(&mut stream, &shared, &head, &mut stale_response).await {
            return;
        }
    }
}

async fn health_response(shared: &Shared) -> String {
    let no_load = shared.slowdown_percent.load(Ordering::Relaxed) == 0;
    while no_load && shared.in_flight.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (id, load) = (&shared.id, load_header(shared));
    let HeaderNames { server_id, warmup_left_ms, .. } = &shared.header_names;
    let remaining = shared.cold_phase.lock().as_ref().and_then(ColdPhase::remaining);
    let warmup = remaining
        .map_or_else(String::new, |left| format!("{warmup_left_ms}: {}\r\n", left.as_millis()));
    let notices = limit_and_draining_headers(shared, true);
    format!(
        "HTTP/1.1 200 OK\r\n{server_id}: {id}\r\n{load}{warmup}{notices}content-length: 0\r\n\r\n"
    )
}

/// Header lines with the advertised rate limit and the draining notice, if set.
fn limit_and_draining_headers(shared: &Shared, is_health_check: bool) -> String {
    let names = &shared.header_names;
    let limit =
        shared.reported_limit.lock().filter(|limit| !is_health_check || limit.in_health_checks);
    let limit = limit.map(|limit| format!("{}: {}\r\n", names.rate_limit, limit.per_s));
    let is_draining = shared.draining.load(Ordering::Relaxed);
    let draining = is_draining.then(|| format!("{}: 1\r\n", names.draining));
    limit.into_iter().chain(draining).collect()
}

/// Header line with the reported load; empty if the server reports none.
fn load_header(shared: &Shared) -> String {
    let running = shared.in_flight.load(Ordering::Relaxed);
    match shared.slowdown_percent.load(Ordering::Relaxed) {
        0 => String::new(),
        percent => format!("{}: {running},0,4,{percent}\r\n", shared.header_names.load),
    }
}

/// Runs a request and responds. Returns `false` if the connection must be closed.
async fn run_and_respond(
    stream: &mut TcpStream,
    shared: &Shared,
    head: &Head,
    stale_response: &mut Option<String>,
) -> bool {
    shared.request_heads.lock().push(head.text.clone());
    shared.arrival_times.lock().push(tokio::time::Instant::now());
    if shared.cold_phase.lock().as_mut().is_some_and(ColdPhase::record_arrival) {
        shared.crash.notify_one();
        return false;
    }
    let behaviour = *shared.behaviour.lock();
    let id = &head.id;
    if behaviour == Behaviour::Shed {
        let not_run = &shared.header_names.not_run;
        let notices = limit_and_draining_headers(shared, false);
        let retry_after = *shared.retry_after.lock();
        let retry_after =
            retry_after.map(|delay| format!("retry-after: {}\r\n", delay.as_secs_f64()));
        let headers = format!("{not_run}: 1\r\n{notices}{}", retry_after.unwrap_or_default());
        let text = format!("HTTP/1.1 503 Busy\r\n{headers}content-length: 0\r\n\r\n");
        return stream.write_all(text.as_bytes()).await.is_ok();
    }
    shared.ran_ids.lock().push(id.clone());
    if !work(stream, shared).await {
        return false;
    }
    if let Some(rule) = matching_crash_rule(shared, head) {
        if rule.mid_response {
            let partial = format!(
                "HTTP/1.1 200 OK\r\n{}: {id}\r\ncontent-length: {LARGE_BYTES}\r\n\r\n",
                shared.header_names.request_id
            );
            let piece = vec![b'x'; LARGE_PIECE_BYTES * 8];
            let _ = stream.write_all(partial.as_bytes()).await;
            let _ = stream.write_all(&piece).await;
        }
        shared.crash.notify_one();
        std::future::pending::<()>().await;
    }
    let HeaderNames { request_id, signature, .. } = &shared.header_names;
    let (load, notices) = (load_header(shared), limit_and_draining_headers(shared, false));
    let headers = format!("{request_id}: {id}\r\n{signature}: s-{id}\r\n{load}{notices}");
    let complete = format!("HTTP/1.1 200 OK\r\n{headers}content-length: {}\r\n\r\n{id}", id.len());
    let (text, keep_alive) = match behaviour {
        Behaviour::Answer | Behaviour::AnswerEarly => (complete, true),
        Behaviour::AnswerTwice => {
            *stale_response = Some(complete.clone());
            (complete, true)
        }
        Behaviour::AnswerInChunks => {
            let chunks = format!("{:x}\r\n{id}\r\n0\r\n\r\n", id.len());
            (
                format!("HTTP/1.1 200 OK\r\n{headers}transfer-encoding: chunked\r\n\r\n{chunks}"),
                true,
            )
        }
        Behaviour::AnswerByClose => (format!("HTTP/1.1 200 OK\r\n{headers}\r\n{id}"), false),
        Behaviour::Unavailable => {
            (format!("HTTP/1.1 503 Busy\r\n{headers}content-length: 0\r\n\r\n"), true)
        }
        Behaviour::Fail => (format!("HTTP/1.1 500 Oh\r\n{headers}content-length: 0\r\n\r\n"), true),
        Behaviour::Truncate => {
            (format!("HTTP/1.1 200 OK\r\n{headers}content-length: 1000\r\n\r\n{id}"), false)
        }
        Behaviour::Garble => ("what is this?\r\n\r\n".into(), false),
        Behaviour::Close | Behaviour::Shed => (String::new(), false),
        Behaviour::AnswerLarge => {
            let head = format!("HTTP/1.1 200 OK\r\n{headers}content-length: {LARGE_BYTES}\r\n\r\n");
            return stream.write_all(head.as_bytes()).await.is_ok()
                && write_large(stream, shared).await;
        }
        Behaviour::StallMidway { chunked } => {
            let _ = stream.write_all(&first_part(&headers, chunked)).await;
            std::future::pending::<()>().await;
            (String::new(), false)
        }
        Behaviour::Silent => {
            std::future::pending::<()>().await;
            (String::new(), false)
        }
    };
    stream.write_all(text.as_bytes()).await.is_ok() && keep_alive
}

/// The crash rule, if it matches the request.
fn matching_crash_rule(shared: &Shared, head: &Head) -> Option<CrashRule> {
    let rule = shared.crash_rule.lock().clone()?;
    head.text.contains(&rule.head_contains).then_some(rule)
}

/// The head of a large response and the first part of its body.
fn first_part(headers: &str, chunked: bool) -> Vec<u8> {
    let part = vec![b'x'; STALLED_AFTER_BYTES];
    let framing = if chunked {
        format!("transfer-encoding: chunked\r\n\r\n{STALLED_AFTER_BYTES:x}\r\n")
    } else {
        format!("content-length: {LARGE_BYTES}\r\n\r\n")
    };
    let mut bytes = format!("HTTP/1.1 200 OK\r\n{headers}{framing}").into_bytes();
    bytes.extend_from_slice(&part);
    bytes
}

/// Writes the body of a large response. Returns `false` if the connection was closed.
async fn write_large(stream: &mut TcpStream, shared: &Shared) -> bool {
    let piece = vec![b'x'; LARGE_PIECE_BYTES];
    for _ in 0..LARGE_BYTES / LARGE_PIECE_BYTES {
        if stream.write_all(&piece).await.is_err() {
            return false;
        }
        shared.large_bytes.fetch_add(LARGE_PIECE_BYTES as u64, Ordering::Relaxed);
    }
    true
}

/// Waits for the service time. Returns `false` if the connection was closed meanwhile.
async fn work(stream: &mut TcpStream, shared: &Shared) -> bool {
    let in_flight = shared.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
    shared.peak_in_flight.fetch_max(in_flight, Ordering::Relaxed);
    let work = *shared.work_time.lock();
    let mut byte = [0; 1];
    let completed = tokio::select! {
        () = tokio::time::sleep(work) => true,
        peeked = stream.peek(&mut byte) => !matches!(peeked, Ok(0) | Err(_)),
    };
    shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    if !completed {
        shared.cancelled.fetch_add(1, Ordering::Relaxed);
    }
    completed
}
