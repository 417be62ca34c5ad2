//! Stand-ins for the cases of the second review, in the standard library alone: the platform's
//! store, backend servers (upstreams), clients, and the start of the instances by the template of
//! the deploy file. Each case is a module beside it, chosen by the first argument.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

// ---------------------------------------------------------------------------------------------
// Base64, the only encoding that the store's bodies need.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for at in 0..4 {
            if at <= chunk.len() {
                text.push(ALPHABET[(word >> (18 - 6 * at)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn unbase64(text: &str) -> Vec<u8> {
    let (mut word, mut bits, mut bytes) = (0_u32, 0, Vec::new());
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|known| *known == byte) else { break };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1, as far as the stand-ins speak it: bodies with a length.

#[derive(Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; `None` if the connection ended or failed before it was complete.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> std::io::Result<Option<Message>> {
    let mut buffer = [0_u8; 16 << 10];
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            return Ok(None);
        }
        rest.extend_from_slice(&buffer[..read]);
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    rest.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or("").to_owned();
    let fields: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut message = Message { start, fields, body: Vec::new() };
    let length: usize = message.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while rest.len() < length {
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            return Ok(None);
        }
        rest.extend_from_slice(&buffer[..read]);
    }
    message.body = rest.drain(..length).collect();
    Ok(Some(message))
}

pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    fields: &[(&str, String)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in fields {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Accepts connections until the process ends, each in a thread of its own.
fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || handle(stream))
                .map(|_| ())
                .unwrap_or(());
        }
    });
}

/// Addresses that are free now and differ, at this loopback address.
pub fn free_addresses<const N: usize>(ip: Ipv4Addr) -> [SocketAddr; N] {
    // All are held until the last one is found, or one port might be given out twice.
    let held: [TcpListener; N] = std::array::from_fn(|_| {
        TcpListener::bind((IpAddr::V4(ip), 0)).expect("a free port")
    });
    held.map(|listener| listener.local_addr().expect("an address"))
}

/// An address that is free now, at this loopback address.
pub fn free_address(ip: Ipv4Addr) -> SocketAddr {
    let [address] = free_addresses(ip);
    address
}

// ---------------------------------------------------------------------------------------------
// The platform's store.

#[derive(Clone, Debug)]
struct StoreItem {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct StoreEvent {
    key: String,
    revision: u64,
    /// `None` if the key was removed.
    value: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct StoreState {
    items: BTreeMap<String, StoreItem>,
    events: Vec<StoreEvent>,
    revision: u64,
    /// Time to live and end of each lease.
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: &[u8], lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let item = StoreItem { value: value.to_vec(), revision, lease };
        self.items.insert(key.to_owned(), item);
        self.events.push(StoreEvent { key: key.to_owned(), revision, value: Some(value.to_vec()) });
        revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.events.push(StoreEvent { key: key.to_owned(), revision, value: None });
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let held = self.items.iter().filter(|(_, item)| item.lease == lease && lease != 0);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        known
    }
}

/// Which answers of the store are lost, by the label of the address that was called.
#[derive(Debug, Default)]
pub struct Losses {
    /// Watches of the operator's keys whose next answer with an event is lost.
    pub lose_watch_of: Vec<String>,
    /// Labels and times of the answers that were lost.
    pub lost: Vec<(String, Instant)>,
    /// Answers since the start.
    pub answers: u64,
}

/// The platform's store: linearizable, with leases and watches, and no history lost.
#[derive(Clone, Debug, Default)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub losses: Arc<Mutex<Losses>>,
}

fn item_json(key: &str, item: &StoreItem) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"create_rev":1,"lease":{}}}"#,
        base64(&item.value),
        item.revision,
        item.lease
    )
}

fn json_text<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let at = body.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = body[at..].trim_start().strip_prefix('"')?;
    rest.split('"').next()
}

