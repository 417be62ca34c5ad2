//! A backend server that misbehaves on request, byte for byte.

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
/// Body of a large answer: more than the buffers of all sockets on its way hold together.
pub const LARGE_BYTES: usize = 64 << 20;
const LARGE_PIECE_BYTES: usize = 64 << 10;

/// What the server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers with the request's id as body.
    Answer,
    /// The same in chunks.
    AnswerInChunks,
    /// The same without a length: the connection ends it.
    AnswerByClose,
    /// Says that it did not run the request.
    Shed,
    /// Answers 503 without saying that it did not run the request.
    Unavailable,
    /// Answers 500.
    Fail,
    /// Runs it and closes the connection without an answer.
    Close,
    /// Promises more body than it sends.
    Truncate,
    /// Sends bytes that are no answer.
    Garble,
    /// Answers, and answers again when the next request on the connection comes.
    AnswerTwice,
    /// Runs it and never answers.
    Silent,
    /// Answers before it has read the body.
    AnswerEarly,
    /// Answers with [`LARGE_BYTES`], as fast as they are taken.
    AnswerLarge,
}

/// The limit that a server names.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLimit {
    /// Requests a second from all instances together.
    pub per_s: f64,
    /// Whether answers to health checks name it too.
    pub in_health_checks: bool,
}

#[derive(Debug)]
struct Shared {
    id: String,
    header_names: HeaderNames,
    behaviour: Mutex<Behaviour>,
    crash_rule: Mutex<Option<CrashRule>>,
    crash: Notify,
    /// When it crashed, in order.
    crash_times: Mutex<Vec<tokio::time::Instant>>,
    work_time: Mutex<Duration>,
    cold_phase: Mutex<Option<ColdPhase>>,
    reported_limit: Mutex<Option<ReportedLimit>>,
    retry_after: Mutex<Option<Duration>>,
    draining: AtomicBool,
    slowdown_percent: AtomicU32,
    /// Ids of the requests that it ran, in order.
    ran_ids: Mutex<Vec<String>>,
    /// Heads of all requests but health checks.
    request_heads: Mutex<Vec<String>>,
    /// When these came, in order.
    arrival_times: Mutex<Vec<tokio::time::Instant>>,
    cancelled: AtomicU32,
    /// Bytes of large answers that were taken from it.
    large_bytes: AtomicU64,
    in_flight: AtomicU32,
    peak_in_flight: AtomicU32,
    connections: AtomicU32,
    peak_connections: AtomicU32,
}

/// A running server; it stops when dropped.
#[derive(Debug)]
pub struct RawServer {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _task: TaskGuard,
}

impl RawServer {
    /// Starts a server that knows the stand-in platform's names.
    ///
    /// # Panics
    /// When no port is free.
    pub async fn spawn(id: &str) -> Self {
        Self::spawn_with_headers(id, PlainDialect::default().header_names().clone()).await
    }

    /// Starts a server that knows a platform's names.
    ///
    /// # Panics
    /// When no port is free.
    pub async fn spawn_with_headers(id: &str, names: HeaderNames) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            id: id.into(),
            header_names: names,
            behaviour: Mutex::new(Behaviour::Answer),
            crash_rule: Mutex::default(),
            crash: Notify::new(),
            crash_times: Mutex::default(),
            work_time: Mutex::new(Duration::from_millis(2)),
            cold_phase: Mutex::default(),
            reported_limit: Mutex::default(),
            retry_after: Mutex::default(),
            draining: AtomicBool::new(false),
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

