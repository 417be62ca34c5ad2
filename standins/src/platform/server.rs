//! HTTP server of the platform stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::ListedMachine;
use super::PlatformState;

const DEFAULT_WATCH_WAIT: Duration = Duration::from_mins(5);
const DEFAULT_SESSION_TTL: Duration = Duration::from_secs(10);

/// Fault switches and call counts.
#[derive(Debug, Default)]
pub struct Switches {
    /// Closes each connection without a response and without executing the call.
    pub down: AtomicBool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Number of next writes that are executed without a response.
    pub responses_to_drop: AtomicU64,
    pub reads: AtomicU64,
    pub writes: AtomicU64,
    pub watches: AtomicU64,
}

impl Switches {
    fn try_drop_response(&self) -> bool {
        let next = |left: u64| left.checked_sub(1);
        self.responses_to_drop.fetch_update(Ordering::AcqRel, Ordering::Acquire, next).is_ok()
    }

    /// Number of all calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        let counts = [&self.reads, &self.writes, &self.watches];
        counts.iter().map(|count| count.load(Ordering::Relaxed)).sum()
    }
}

/// A running platform. Drop stops it; it can be restarted by binding the same state again.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    pub switches: Arc<Switches>,
    pub state: PlatformState,
    task: JoinHandle<()>,
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Clone, Debug)]
struct Shared {
    switches: Arc<Switches>,
    state: PlatformState,
}

/// A response, or an error that makes hyper close the connection.
type ServeResult = Result<Response<Full<Bytes>>, ResponseDropped>;

#[derive(Debug)]
struct ResponseDropped;

impl std::fmt::Display for ResponseDropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response dropped on purpose")
    }
}

impl std::error::Error for ResponseDropped {}

impl Platform {
    /// Starts to serve `state` on `address`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr, state: PlatformState) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let switches = Arc::new(Switches::default());
        let shared = Shared { switches: Arc::clone(&switches), state: state.clone() };
        let task = tokio::spawn(accept_all(listener, shared));
        Ok(Self { address, switches, state, task })
    }

    /// The address that the platform listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until the process ends.
    pub async fn run(mut self) {
        let _ = (&mut self.task).await;
    }
}