fn json_number(body: &str, name: &str) -> Option<u64> {
    let at = body.find(&format!("\"{name}\":"))? + name.len() + 3;
    let digits: String = body[at..].trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn query(target: &str, name: &str) -> String {
    let pairs = target.split_once('?').map_or("", |(_, query)| query).split('&');
    let found = pairs.filter_map(|pair| pair.split_once('=')).find(|(known, _)| *known == name);
    found.map_or_else(String::new, |(_, value)| value.to_owned())
}

impl Store {
    pub fn spawn() -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self::default();
        store.state.0.lock().expect("the store").revision = 100;
        let served = store.clone();
        serve(listener, move |stream| served.serve_connection(stream, ""));
        let sweeper = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                sweeper.state.0.lock().expect("the store").expire();
                sweeper.state.1.notify_all();
            }
        });
        (store, address)
    }

    /// One more address of the same store, so that its answers to one instance can be told apart.
    pub fn front(&self, label: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (served, label) = (self.clone(), label.to_owned());
        serve(listener, move |stream| served.serve_connection(stream, &label));
        address
    }

    pub fn put(&self, key: &str, value: &str) {
        self.state.0.lock().expect("the store").put(key, value.as_bytes(), 0);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.0.lock().expect("the store").remove(key);
        self.state.1.notify_all();
    }

    /// The keys below a prefix, with their values as text.
    pub fn list(&self, prefix: &str) -> Vec<(String, String)> {
        let state = self.state.0.lock().expect("the store");
        let found = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        found
            .map(|(key, item)| (key.clone(), String::from_utf8_lossy(&item.value).into_owned()))
            .collect()
    }

    /// Whether the answer to a request is lost, which is then done once.
    fn loses(&self, request: &Message, body: &str, label: &str) -> bool {
        let mut losses = self.losses.lock().expect("losses");
        losses.answers += 1;
        let watch = request.target().starts_with("/-/kv-watch?prefix=op/");
        let at = losses.lose_watch_of.iter().position(|other| other == label);
        let Some(at) = at.filter(|_| watch && !body.contains(r#""events":[]"#)) else {
            return false;
        };
        losses.lose_watch_of.remove(at);
        losses.lost.push((label.to_owned(), Instant::now()));
        true
    }

    fn serve_connection(&self, mut stream: TcpStream, label: &str) {
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            if self.loses(&request, &body, label) {
                // A connection on which a response is lost returns nothing further.
                let mut sink = [0_u8; 1024];
                while stream.read(&mut sink).is_ok_and(|read| read > 0) {}
                return;
            }
            let json = [("Content-Type", "application/json".to_owned())];
            if write_response(&mut stream, status, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.target().to_owned();
        let path = target.split('?').next().unwrap_or("");
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match path {
            "/-/kv-key" => {
                let state = self.state.0.lock().expect("the store");
                match state.items.get(&query(&target, "key")) {
                    Some(item) => (200, item_json(&query(&target, "key"), item)),
                    None => (404, "{}".into()),
                }
            }
            "/-/kv-range" => self.range(&query(&target, "prefix"), &query(&target, "after")),
            "/-/kv-watch" => self.watch(
                &query(&target, "prefix"),
                query(&target, "after").parse().unwrap_or(0),
                Duration::from_millis(query(&target, "wait_ms").parse().unwrap_or(0)),
            ),
            "/-/kv-lease" => {
                let mut state = self.state.0.lock().expect("the store");
                let ttl_ms = json_number(&body, "ttl_time").unwrap_or(1000).max(1000);
                let ttl = Duration::from_millis(ttl_ms);
                state.next_lease += 1;
                let lease = 70_000 + state.next_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!(r#"{{"lease":{lease},"ttl_time":{ttl_ms}}}"#))
            }
            "/-/kv-txn" => self.write(&body),
            _ => self.lease_call(path),
        }
    }

    fn lease_call(&self, path: &str) -> (u16, String) {
        let mut state = self.state.0.lock().expect("the store");
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        if path.starts_with("/-/kv-keep/") {
            return match state.leases.get_mut(&id) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    (200, format!(r#"{{"ttl_time":{}}}"#, ttl.as_millis()))
                }
                None => (404, "{}".into()),
            };
        }
        let known = path.starts_with("/-/kv-lease-end/") && state.end_lease(id);
        (if known { 200 } else { 404 }, "{}".into())
    }

    /// One unconditional write of one key, the only kind that the instances send.
    fn write(&self, body: &str) -> (u16, String) {
        let (Some(key), Some(value)) = (json_text(body, "key"), json_text(body, "value")) else {
            return (400, "{}".into());
        };
        let lease = json_number(body, "lease").unwrap_or(0);
        let mut state = self.state.0.lock().expect("the store");
        if lease != 0 && !state.leases.contains_key(&lease) {
            return (404, "{}".into());
        }
        let revision = state.put(key, &unbase64(value), lease);
        drop(state);
        self.state.1.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().expect("the store");
        let found: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let more = found.len() > 500;
        let items = found[..found.len().min(500)].join(",");
        let revision = state.revision;
        (200, format!(r#"{{"items":[{items}],"has_more":{more},"current_rev":{revision}}}"#))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().expect("the store");
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .map(|event| match &event.value {
                    Some(value) => format!(
                        r#"{{"key":"{}","value":"{}","revision":{},"create_rev":1,"lease":0}}"#,
                        event.key,
                        base64(value),
                        event.revision
                    ),
                    None => format!(
                        r#"{{"key":"{}","revision":{},"removed":true}}"#,
                        event.key, event.revision
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"current_rev":{revision}}}"#));
            }
            state = self.state.1.wait_timeout(state, left).expect("the store").0;
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Backend servers.

/// A request that a backend server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub target: String,
    /// The workspace (tenant) that the instance named.
    pub tenant: String,
    /// Milliseconds since the start of the case.
    pub began_ms: u64,
    /// When its response was sent; `None` while it runs or if the connection ended before.
    pub ended_ms: Option<u64>,
    /// When its connection was found closed by the instance before the end of the work.
    pub cut_ms: Option<u64>,
}

/// What all stand-ins write down.
#[derive(Debug)]
pub struct Journal {
    pub started: Instant,
    pub runs: Mutex<Vec<Run>>,
    lines: Mutex<Vec<String>>,
}

impl Journal {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { started: Instant::now(), runs: Mutex::default(), lines: Mutex::default() })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: &str) {
        println!("{:>7} ms  {line}", self.now_ms());
        self.lines.lock().expect("the journal").push(format!("{:>7} ms  {line}", self.now_ms()));
    }

    /// Writes what was sent, answered and run.
    pub fn write(&self, path: &Path) {
        let mut text = self.lines.lock().expect("the journal").join("\n");
        text += "\n\nrun by backend servers (id, server, target, tenant, began, ended, cut; ms):\n";
        for run in self.runs.lock().expect("the journal").iter() {
            let show = |at: Option<u64>| at.map_or_else(|| "-".to_owned(), |at| at.to_string());
            text += &format!(
                "{} {} {} {} {} {} {}\n",
                run.id,
                run.server,
                run.target,
                run.tenant,
                run.began_ms,
                show(run.ended_ms),
                show(run.cut_ms)
            );
        }
        let _ = std::fs::write(path, text);
    }
}

/// A sound backend server. How long it works stands in the query of a request (`work_ms`).
#[derive(Debug)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    slots: usize,
    journal: Arc<Journal>,
    busy: Mutex<usize>,
}

impl Server {
    pub fn spawn(id: &str, slots: usize, journal: &Arc<Journal>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let journal = Arc::clone(journal);
        let server =
            Arc::new(Self { id: id.to_owned(), address, slots, journal, busy: Mutex::new(0) });
        let served = Arc::clone(&server);
        serve(listener, move |stream| served.serve_connection(stream));
        server
    }

    /// Its entry in the store.
    pub fn entry(&self, service: &str, zone: &str, sequence: u64) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":{},"state":"ready","warmup_ms":0,"seq":{sequence}}}"#,
            self.address, self.slots
        )
    }

    fn load(&self) -> String {
        format!("{},0,{}", self.busy.lock().expect("the server"), self.slots)
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
            if self.respond(&mut stream, &request).is_err() {
                return;
            }
        }
    }

    fn respond(&self, stream: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        if request.target() == "/health" {
            let fields = [("X-Instance-Id", self.id.clone()), ("X-Server-Load", self.load())];
            return write_response(stream, 200, &fields, b"");
        }
        let id = request.field("x-request-id").unwrap_or("").to_owned();
        let id_field = ("X-Request-Id", id.clone());
        if id.is_empty() {
            return write_response(stream, 400, &[("X-Not-Executed", "1".into())], b"");
        }
        if request.field("x-target-instance").is_some_and(|target| target != self.id) {
            let fields = [id_field, ("X-Instance-Id", self.id.clone())];
            return write_response(stream, 421, &fields, b"");
        }
        {
            let mut busy = self.busy.lock().expect("the server");
            if *busy >= self.slots {
                drop(busy);
                let fields =
                    [id_field, ("X-Not-Executed", "1".into()), ("X-Server-Load", self.load())];
                return write_response(stream, 503, &fields, b"");
            }
            *busy += 1;
        }
        let at = {
            let mut runs = self.journal.runs.lock().expect("the journal");
            runs.push(Run {
                id: id.clone(),
                server: self.id.clone(),
                target: request.target().to_owned(),
                tenant: request.field("x-tenant").unwrap_or("-").to_owned(),
                began_ms: self.journal.now_ms(),
                ended_ms: None,
                cut_ms: None,
            });
            runs.len() - 1
        };
        let work = Duration::from_millis(query(request.target(), "work_ms").parse().unwrap_or(5));
        let whole = self.work(stream, work);
        *self.busy.lock().expect("the server") -= 1;
        if !whole {
            self.journal.runs.lock().expect("the journal")[at].cut_ms = Some(self.journal.now_ms());
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let fields = [
            id_field,
            ("X-Response-Signature", format!("sig-{id}")),
            ("X-Server-Load", self.load()),
        ];
        let written = write_response(stream, 200, &fields, format!("done {id}").as_bytes());
        self.journal.runs.lock().expect("the journal")[at].ended_ms = Some(self.journal.now_ms());
        written
    }

    /// Works for some time; `false` if the connection is closed meanwhile, which drops the request.
    fn work(&self, stream: &mut TcpStream, work: Duration) -> bool {
        let until = Instant::now() + work;
        let mut probe = [0_u8; 1];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let _ = stream.set_read_timeout(None);
                return true;
            }
            let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            match stream.peek(&mut probe) {
                Ok(0) => return false,
                Ok(_) => thread::sleep(left),
                Err(err)
                    if matches!(
                        err.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return false,
            }
        }
    }
}