    /// What it does from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock() = behaviour;
    }

    /// Which requests crash it from now on.
    pub fn set_crash_rule(&self, rule: CrashRule) {
        *self.shared.crash_rule.lock() = Some(rule);
    }

    /// Ends it as a crash would; it is back after the rule's `down`, at once without one.
    pub fn crash(&self) {
        self.shared.crash.notify_one();
    }

    /// When it crashed.
    #[must_use]
    pub fn crash_times(&self) -> Vec<tokio::time::Instant> {
        self.shared.crash_times.lock().clone()
    }

    /// How long it works on each request.
    pub fn set_work_time(&self, work: Duration) {
        *self.shared.work_time.lock() = work;
    }

    /// It is cold from now on, for so long, and crashes when more requests than that arrive within a
    /// second meanwhile.
    pub fn start_cold_phase(&self, lasts: Duration, bears_per_s: usize) {
        *self.shared.cold_phase.lock() = Some(ColdPhase::new(lasts, bears_per_s));
    }

    /// Most requests that arrived within a second while it was cold.
    #[must_use]
    pub fn cold_peak_arrivals_per_s(&self) -> usize {
        self.shared.cold_phase.lock().as_ref().map_or(0, ColdPhase::peak_arrivals_per_s)
    }

    /// What it names as its limit from now on, in requests a second; `None` for none any more.
    pub fn set_reported_limit(&self, limit: Option<ReportedLimit>) {
        *self.shared.reported_limit.lock() = limit;
    }

    /// It says that it leaves from now on, and goes on serving.
    pub fn announce_draining(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
    }

    /// For how long it asks for rest where it says that it did not run a request.
    pub fn set_retry_after(&self, rest: Option<Duration>) {
        *self.shared.retry_after.lock() = rest;
    }

    /// When requests arrived, health checks left out.
    #[must_use]
    pub fn arrival_times(&self) -> Vec<tokio::time::Instant> {
        self.shared.arrival_times.lock().clone()
    }

    /// What it tells of its pace. With 0 it tells no load at all, and health checks wait like
    /// requests until it has nothing to do.
    pub fn set_slowdown_percent(&self, percent: u32) {
        self.shared.slowdown_percent.store(percent, Ordering::Relaxed);
    }

    /// Ids of the requests that it ran.
    #[must_use]
    pub fn ran_ids(&self) -> Vec<String> {
        self.shared.ran_ids.lock().clone()
    }

    /// Heads of the requests that it got.
    #[must_use]
    pub fn request_heads(&self) -> Vec<String> {
        self.shared.request_heads.lock().clone()
    }

    /// Requests whose connection closed while it worked.
    #[must_use]
    pub fn cancelled(&self) -> u32 {
        self.shared.cancelled.load(Ordering::Relaxed)
    }

    /// Bytes of large answers that were taken from it so far.
    #[must_use]
    pub fn large_bytes(&self) -> u64 {
        self.shared.large_bytes.load(Ordering::Relaxed)
    }

    /// Most requests that it worked on at the same time.
    #[must_use]
    pub fn peak_in_flight(&self) -> u32 {
        self.shared.peak_in_flight.load(Ordering::Relaxed)
    }

    /// Most connections that were open at the same time.
    #[must_use]
    pub fn peak_connections(&self) -> u32 {
        self.shared.peak_connections.load(Ordering::Relaxed)
    }

    /// The entry of this server as the stand-in's store lists it.
    #[must_use]
    pub fn entry(&self, service: &str, zone: &str, slots: u32, state: &str) -> String {
        self.entry_started_at(service, zone, slots, state, 0)
    }

    /// As [`RawServer::entry`], of a process that started at `started_ms`.
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

/// Lives, crashes and is back again, on one address.
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