async fn accept_all(listener: TcpListener, shared: Shared) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        connections.spawn(serve_connection(stream, shared.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn serve_connection(stream: TcpStream, shared: Shared) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { serve(&shared, request).await }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

fn reply(status: u16, index: u64, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    response.headers_mut().insert("x-consul-index", index.into());
    response
}

fn query_param(request: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    let mut named = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    named.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}

fn decode_key(path: &str) -> String {
    percent_encoding::percent_decode_str(path).decode_utf8_lossy().into_owned()
}

fn parse_duration(text: &str) -> Option<Duration> {
    if let Some(ms) = text.strip_suffix("ms") {
        return ms.parse().ok().map(Duration::from_millis);
    }
    text.strip_suffix('s')?.parse().ok().map(Duration::from_secs)
}

async fn serve(shared: &Shared, request: Request<Incoming>) -> ServeResult {
    let switches = &shared.switches;
    let path = request.uri().path().to_owned();
    if let Some(rest) = path.strip_prefix("/admin/") {
        return Ok(handle_admin(shared, rest, request).await);
    }
    if switches.down.load(Ordering::Acquire) {
        return Err(ResponseDropped);
    }
    let slow_ms = switches.delay_ms.load(Ordering::Acquire);
    tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    let is_write = request.method() == http::Method::PUT;
    let key = path.strip_prefix("/v1/kv/").map(decode_key);
    let answer = match &key {
        Some(key) if is_write => handle_write(shared, key, request).await,
        Some(key) => handle_read(shared, key, &request).await,
        None if path.starts_with("/v1/session/") => handle_session(shared, &path, request).await,
        None => handle_list(shared, &path),
    };
    if is_write && switches.try_drop_response() {
        return Err(ResponseDropped);
    }
    // No response either if the store went down while a watch was pending.
    if switches.down.load(Ordering::Acquire) {
        return Err(ResponseDropped);
    }
    Ok(answer)
}

async fn handle_read(
    shared: &Shared,
    key: &str,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let index = query_param(request, "index").and_then(|text| text.parse().ok()).unwrap_or(0);
    let recurse = query_param(request, "recurse").is_some();
    if index > 0 {
        shared.switches.watches.fetch_add(1, Ordering::Relaxed);
        let wait = query_param(request, "wait").and_then(|text| parse_duration(&text));
        shared.state.wait_for_change(key, index, wait.unwrap_or(DEFAULT_WATCH_WAIT)).await;
    } else {
        shared.switches.reads.fetch_add(1, Ordering::Relaxed);
    }
    let (index, rows) = shared.state.list_prefix(key);
    let rows: Vec<Value> = rows
        .into_iter()
        .filter(|(name, _)| recurse || name == key)
        .map(|(name, row)| {
            json!({
                "Key": name,
                "Value": STANDARD.encode(&row.value),
                "CreateIndex": row.create_index,
                "ModifyIndex": row.modify_index,
                "Session": row.session,
            })
        })
        .collect();
    let status = if rows.is_empty() { 404 } else { 200 };
    reply(status, index, Value::from(rows).to_string())
}

async fn handle_write(
    shared: &Shared,
    key: &str,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    shared.switches.writes.fetch_add(1, Ordering::Relaxed);
    let cas = query_param(&request, "cas").and_then(|text| text.parse().ok());
    let session = query_param(&request, "acquire");
    let Ok(body) = request.into_body().collect().await else {
        return reply(400, 0, "body".into());
    };
    let body = body.to_bytes();
    let written = match session {
        Some(session) => shared.state.acquire(key, &body, &session),
        None => shared.state.put_cas(key, &body, cas),
    };
    reply(200, 0, written.to_string())
}

async fn handle_session(
    shared: &Shared,
    path: &str,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    shared.switches.writes.fetch_add(1, Ordering::Relaxed);
    if let Some(id) = path.strip_prefix("/v1/session/renew/") {
        let status = if shared.state.renew(id) { 200 } else { 404 };
        return reply(status, 0, "[]".into());
    }
    if let Some(id) = path.strip_prefix("/v1/session/destroy/") {
        shared.state.close_session(id);
        return reply(200, 0, "true".into());
    }
    let body = request
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let ttl = body["TTL"].as_str().and_then(parse_duration).unwrap_or(DEFAULT_SESSION_TTL);
    let id = shared.state.open_session(ttl);
    reply(200, 0, json!({ "ID": id }).to_string())
}

fn handle_list(shared: &Shared, path: &str) -> Response<Full<Bytes>> {
    shared.switches.reads.fetch_add(1, Ordering::Relaxed);
    let Some(name) = path.strip_prefix("/v1/catalog/service/") else {
        return reply(404, 0, String::new());
    };
    let rows: Vec<Value> = shared
        .state
        .list(name)
        .into_iter()
        .map(|machine| {
            json!({
                "ServiceID": machine.id,
                "ServiceAddress": machine.ip,
                "ServicePort": machine.port,
                "ServiceMeta": {
                    "zone": machine.zone,
                    "state": if machine.leaving { "leaving" } else { "live" },
                },
            })
        })
        .collect();
    reply(200, 1, Value::from(rows).to_string())
}

/// Handles the switches for other processes: `/admin/down?on=true`, `/admin/slow?ms=N`,
/// `/admin/lose?answers=N`, `/admin/calls`, and `PUT /admin/list/NAME` with a list of machines as body.
async fn handle_admin(
    shared: &Shared,
    path: &str,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let switches = &shared.switches;
    let number = |name| query_param(&request, name).and_then(|text| text.parse::<u64>().ok());
    match path {
        "down" => {
            let on = query_param(&request, "on").as_deref() == Some("true");
            switches.down.store(on, Ordering::Release);
        }
        "slow" => switches.delay_ms.store(number("ms").unwrap_or(0), Ordering::Release),
        "lose" => {
            switches.responses_to_drop.store(number("answers").unwrap_or(0), Ordering::Release);
        }
        "calls" => return reply(200, 0, switches.calls().to_string()),
        _ => {
            let Some(name) = path.strip_prefix("list/") else {
                return reply(404, 0, "no such switch".into());
            };
            let body = request.into_body().collect().await;
            let body = body.map(http_body_util::Collected::to_bytes).unwrap_or_default();
            let Ok(machines) = serde_json::from_slice::<Vec<ListedMachine>>(&body) else {
                return reply(400, 0, "not a list of machines".into());
            };
            shared.state.set_list(name, machines);
        }
    }
    reply(200, 0, "ok".into())
}