/// Lists servers in the store and keeps their entries alive as servers do.
pub fn keep_listed(store: &Store, servers: Vec<(Arc<Server>, String, String)>) {
    let store = store.clone();
    for (server, service, zone) in &servers {
        store.put(&format!("servers/{}", server.id), &server.entry(service, zone, 1));
    }
}

// ---------------------------------------------------------------------------------------------
// Instances, started with the command and the template of the deploy file.

/// What the platform fills into the template for one instance.
#[derive(Clone, Debug)]
pub struct Node {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub directory: SocketAddr,
    pub inner: u16,
}

impl Node {
    pub fn new(name: &str, zone: &str, number: u8) -> Self {
        let ip = Ipv4Addr::new(127, 0, 9, number);
        let [front, ready, control, directory, inner] = free_addresses(ip);
        let (name, zone, inner) = (name.into(), zone.into(), inner.port());
        Self { name, zone, ip, front, ready, control, directory, inner }
    }
}

/// The values of the settings that all instances share.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub store: SocketAddr,
    pub zones: Vec<String>,
    pub seeds: Vec<SocketAddr>,
    pub bootstrap: bool,
    pub bounds: Vec<(&'static str, &'static str)>,
}

impl Deployment {
    fn value(&self, node: &Node, name: &str) -> Option<String> {
        let bound = name.strip_prefix("bounds.");
        if let Some(bound) = bound {
            let found = self.bounds.iter().find(|(known, _)| *known == bound);
            return found.map(|(_, value)| (*value).to_owned());
        }
        Some(match name {
            "node" => node.name.clone(),
            "zone" => node.zone.clone(),
            "ip" => node.ip.to_string(),
            "listen.front" => node.front.to_string(),
            "listen.ready" => node.ready.to_string(),
            "listen.control" => node.control.to_string(),
            "listen.directory" => node.directory.to_string(),
            "internal_ports.0" => node.inner.to_string(),
            "platform.address" => self.store.to_string(),
            "limits.cpu_share" => "0.2".into(),
            "limits.cores" => "1".into(),
            "limits.link_mbps" => "1000".into(),
            "limits.memory_mb" => "260".into(),
            "bootstrap" => self.bootstrap.to_string(),
            _ => return None,
        })
    }