/// Serves a connection, and counts it meanwhile.
async fn serve_counted(stream: TcpStream, shared: Arc<Shared>) {
    let open = shared.connections.fetch_add(1, Ordering::Relaxed) + 1;
    shared.peak_connections.fetch_max(open, Ordering::Relaxed);
    serve(stream, Arc::clone(&shared)).await;
    shared.connections.fetch_sub(1, Ordering::Relaxed);
}

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
            let field = |name: &str| {
                let mut pairs = text.lines().filter_map(|line| line.split_once(": "));
                pairs.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| v.to_owned())
            };
            let id = field(names.request_id.as_str()).unwrap_or_default();
            let body_bytes = field("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            return Some(Head { text, id, body_bytes });
        }
        let mut bytes = [0; READ_BYTES];
        let read = stream.read(&mut bytes).await.ok().filter(|read| *read > 0)?;
        input.extend_from_slice(&bytes[..read]);
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    // Two writes in a row would otherwise wait 40 ms for each other.
    let _ = stream.set_nodelay(true);
    let mut input = Vec::new();
    let mut late: Option<String> = None;
    while let Some(head) = read_head(&mut stream, &mut input, &shared.header_names).await {
        let checked = head.text.starts_with("GET /health ");
        let early = !checked && *shared.behaviour.lock() == Behaviour::AnswerEarly;
        if early && !answer(&mut stream, &shared, &head, &mut late).await {
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
        if early {
            continue;
        }
        if let Some(late) = late.take()
            && stream.write_all(late.as_bytes()).await.is_err()
        {
            return;
        }
        if checked {
            if stream.write_all(health_response(&shared).await.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        if !answer(&mut stream, &shared, &head, &mut late).await {
            return;
        }
    }
}

async fn health_response(shared: &Shared) -> String {
    let silent = shared.slowdown_percent.load(Ordering::Relaxed) == 0;
    while silent && shared.in_flight.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (id, load) = (&shared.id, load(shared));
    let HeaderNames { server_id, warmup_left_ms: cold_left_ms, .. } = &shared.header_names;
    let left = shared.cold_phase.lock().as_ref().and_then(ColdPhase::remaining);
    let cold =
        left.map_or_else(String::new, |left| format!("{cold_left_ms}: {}\r\n", left.as_millis()));
    let limit_and_draining_headers = words(shared, true);
    format!(
        "HTTP/1.1 200 OK\r\n{server_id}: {id}\r\n{load}{cold}{limit_and_draining_headers}content-length: 0\r\n\r\n"
    )
}

/// The fields by which it names a limit and says that it leaves, as far as it does.
fn words(shared: &Shared, check: bool) -> String {
    let names = &shared.header_names;
    let limit = shared.reported_limit.lock().filter(|word| !check || word.in_health_checks);
    let limit = limit.map(|word| format!("{}: {}\r\n", names.rate_limit, word.per_s));
    let leaves = shared.draining.load(Ordering::Relaxed);
    let leaving = leaves.then(|| format!("{}: 1\r\n", names.draining));
    limit.into_iter().chain(leaving).collect()
}

/// The field that tells the load; nothing for a server that does not tell.
fn load(shared: &Shared) -> String {
    let running = shared.in_flight.load(Ordering::Relaxed);
    match shared.slowdown_percent.load(Ordering::Relaxed) {
        0 => String::new(),
        pace => format!("{}: {running},0,4,{pace}\r\n", shared.header_names.load),
    }
}

/// Works on a request and answers; `false` when the connection is to be closed.
async fn answer(
    stream: &mut TcpStream,
    shared: &Shared,
    head: &Head,
    late: &mut Option<String>,
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
        let words = words(shared, false);
        let rest = *shared.retry_after.lock();
        let rest = rest.map(|rest| format!("retry-after: {}\r\n", rest.as_secs_f64()));
        let fields = format!("{not_run}: 1\r\n{words}{}", rest.unwrap_or_default());
        let text = format!("HTTP/1.1 503 Busy\r\n{fields}content-length: 0\r\n\r\n");
        return stream.write_all(text.as_bytes()).await.is_ok();
    }
    shared.ran_ids.lock().push(id.clone());
    if !work(stream, shared).await {
        return false;
    }
    if let Some(rule) = matching_crash_rule(shared, head) {
        if rule.mid_response {
            let begun = format!(
                "HTTP/1.1 200 OK\r\n{}: {id}\r\ncontent-length: {LARGE_BYTES}\r\n\r\n",
                shared.header_names.request_id
            );
            let piece = vec![b'x'; LARGE_PIECE_BYTES * 8];
            let _ = stream.write_all(begun.as_bytes()).await;
            let _ = stream.write_all(&piece).await;
        }
        shared.crash.notify_one();
        std::future::pending::<()>().await;
    }
    let HeaderNames { request_id, signature, .. } = &shared.header_names;
    let (load, words) = (load(shared), words(shared, false));
    let fields = format!("{request_id}: {id}\r\n{signature}: s-{id}\r\n{load}{words}");
    let whole = format!("HTTP/1.1 200 OK\r\n{fields}content-length: {}\r\n\r\n{id}", id.len());
    let (text, stays) = match behaviour {
        Behaviour::Answer | Behaviour::AnswerEarly => (whole, true),
        Behaviour::AnswerTwice => {
            *late = Some(whole.clone());
            (whole, true)
        }
        Behaviour::AnswerInChunks => {
            let chunks = format!("{:x}\r\n{id}\r\n0\r\n\r\n", id.len());
            (format!("HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n{chunks}"), true)
        }
        Behaviour::AnswerByClose => (format!("HTTP/1.1 200 OK\r\n{fields}\r\n{id}"), false),
        Behaviour::Unavailable => {
            (format!("HTTP/1.1 503 Busy\r\n{fields}content-length: 0\r\n\r\n"), true)
        }
        Behaviour::Fail => (format!("HTTP/1.1 500 Oh\r\n{fields}content-length: 0\r\n\r\n"), true),
        Behaviour::Truncate => {
            (format!("HTTP/1.1 200 OK\r\n{fields}content-length: 1000\r\n\r\n{id}"), false)
        }
        Behaviour::Garble => ("what is this?\r\n\r\n".into(), false),
        Behaviour::Close | Behaviour::Shed => (String::new(), false),
        Behaviour::AnswerLarge => {
            let head = format!("HTTP/1.1 200 OK\r\n{fields}content-length: {LARGE_BYTES}\r\n\r\n");
            return stream.write_all(head.as_bytes()).await.is_ok()
                && write_large(stream, shared).await;
        }
        Behaviour::Silent => {
            std::future::pending::<()>().await;
            (String::new(), false)
        }
    };
    stream.write_all(text.as_bytes()).await.is_ok() && stays
}

/// The rule by which a request crashes the server, if it does.
fn matching_crash_rule(shared: &Shared, head: &Head) -> Option<CrashRule> {
    let rule = shared.crash_rule.lock().clone()?;
    head.text.contains(&rule.head_contains).then_some(rule)
}

/// Writes the body of a large answer; `false` when the connection closed meanwhile.
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

/// Works; `false` when the connection closed meanwhile.
async fn work(stream: &mut TcpStream, shared: &Shared) -> bool {
    let in_flight = shared.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
    shared.peak_in_flight.fetch_max(in_flight, Ordering::Relaxed);
    let work = *shared.work_time.lock();
    let mut byte = [0; 1];
    let whole = tokio::select! {
        () = tokio::time::sleep(work) => true,
        peeked = stream.peek(&mut byte) => !matches!(peeked, Ok(0) | Err(_)),
    };
    shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    if !whole {
        shared.cancelled.fetch_add(1, Ordering::Relaxed);
    }
    whole
}