    /// Fills in the template: values, and sections over a list, a table or a value that is there.
    fn render(&self, node: &Node, template: &str) -> String {
        let mut text = String::new();
        let mut rest = template;
        while let Some(at) = rest.find("{{") {
            text += &rest[..at];
            rest = &rest[at + 2..];
            let end = rest.find("}}").expect("a closed placeholder");
            let name = &rest[..end];
            rest = &rest[end + 2..];
            let Some(section) = name.strip_prefix('#') else {
                text += &self.value(node, name).unwrap_or_default();
                continue;
            };
            let close = format!("{{{{/{section}}}}}");
            let close_at = rest.find(&close).expect("a closed section");
            let inner = &rest[..close_at];
            rest = &rest[close_at + close.len()..];
            let entries: Vec<String> = match section {
                "seeds" => self.seeds.iter().map(ToString::to_string).collect(),
                "zones" => self.zones.clone(),
                _ => {
                    let value = self.value(node, section).filter(|value| value != "false");
                    value.into_iter().collect()
                }
            };
            for (index, entry) in entries.iter().enumerate() {
                let comma = if index + 1 < entries.len() { "," } else { "" };
                let filled = inner.replace("{{.}}", entry).replace("{{@}}", entry);
                let filled = filled.replace("{{,}}", comma);
                text += &self.render(node, &filled);
            }
        }
        text + rest
    }
}

/// A running instance; killed on drop.
#[derive(Debug)]
pub struct Instance {
    pub node: Node,
    pub child: Child,
}

impl Instance {
    /// Starts it with the command of the deploy file, in the repository's root.
    pub fn start(node: &Node, deployment: &Deployment, dir: &Path) -> Self {
        let template = std::fs::read_to_string("deploy/settings.json5").expect("the template");
        let settings = dir.join(format!("{}.json5", node.name));
        std::fs::write(&settings, deployment.render(node, &template)).expect("settings");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(dir.join(format!("{}.log", node.name)))
            .expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(deploy_command())
            .env("SORRELWICK_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file");
        Self { node: node.clone(), child }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }

    pub fn is_ready(&self) -> bool {
        let asked = call(self.node.ready, "GET /-/readiness", &[], b"", Duration::from_secs(1));
        asked.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn deploy_command() -> String {
    let text = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("a command");
    line.split('"').nth(1).expect("a command").to_owned()
}

/// Prints the last lines of the logs of instances that are not ready.
fn print_unready(instances: &[Instance]) {
    for instance in instances.iter().filter(|instance| !instance.is_ready()) {
        let name = &instance.node.name;
        let log = temporary_folder().join(format!("{name}.log"));
        let text = std::fs::read_to_string(log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        println!("{name} is not ready:\n{}", lines[lines.len().saturating_sub(5)..].join("\n"));
    }
}

/// Waits until all instances are ready; `false` after `limit`.
pub fn wait_until_ready(instances: &[Instance], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if instances.iter().all(Instance::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    print_unready(instances);
    false
}

// ---------------------------------------------------------------------------------------------
// Clients.

/// A connection of a client.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, rest: Vec::new() })
    }

    pub fn send(
        &mut self,
        line: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut head = format!("{line} HTTP/1.1\r\n");
        for (name, value) in fields {
            head += &format!("{name}: {value}\r\n");
        }
        if !body.is_empty() {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// The next response; `Ok(None)` if the connection is closed without one.
    pub fn receive(&mut self, limit: Duration) -> std::io::Result<Option<Message>> {
        self.stream.set_read_timeout(Some(limit))?;
        read_message(&mut self.stream, &mut self.rest)
    }
}

/// One request on a new connection.
pub fn call(
    address: SocketAddr,
    line: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> std::io::Result<Message> {
    let mut connection = Connection::open(address)?;
    let mut all = vec![("Host", "any")];
    all.extend(fields.iter().filter(|(name, _)| *name != "Host"));
    if let Some(host) = fields.iter().find(|(name, _)| *name == "Host") {
        all[0] = *host;
    }
    connection.send(line, &all, body)?;
    let received = connection.receive(limit)?;
    let _ = connection.stream.shutdown(Shutdown::Both);
    received.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

/// Asks a directory for addresses.
pub fn resolve(directory: SocketAddr, zone: &str) -> Vec<SocketAddr> {
    let line = format!("GET /-/resolve?name=shop.example&region=r&zone={zone}");
    let Ok(answer) = call(directory, &line, &[], b"", Duration::from_secs(1)) else {
        return Vec::new();
    };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let list = text.split_once("[").and_then(|(_, rest)| rest.split_once(']'));
    let list = list.map_or("", |(list, _)| list).to_owned();
    list.split(',').filter_map(|item| item.trim_matches('"').parse().ok()).collect()
}

/// A number that no other request has.
pub fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", 0x9c41_d07b_0000_0000 + NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn temporary_folder() -> PathBuf {
    let path = std::env::var("CASE_TMP").expect("CASE_TMP names a temporary folder");
    PathBuf::from(path)
}

pub static STOP: AtomicBool = AtomicBool::new(false);

#[path = "4/case.rs"]
mod case_4;
#[path = "5/case.rs"]
mod case_5;
#[path = "6/case.rs"]
mod case_6;
#[path = "7/case.rs"]
mod case_7;
#[path = "8/case.rs"]
mod case_8;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let record = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| "record.txt".into()));
    let journal = Journal::new();
    let code = match name.as_str() {
        "4" => case_4::doubled_check_answer(&journal),
        "5" => case_5::orders_taken_after_a_stop(&journal),
        "6" => case_6::two_lost_watch_answers(&journal),
        "7" => case_7::seeds_down_at_a_start(&journal),
        "8" => case_8::raised_header_limit(&journal),
        _ => NOT_RUN,
    };
    let word = match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case could not run",
    };
    journal.note(&format!("exit {code}: {word}"));
    journal.write(&record);
    std::process::exit(code);
}
