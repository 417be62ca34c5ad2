//! Stand-ins and clients for the cases of this review: the platform's store, backend servers and
//! clients in this process, instances as processes of their own. Uses the standard library only.
//!
//! Usage: `bed CASE FOLDER`; writes `record.txt` to the folder. Exit code 1: the rule was broken;
//! 0: it held; 2: the case could not run. With `TROUBLE=0` the disruption is left out.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs::File;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
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

/// The daemon, as the deploy file starts it.
const PROGRAM: &str = "target/release/platform";
/// Time that the store takes for an answer, as on the site sheets.
const STORE_ANSWER: Duration = Duration::from_millis(4);
/// Items on one page of the store ("at most about 500").
const PAGE_ITEMS: usize = 500;
/// A backend server closes a connection that is idle for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// `drain` of the deployment.
const DRAIN: Duration = Duration::from_secs(2);

// ---------------------------------------------------------------------------------------------
// Record

/// The record of a run: one line for each event, with the seconds since the start.
struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    fn line(&self, text: &str) {
        let line = format!("{:9.4} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// A small generator of random numbers (xorshift).
struct Random(u64);

impl Random {
    fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// The head of a request or a response.
struct Head {
    first: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    fn length(&self) -> usize {
        self.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection and the bytes received on it that are not consumed yet.
struct Conn {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Conn {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, input: Vec::new() }
    }

    fn read_more(&mut self) -> std::io::Result<()> {
        let mut bytes = [0_u8; 64 << 10];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.input.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    fn read_head(&mut self) -> std::io::Result<Head> {
        let end = loop {
            if let Some(end) = self.input.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            self.read_more()?;
        };
        let text = String::from_utf8_lossy(&self.input[..end]).into_owned();
        self.input.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers = pairs
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Head { first, headers })
    }

    fn read_bytes(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        while self.input.len() < count {
            self.read_more()?;
        }
        Ok(self.input.drain(..count).collect())
    }

    /// Whether the other side has closed the connection.
    fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0_u8; 1]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}

fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// What a client saw of one attempt.
#[derive(Clone, Debug)]
struct Seen {
    /// 0 without a head.
    status: u16,
    bytes: usize,
    whole: bool,
    /// How it ended: `whole`, `closed` or `left` (the client's own deadline).
    end: &'static str,
    server: String,
}

/// Sends a request and reads the whole answer, until `deadline` at most.
fn exchange(conn: &mut Conn, request: &[u8], deadline: Instant) -> Seen {
    let mut seen = Seen { status: 0, bytes: 0, whole: false, end: "closed", server: String::new() };
    if conn.stream.write_all(request).is_err() {
        return seen;
    }
    let mut length = None;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            seen.end = "left";
            return seen;
        }
        let _ = conn.stream.set_read_timeout(Some(left));
        if length.is_none() && conn.input.windows(4).any(|part| part == b"\r\n\r\n") {
            let Ok(head) = conn.read_head() else {
                return seen;
            };
            seen.status = head.status();
            seen.server = head.get("x-response-signature").unwrap_or("").to_owned();
            length = Some(head.length());
        }
        if let Some(length) = length {
            seen.bytes += conn.input.len();
            conn.input.clear();
            if seen.bytes >= length {
                (seen.whole, seen.end) = (true, "whole");
                return seen;
            }
        }
        match conn.read_more() {
            Ok(()) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return seen,
        }
    }
}

/// One call on a connection of its own; status 0 if there was no answer.
fn call(address: SocketAddr, path: &str) -> (u16, String) {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return (0, String::new());
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut conn = Conn::new(stream);
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
    if conn.stream.write_all(request.as_bytes()).is_err() {
        return (0, String::new());
    }
    let Ok(head) = conn.read_head() else {
        return (0, String::new());
    };
    let body = conn.read_bytes(head.length()).unwrap_or_default();
    (head.status(), String::from_utf8_lossy(&body).into_owned())
}

// ---------------------------------------------------------------------------------------------
// Base64

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |at: usize| u32::from(part.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let symbol = BASE64[(bits >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at > part.len() { '=' } else { symbol });
        }
    }
    text
}

fn from_base64(text: &str) -> Vec<u8> {
    let (mut bits, mut count, mut bytes) = (0_u32, 0, Vec::new());
    for symbol in text.bytes() {
        let Some(value) = BASE64.iter().position(|known| *known == symbol) else {
            break;
        };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 255) as u8);
        }
    }
    bytes
}

// ---------------------------------------------------------------------------------------------
// The platform's store

/// A change of the store: its revision, the key, and the value unless the key was removed.
type Change = (u64, String, Option<Vec<u8>>);

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    history: Vec<Change>,
    leases: u64,
}

/// Called with the number of the listener when a first page of `servers/` has been read there.
type PageHook = Box<dyn Fn(usize) + Send + Sync>;

/// The platform's store. Each instance has a listener of its own, which tells who calls.
struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    first_page_read: Mutex<Option<PageHook>>,
}

impl Store {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            first_page_read: Mutex::new(None),
        })
    }

    /// Writes or removes a key; returns the revision.
    fn write(&self, key: &str, value: Option<Vec<u8>>) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => drop(state.items.insert(key.to_owned(), (value.clone(), revision))),
            None => drop(state.items.remove(key)),
        }
        state.history.push((revision, key.to_owned(), value));
        self.changed.notify_all();
        revision
    }

    fn put(&self, key: &str, value: &str) -> u64 {
        self.write(key, Some(value.as_bytes().to_vec()))
    }

    fn listen(self: &Arc<Self>, number: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve(Conn::new(stream), number));
            }
        });
        address
    }

    fn serve(&self, mut conn: Conn, number: usize) {
        while let Ok(head) = conn.read_head() {
            let Ok(body) = conn.read_bytes(head.length()) else {
                return;
            };
            let (status, body) = self.answer(&head.first, &body, number);
            let json = [("Content-Type", "application/json")];
            if conn.stream.write_all(&response(status, &json, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, first: &str, body: &[u8], number: usize) -> (&'static str, String) {
        let target = first.split(' ').nth(1).unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
        };
        match path {
            "/-/kv-range" => {
                let page = self.page(query("prefix"), query("after"));
                if query("after").is_empty()
                    && query("stale_ok").is_empty()
                    && query("prefix") == "servers/"
                    && let Some(hook) = &*self.first_page_read.lock().unwrap()
                {
                    hook(number);
                }
                thread::sleep(STORE_ANSWER);
                ("200 OK", page)
            }
            "/-/kv-watch" => {
                let after = query("after").parse().unwrap_or(0);
                let wait_ms = query("wait_ms").parse().unwrap_or(0);
                let events = self.watch(query("prefix"), after, Duration::from_millis(wait_ms));
                thread::sleep(STORE_ANSWER);
                ("200 OK", events)
            }
            "/-/kv-lease" => {
                let mut state = self.state.lock().unwrap();
                state.leases += 1;
                ("200 OK", format!("{{\"lease\":{},\"ttl_time\":60000}}", state.leases))
            }
            "/-/kv-txn" => {
                let text = String::from_utf8_lossy(body).into_owned();
                let field = |name: &str| {
                    let from = text.split(&format!("\"{name}\":\"")).nth(1)?;
                    from.split('"').next().map(str::to_owned)
                };
                if let (Some(key), Some(value)) = (field("key"), field("value")) {
                    self.write(&key, Some(from_base64(&value)));
                }
                ("200 OK", format!("{{\"revision\":{}}}", self.state.lock().unwrap().revision))
            }
            "/-/kv-key" => ("404 Not Found", "{}".to_owned()),
            path if path.starts_with("/-/kv-keep/") => ("200 OK", "{\"ttl_time\":60000}".into()),
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    fn page(&self, prefix: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let from = if after.is_empty() { prefix } else { after };
        let matching = state.items.range(from.to_owned()..);
        let matching = matching.filter(|(key, _)| key.starts_with(prefix) && *key != after);
        let mut items = Vec::new();
        let mut has_more = false;
        for (key, (value, revision)) in matching {
            if items.len() == PAGE_ITEMS {
                has_more = true;
                break;
            }
            let value = to_base64(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
                 \"create_rev\":{revision},\"lease\":0}}"
            ));
        }
        let (items, revision) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"has_more\":{has_more},\"current_rev\":{revision}}}")
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => format!(
                        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision}}}",
                        to_base64(value)
                    ),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"current_rev\":{revision}}}");
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Backend servers

/// How the servers of a service work.
#[derive(Clone)]
struct Work {
    slots: u32,
    queue: u32,
    mean_ms: f64,
    /// Whether answers have `X-Server-Load`; if not, a health check needs a slot as well.
    tells_load: bool,
    body_bytes: usize,
    /// Time over which the body is sent.
    body_time: Duration,
}

/// Time windows in which some servers send some answers a second time, late.
#[derive(Default)]
struct SecondAnswers {
    /// Answers of these servers in the window, and those that are sent a second time.
    answers: u64,
    repeated: u64,
}

impl SecondAnswers {
    /// Largest share of the answers that are sent a second time.
    const SHARE_MAX: f64 = 0.03;

    /// Counts an answer; returns whether it may be sent a second time.
    fn count(&mut self, wanted: bool) -> bool {
        self.answers += 1;
        let in_share = (self.repeated + 1) as f64 <= Self::SHARE_MAX * self.answers as f64;
        let repeat = wanted && in_share;
        self.repeated += u64::from(repeat);
        repeat
    }
}

#[derive(Default)]
struct Slots {
    running: u32,
    waiting: u32,
}

/// One run of a request: when it began, and at which server.
type Runs = Mutex<HashMap<String, Vec<(f64, String)>>>;

struct Server {
    id: String,
    address: SocketAddr,
    work: Work,
    slots: Mutex<Slots>,
    freed: Condvar,
    /// Whether it sends some answers a second time now.
    repeats: AtomicBool,
    second_answers: Arc<Mutex<SecondAnswers>>,
    /// Leaves: its health check fails, and it closes connections after each answer.
    leaving: AtomicBool,
    /// Ended: it takes no connection and no request.
    ended: AtomicBool,
    /// Number of power losses; connections from before one stay silent.
    outages: AtomicU64,
    dark: AtomicBool,
    runs: Arc<Runs>,
    record: Arc<Record>,
    random: Mutex<Random>,
}

/// How the wait for a slot ended.
enum SlotWait {
    Got,
    Full,
    Left,
    Late,
}

impl Server {
    fn start(
        id: &str,
        work: &Work,
        runs: &Arc<Runs>,
        record: &Arc<Record>,
        second_answers: &Arc<Mutex<SecondAnswers>>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let seed = id.bytes().fold(7, |seed: u64, byte| seed * 31 + u64::from(byte)) | 1;
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            work: work.clone(),
            slots: Mutex::default(),
            freed: Condvar::new(),
            repeats: AtomicBool::new(false),
            second_answers: Arc::clone(second_answers),
            leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            outages: AtomicU64::new(0),
            dark: AtomicBool::new(false),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
            random: Mutex::new(Random(seed)),
        });
        let own = Arc::clone(&server);
        let accept = move || {
            for stream in listener.incoming().flatten() {
                if own.ended.load(Ordering::Acquire) {
                    return;
                }
                let own = Arc::clone(&own);
                let _ = thread::Builder::new()
                    .stack_size(256 << 10)
                    .spawn(move || own.serve(Conn::new(stream)));
            }
        };
        thread::Builder::new().stack_size(128 << 10).spawn(accept).unwrap();
        server
    }

    fn entry(&self, service: &str, zone: &str, seq: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"warmup_ms\":0,\"seq\":{seq}}}",
            self.address, self.work.slots
        )
    }

    /// Whether the connection belongs to a process that lost power; it stays silent then.
    fn is_silent(&self, outages: u64) -> bool {
        self.dark.load(Ordering::Acquire) || self.outages.load(Ordering::Acquire) != outages
    }

    /// Keeps a connection open without a word, until the other side closes it.
    fn stay_silent(&self, conn: &Conn) {
        while !conn.is_closed() {
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn serve(&self, mut conn: Conn) {
        let outages = self.outages.load(Ordering::Acquire);
        // The second copy of an answer, sent where the next answer is expected.
        let mut late_copy: Option<Vec<u8>> = None;
        loop {
            let _ = conn.stream.set_read_timeout(Some(IDLE_TIMEOUT));
            let Ok(head) = conn.read_head() else {
                return;
            };
            let Ok(_) = conn.read_bytes(head.length()) else {
                return;
            };
            if self.is_silent(outages) {
                return self.stay_silent(&conn);
            }
            if self.ended.load(Ordering::Acquire) {
                return;
            }
            let health = head.first.starts_with("GET /health ");
            if let Some(copy) = late_copy.take() {
                let id = head.get("x-request-id").unwrap_or("(health check)");
                self.record.line(&format!("{} second answer sent before that to {id}", self.id));
                if conn.stream.write_all(&copy).is_err() {
                    return;
                }
            }
            let answered = if health {
                self.answer_health(&mut conn, &mut late_copy)
            } else {
                self.answer_request(&mut conn, &head, outages)
            };
            if !answered || self.leaving.load(Ordering::Acquire) {
                return;
            }
        }
    }

    /// Counts an answer; returns whether to send it a second time.
    fn count_answer(&self, wanted: bool) -> bool {
        self.repeats.load(Ordering::Acquire) && self.second_answers.lock().unwrap().count(wanted)
    }

    fn load(&self) -> String {
        let slots = self.slots.lock().unwrap();
        format!("{},{},{},100", slots.running, slots.waiting, self.work.slots)
    }

    fn answer_health(&self, conn: &mut Conn, late_copy: &mut Option<Vec<u8>>) -> bool {
        let mut rejected = false;
        if !self.work.tells_load {
            match self.wait_for_slot(conn, Instant::now() + IDLE_TIMEOUT) {
                SlotWait::Got => {
                    thread::sleep(Duration::from_millis(1));
                    self.free_slot();
                }
                SlotWait::Full => rejected = true,
                SlotWait::Left | SlotWait::Late => return false,
            }
        }
        let leaving = self.leaving.load(Ordering::Acquire);
        let status = if rejected || leaving { "503 Service Unavailable" } else { "200 OK" };
        let load = self.load();
        let mut headers = vec![("X-Instance-Id", self.id.as_str()), ("Keep-Alive", "timeout=10")];
        if rejected {
            headers.push(("X-Not-Executed", "1"));
        }
        if self.work.tells_load {
            headers.push(("X-Server-Load", &load));
        }
        if leaving {
            headers.push(("Connection", "close"));
        }
        let answer = response(status, &headers, b"");
        if self.count_answer(rejected) {
            *late_copy = Some(answer.clone());
        }
        conn.stream.write_all(&answer).is_ok()
    }

    fn wait_for_slot(&self, conn: &Conn, until: Instant) -> SlotWait {
        let mut slots = self.slots.lock().unwrap();
        if slots.running < self.work.slots {
            slots.running += 1;
            return SlotWait::Got;
        }
        if slots.waiting >= self.work.queue {
            return SlotWait::Full;
        }
        slots.waiting += 1;
        let end = loop {
            slots = self.freed.wait_timeout(slots, Duration::from_millis(5)).unwrap().0;
            if slots.running < self.work.slots {
                slots.running += 1;
                break SlotWait::Got;
            }
            if Instant::now() >= until {
                break SlotWait::Late;
            }
            if conn.is_closed() {
                break SlotWait::Left;
            }
        };
        slots.waiting -= 1;
        end
    }

    fn free_slot(&self) {
        self.slots.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }

    fn answer_request(&self, conn: &mut Conn, head: &Head, outages: u64) -> bool {
        let not_run = ("X-Not-Executed", "1");
        let Some(id) = head.get("x-request-id").map(str::to_owned) else {
            return conn.stream.write_all(&response("400 Bad Request", &[not_run], b"")).is_ok();
        };
        let echoed = ("X-Request-Id", id.as_str());
        if head.get("x-target-instance").is_some_and(|target| target != self.id) {
            let answer = response("421 Misdirected Request", &[echoed, not_run], b"");
            return conn.stream.write_all(&answer).is_ok();
        }
        let allowed_ms = head.get("x-request-timeout-ms").and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(allowed_ms.unwrap_or(10_000));
        self.record.line(&format!("{} gets {id}", self.id));
        match self.wait_for_slot(conn, until) {
            SlotWait::Got => {}
            SlotWait::Left => return false,
            SlotWait::Full | SlotWait::Late => {
                self.count_answer(false);
                self.record.line(&format!("{} rejects {id}, full", self.id));
                let answer = response("503 Service Unavailable", &[echoed, not_run], b"");
                return conn.stream.write_all(&answer).is_ok();
            }
        }
        let began_s = self.record.now_s();
        let begun = (began_s, self.id.clone());
        self.runs.lock().unwrap().entry(id.clone()).or_default().push(begun);
        self.record.line(&format!("{} runs {id}", self.id));
        let answered = self.run(conn, &id, until, outages);
        self.free_slot();
        answered
    }

    /// Does the work of a request and answers it. Stops when its connection closes, or when its
    /// time is over.
    fn run(&self, conn: &mut Conn, id: &str, until: Instant, outages: u64) -> bool {
        let factor = 0.7 + 0.6 * self.random.lock().unwrap().unit();
        let end = Instant::now() + Duration::from_secs_f64(self.work.mean_ms * factor / 1000.0);
        let echoed = ("X-Request-Id", id);
        while Instant::now() < end {
            thread::sleep(Duration::from_millis(5).min(end - Instant::now().min(end)));
            if self.is_silent(outages) {
                self.stay_silent(conn);
                return false;
            }
            if conn.is_closed() {
                self.record.line(&format!("{} drops {id}, connection closed", self.id));
                return false;
            }
            if Instant::now() >= until {
                let answer = response("504 Gateway Timeout", &[echoed], b"");
                return conn.stream.write_all(&answer).is_ok();
            }
        }
        self.count_answer(false);
        let signature = format!("s-{}-{id}", self.id);
        let load = self.load();
        let mut headers = vec![
            echoed,
            ("X-Response-Signature", signature.as_str()),
            ("Keep-Alive", "timeout=10"),
        ];
        if self.work.tells_load {
            headers.push(("X-Server-Load", &load));
        }
        if self.leaving.load(Ordering::Acquire) {
            headers.push(("Connection", "close"));
        }
        let body = vec![b'x'; self.work.body_bytes];
        let answer = response("200 OK", &headers, &body);
        if self.work.body_time.is_zero() {
            return conn.stream.write_all(&answer).is_ok();
        }
        let parts = 50;
        for part in answer.chunks(answer.len().div_ceil(parts)) {
            if self.is_silent(outages) {
                self.record.line(&format!("{} falls silent while it answers {id}", self.id));
                self.stay_silent(conn);
                return false;
            }
            if conn.stream.write_all(part).is_err() {
                return false;
            }
            thread::sleep(self.work.body_time / parts as u32);
        }
        true
    }
}

// ---------------------------------------------------------------------------------------------
// Instances

struct Instance {
    name: String,
    zone: &'static str,
    store: SocketAddr,
    caller: SocketAddr,
    ready: SocketAddr,
    peer: SocketAddr,
    directory: SocketAddr,
    status: SocketAddr,
    dir: PathBuf,
    child: Option<Child>,
    starts: u32,
}

/// Processes that run, for the watchdog.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and the case if it takes longer than it may.
fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(118));
        for process in PROCESSES.lock().unwrap().iter() {
            let _ = Command::new("sh").args(["-c", &format!("kill -KILL {process}")]).status();
        }
        std::process::exit(2);
    });
}

/// Free ports at a loopback address that no other instance, server or run uses: a port that is
/// free now stays free until the instance listens there.
fn free_addresses(number: usize, count: usize) -> Vec<SocketAddr> {
    let process = std::process::id();
    let ip = format!("127.{}.{}.{}", 16 + (process >> 8) % 200, process % 256, number + 1);
    let bind = |_| TcpListener::bind((ip.as_str(), 0)).unwrap();
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
    listeners.iter().map(|listener| listener.local_addr().unwrap()).collect()
}

impl Instance {
    fn settings(&self, seeds: &[SocketAddr], first_start: bool) -> String {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (name, zone, caller, peer) = (&self.name, self.zone, self.caller, self.peer);
        let (ready, directory, store) = (self.ready, self.directory, self.store);
        let (status, seeds) = (self.status, seeds.join(","));
        format!(
            r#"{{
  instance: {{ name: "{name}", zone: "{zone}", cpu_share: 0.2, cores: 1, link_mbps: 1000.0 }},
  listen: {{ caller: "{caller}", operator: "127.0.0.1:1", peer: "{peer}", status: "{status}" }},
  peers: {{ secret: "sorrelwick-instances", seeds: [{seeds}], ping_interval_ms: 250,
    ping_timeout_ms: 200, suspect_timeout_ms: 600, list_interval_ms: 30000 }},
  log: {{ level: "info", format: "json" }},
  requests: {{ connections_max: 3000 }},
  gateway: {{ readiness: "{ready}", addresses: "{directory}", store: "{store}", grace_s: 6,
    drain_ms: 2000, config_apply_ms: 2000, address_keep_max_s: 5, repeat_ratio: 0.2,
    repeat_window_s: 10, repeat_slack: 64, probes_per_s_max: 60, first_start: {first_start},
    start_hold_ms: 500, zones: ["a", "b", "c"], memory_max_mb: 260 }},
}}"#
        )
    }

    fn start(&mut self, seeds: &[SocketAddr]) {
        let file = self.dir.join(format!("{}.json5", self.name));
        std::fs::write(&file, self.settings(seeds, self.starts == 0)).unwrap();
        self.starts += 1;
        let log = self.dir.join(format!("{}-{}.log", self.name, self.starts));
        let log = File::create(log).unwrap();
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("SORRELWICK_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = child.ok();
        PROCESSES.lock().unwrap().extend(self.child.as_ref().map(Child::id));
    }

    /// Kills a process that still runs, and forgets it.
    fn end(child: &mut Child) {
        let _ = child.kill();
        let _ = child.wait();
        PROCESSES.lock().unwrap().retain(|process| *process != child.id());
    }

    /// Sends SIGTERM and waits for the end, with SIGKILL after the grace time.
    fn stop(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        let _ = Command::new("sh").args(["-c", &format!("kill -TERM {}", child.id())]).status();
        let until = Instant::now() + Duration::from_secs(6);
        while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(10));
        }
        Self::end(&mut child);
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            Self::end(&mut child);
        }
    }
}

/// A store, and one instance in each of three zones.
struct Bed {
    store: Arc<Store>,
    instances: Vec<Instance>,
    seeds: Vec<SocketAddr>,
    record: Arc<Record>,
    runs: Arc<Runs>,
    second_answers: Arc<Mutex<SecondAnswers>>,
    dir: PathBuf,
    keep_logs: bool,
}

impl Bed {
    fn new(record: &Arc<Record>) -> Self {
        let dir = std::env::temp_dir().join(format!("sorrelwick-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let store = Store::new();
        let instances: Vec<Instance> = ["a", "b", "c"]
            .iter()
            .enumerate()
            .map(|(number, zone)| {
                let addresses = free_addresses(number, 5);
                Instance {
                    name: format!("front-{zone}-1"),
                    zone,
                    store: store.listen(number),
                    caller: addresses[0],
                    ready: addresses[1],
                    peer: addresses[2],
                    directory: addresses[3],
                    status: addresses[4],
                    dir: dir.clone(),
                    child: None,
                    starts: 0,
                }
            })
            .collect();
        let seeds = instances.iter().map(|instance| instance.peer).collect();
        let keep_logs = std::env::var("KEEP_LOGS").is_ok();
        let (record, runs, second_answers) = (Arc::clone(record), Arc::default(), Arc::default());
        Self { store, instances, seeds, record, runs, second_answers, dir, keep_logs }
    }

    /// Starts a server and registers it.
    fn add_server(&self, id: &str, service: &str, zone: &str, work: &Work) -> Arc<Server> {
        let server = Server::start(id, work, &self.runs, &self.record, &self.second_answers);
        self.store.put(&format!("servers/{id}"), &server.entry(service, zone, 1));
        server
    }

    /// Starts all instances; returns whether all are ready in time.
    fn start_instances(&mut self) -> bool {
        for instance in &mut self.instances {
            instance.start(&self.seeds);
        }
        let all_ready = (0..self.instances.len()).all(|at| self.wait_ready(at));
        self.record.line(&format!("all instances are ready: {all_ready}"));
        // The instances find one another, and know what the servers told.
        thread::sleep(Duration::from_secs(3));
        all_ready
    }

    fn wait_ready(&self, at: usize) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if call(self.instances[at].ready, "/-/readiness").0 == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// The address that the directory names to clients of a zone.
    fn resolve(&self, at: usize, host: &str) -> Option<SocketAddr> {
        let Instance { zone, directory, .. } = &self.instances[at];
        let path = format!("/-/resolve?name={host}&region=r&zone={zone}");
        let (_, body) = call(*directory, &path);
        body.split('"').find_map(|part| part.parse().ok())
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        self.instances.clear();
        if self.keep_logs {
            eprintln!("logs: {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// The configuration: its routes and services as JSON.
fn config(routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"connections_max\":260}}")
        })
        .collect();
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"header_bytes_max\":16384,\
         \"body_bytes_max\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn route(name: &str, kind: &str, timeout_ms: u64, aim_ms: u64, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"aim_ms\":{aim_ms},\"attempts_max\":2,\"priority\":1,\
         \"service\":\"{service}\"}}"
    )
}

/// A client's request.
fn request(line: &str, id: &str, timeout_ms: u64, body: &[u8]) -> Vec<u8> {
    let length =
        if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!(
        "{line} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
         X-Request-Timeout-Ms: {timeout_ms}\r\n{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// A client with one kept connection.
struct Client {
    front: SocketAddr,
    conn: Option<Conn>,
    record: Arc<Record>,
}

impl Client {
    fn send(&mut self, line: &str, id: &str, timeout_ms: u64, body: &[u8]) -> Seen {
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        if self.conn.as_ref().is_none_or(Conn::is_closed) {
            let opened = TcpStream::connect_timeout(&self.front, Duration::from_secs(1));
            self.conn = opened.ok().map(Conn::new);
        }
        self.record.line(&format!("client sends {id} to {}", self.front));
        let Some(conn) = &mut self.conn else {
            return Seen {
                status: 0,
                bytes: 0,
                whole: false,
                end: "closed",
                server: String::new(),
            };
        };
        let seen = exchange(conn, &request(line, id, timeout_ms, body), deadline);
        if !seen.whole {
            self.conn = None;
        }
        let Seen { status, bytes, end, server, .. } = &seen;
        self.record.line(&format!("client sees {id}: {status}, {bytes} bytes, {end} {server}"));
        seen
    }
}

/// A verdict: `None` if the case could not run, otherwise whether the rule was broken.
type Verdict = Option<bool>;

// ---------------------------------------------------------------------------------------------
// Case: a late second answer of a rejected health check

/// Clients lodge filings in bursts. The servers tell no load, so a health check of a full server is
/// rejected like any request. Some of these rejections are sent once more, late.
fn late_second_answer(bed: &mut Bed, trouble: bool) -> Verdict {
    const SERVERS: usize = 12;
    const CLIENTS_PER_ZONE: usize = 26;
    const LENGTH_S: f64 = 96.0;
    let work = Work {
        slots: 3,
        queue: 3,
        mean_ms: 290.0,
        tells_load: false,
        body_bytes: 400,
        body_time: Duration::ZERO,
    };
    let routes = [route("filing", "at-most-once", 1200, 800, "ledger")];
    bed.store.put("op/config", &config(&routes, &["ledger"]));
    let zones = ["a", "b", "c"];
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|at| bed.add_server(&format!("i-ledger{at:02}"), "ledger", zones[at % 3], &work))
        .collect();
    if !bed.start_instances() {
        return None;
    }
    // All clients send at the same moments, about once a second.
    let mut random = Random(20_261_204);
    let mut bursts_s = vec![0.0];
    while bursts_s[bursts_s.len() - 1] < LENGTH_S {
        bursts_s.push(bursts_s[bursts_s.len() - 1] + 0.7 + 0.6 * random.unit());
    }
    let bursts_s = Arc::new(bursts_s);
    let began = Instant::now();
    let answers = Arc::new(Mutex::new(HashMap::new()));
    let mut clients = Vec::new();
    for zone in 0..3 {
        let front = bed.resolve(zone, "desk.example")?;
        for number in 0..CLIENTS_PER_ZONE {
            let (record, answers) = (Arc::clone(&bed.record), Arc::clone(&answers));
            let bursts_s = Arc::clone(&bursts_s);
            clients.push(thread::spawn(move || {
                let mut client = Client { front, conn: None, record };
                for (burst, at_s) in bursts_s.iter().enumerate() {
                    let due = began + Duration::from_secs_f64(*at_s);
                    let wait = due.saturating_duration_since(Instant::now());
                    if wait.is_zero() && burst > 0 {
                        continue;
                    }
                    thread::sleep(wait);
                    let id = format!("f{zone}-{number}-{burst}");
                    let seen = client.send("POST /filing/2f", &id, 2000, &[b'f'; 1200]);
                    answers.lock().unwrap().insert(id, seen.status);
                }
            }));
        }
    }
    // Nine times for five seconds, 7 of the 12 servers send at most 3 in 100 of their answers a
    // second time.
    for window in 0..9 {
        thread::sleep(Duration::from_secs(5));
        *bed.second_answers.lock().unwrap() = SecondAnswers::default();
        for server in (0..7).map(|at| &servers[(window * 5 + at) % SERVERS]) {
            server.repeats.store(trouble, Ordering::Release);
        }
        thread::sleep(Duration::from_secs(5));
        for server in &servers {
            server.repeats.store(false, Ordering::Release);
        }
        let SecondAnswers { answers, repeated } = &*bed.second_answers.lock().unwrap();
        bed.record.line(&format!("{repeated} of {answers} answers were sent a second time"));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    let runs = bed.runs.lock().unwrap();
    let (mut twice, mut refused, mut served) = (0, 0, 0);
    let answers = answers.lock().unwrap();
    for (id, status) in &*answers {
        let runs = runs.get(id).map_or(&[][..], Vec::as_slice);
        served += usize::from(*status == 200);
        if runs.len() > 1 {
            twice += 1;
            bed.record.line(&format!("TWICE: {id} ran {runs:?}, answered {status}"));
        }
        if matches!(status, 408 | 421 | 429 | 503) && !runs.is_empty() {
            refused += 1;
            bed.record.line(&format!("REFUSED: {id} ran {runs:?}, answered {status}"));
        }
    }
    bed.record.line(&format!(
        "{} requests, {served} answered 200; ran twice: {twice}; refused though run: {refused}",
        answers.len()
    ));
    if served * 2 < answers.len() {
        return None;
    }
    Some(twice + refused > 0)
}

// ---------------------------------------------------------------------------------------------
// Case: downloads from servers that lose power

/// Clients download bundles larger than what an instance buffers. Some servers lose power while they
/// answer.
fn stalled_download(bed: &mut Bed, trouble: bool) -> Verdict {
    const SERVERS: usize = 20;
    const CLIENTS_PER_ZONE: usize = 14;
    const ROUTE_TIMEOUT_MS: u64 = 1500;
    const CLIENT_TIMEOUT_MS: u64 = 4000;
    const LENGTH: Duration = Duration::from_secs(72);
    let work = Work {
        slots: 3,
        queue: 6,
        mean_ms: 130.0,
        tells_load: true,
        body_bytes: 530_000,
        body_time: Duration::from_millis(600),
    };
    let routes = [route("bundle", "download", ROUTE_TIMEOUT_MS, 1000, "vault")];
    bed.store.put("op/config", &config(&routes, &["vault"]));
    let zones = ["a", "b", "c"];
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|at| bed.add_server(&format!("i-vault{at:02}"), "vault", zones[at % 3], &work))
        .collect();
    if !bed.start_instances() {
        return None;
    }
    let began = Instant::now();
    let ends = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for zone in 0..3 {
        let front = bed.resolve(zone, "desk.example")?;
        for number in 0..CLIENTS_PER_ZONE {
            let (record, ends) = (Arc::clone(&bed.record), Arc::clone(&ends));
            clients.push(thread::spawn(move || {
                let mut client = Client { front, conn: None, record };
                for count in 0.. {
                    if began.elapsed() >= LENGTH {
                        break;
                    }
                    let id = format!("d{zone}-{number}-{count}");
                    let sent = Instant::now();
                    let seen = client.send("GET /bundle/2f", &id, CLIENT_TIMEOUT_MS, &[]);
                    ends.lock().unwrap().push((id, sent.elapsed(), seen));
                    thread::sleep(Duration::from_millis(50));
                }
            }));
        }
    }
    // Six times, 3 of 20 servers are without power for 3.5 seconds.
    for time in 0..6 {
        thread::sleep(Duration::from_millis(7500));
        let dark: Vec<&Arc<Server>> =
            (0..3).map(|at| &servers[(time * 3 + at) % SERVERS]).collect();
        for server in dark.iter().filter(|_| trouble) {
            bed.record.line(&format!("{} loses power", server.id));
            server.dark.store(true, Ordering::Release);
        }
        thread::sleep(Duration::from_millis(3500));
        for server in dark.iter().filter(|_| trouble) {
            bed.record.line(&format!("{} is back", server.id));
            server.outages.fetch_add(1, Ordering::AcqRel);
            server.dark.store(false, Ordering::Release);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let ends = ends.lock().unwrap();
    let timeout = Duration::from_millis(ROUTE_TIMEOUT_MS);
    let grace = Duration::from_millis(500);
    let (mut longer, mut without, mut whole) = (0, 0, 0);
    for (id, took, seen) in &*ends {
        whole += usize::from(seen.whole && seen.status == 200);
        longer += usize::from(*took > timeout);
        if *took > timeout + grace {
            without += 1;
            bed.record.line(&format!(
                "CONFIG: {id} had no final answer {:.3} s after it was sent: {seen:?}",
                took.as_secs_f64()
            ));
        }
    }
    bed.record.line(&format!(
        "{} requests, {whole} whole; unanswered at the route's timeout: {longer}; \
         of these without a final answer 0.5 s later: {without}",
        ends.len()
    ));
    if whole * 2 < ends.len() {
        return None;
    }
    Some(without >= 8 && without * 4 > longer)
}

// ---------------------------------------------------------------------------------------------
// Case: a removal that another instance never learns of

/// While one instance starts again and reads the list of servers page by page, servers are taken
/// away. Another instance, which runs all the while, never learns of some of these removals.
fn missed_removal(bed: &mut Bed, trouble: bool) -> Verdict {
    const ROUNDS: usize = 3;
    const STAYING: usize = 9;
    const LEAVING: usize = 3;
    let work = Work {
        slots: 4,
        queue: 8,
        mean_ms: 290.0,
        tells_load: true,
        body_bytes: 1500,
        body_time: Duration::ZERO,
    };
    let names: Vec<String> = (0..ROUNDS).map(|round| format!("orders{round}")).collect();
    let mut routes = vec![route("catalogue", "idempotent", 2000, 1000, "catalogue")];
    routes.extend(names.iter().map(|name| route(name, "at-most-once", 1500, 800, name)));
    let mut services: Vec<&str> = names.iter().map(String::as_str).collect();
    services.push("catalogue");
    bed.store.put("op/config", &config(&routes, &services));
    let zones = ["a", "b", "c"];
    for at in 0..1050 {
        bed.add_server(&format!("i-catalogue{at:04}"), "catalogue", zones[at % 3], &work);
    }
    let mut leaving: Vec<Vec<Arc<Server>>> = Vec::new();
    for name in &names {
        for at in 0..STAYING {
            bed.add_server(&format!("i-{name}-stays{at}"), name, zones[at % 3], &work);
        }
        let add = |at: usize| {
            bed.add_server(&format!("i-{name}-zleaves{at}"), name, zones[at % 3], &work)
        };
        leaving.push((0..LEAVING).map(add).collect());
    }
    if !bed.start_instances() {
        return None;
    }
    let mut late_total = 0;
    for (name, servers) in names.iter().zip(&leaving) {
        late_total += missed_removal_round(bed, trouble, name, servers)?;
    }
    bed.record.line(&format!("requests that reached servers later than drain: {late_total}"));
    Some(late_total > 0)
}

/// One restart and one scale-in; returns the number of requests that reached a server too late.
fn missed_removal_round(
    bed: &mut Bed,
    trouble: bool,
    service: &str,
    servers: &[Arc<Server>],
) -> Option<usize> {
    const CLIENTS: usize = 56;
    /// How long a server that left goes on serving.
    const SERVES_ON: Duration = Duration::from_secs(9);
    // Clients of zone b, of which the instance in zone b is the only home.
    let front = bed.resolve(1, "desk.example")?;
    if front != bed.instances[1].caller {
        return None;
    }
    let stopped = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let (record, stopped) = (Arc::clone(&bed.record), Arc::clone(&stopped));
        let service = service.to_owned();
        threads.push(thread::spawn(move || {
            let mut client = Client { front, conn: None, record };
            let mut count = 0;
            while !stopped.load(Ordering::Acquire) {
                let id = format!("{service}-{number}-{count}");
                let line = format!("POST /{service}/2f");
                let seen = client.send(&line, &id, 2500, &[b'o'; 4000]);
                count += 1;
                thread::sleep(Duration::from_millis(if seen.status == 200 { 20 } else { 60 }));
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    let removed: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    let scale_in = {
        let (store, record) = (Arc::clone(&bed.store), Arc::clone(&bed.record));
        let servers: Vec<Arc<Server>> = servers.iter().map(Arc::clone).collect();
        let removed = Arc::clone(&removed);
        move || {
            for server in &servers {
                server.leaving.store(true, Ordering::Release);
                store.write(&format!("servers/{}", server.id), None);
                record.line(&format!("store acknowledges that {} is gone", server.id));
                removed.lock().unwrap().push((server.id.clone(), record.now_s()));
                thread::sleep(Duration::from_millis(2));
            }
        }
    };
    if trouble {
        let once = AtomicBool::new(false);
        let record = Arc::clone(&bed.record);
        let hook = move |number: usize| {
            if number == 0 && !once.swap(true, Ordering::AcqRel) {
                record.line("the instance that starts again has read the first page");
                thread::spawn(scale_in.clone());
            }
        };
        bed.record.line("front-a-1 gets SIGTERM");
        bed.instances[0].stop();
        *bed.store.first_page_read.lock().unwrap() = Some(Box::new(hook));
        bed.record.line("front-a-1 starts again");
        let seeds = bed.seeds.clone();
        bed.instances[0].start(&seeds);
    } else {
        thread::spawn(scale_in);
    }
    thread::sleep(SERVES_ON);
    for server in servers {
        server.ended.store(true, Ordering::Release);
        bed.record.line(&format!("{} ends", server.id));
    }
    stopped.store(true, Ordering::Release);
    for thread in threads {
        let _ = thread.join();
    }
    *bed.store.first_page_read.lock().unwrap() = None;
    if !bed.wait_ready(0) || removed.lock().unwrap().len() != servers.len() {
        return None;
    }
    let mut late = 0;
    for (id, removed_s) in &*removed.lock().unwrap() {
        for (request, runs) in &*bed.runs.lock().unwrap() {
            for (run_s, server) in runs {
                if server == id && *run_s > removed_s + DRAIN.as_secs_f64() {
                    late += 1;
                    let after_s = run_s - removed_s;
                    bed.record.line(&format!("DRAIN: {id} runs {request} {after_s:.3} s after"));
                }
            }
        }
    }
    Some(late)
}

// ---------------------------------------------------------------------------------------------

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: bed CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(file) = File::create(Path::new(folder).join("record.txt")) else {
        std::process::exit(2);
    };
    let record = Arc::new(Record { file: Mutex::new(file), start: Instant::now() });
    record.line(&format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    start_watchdog();
    let mut bed = Bed::new(&record);
    let verdict = match case.as_str() {
        "late-second-answer" => late_second_answer(&mut bed, trouble),
        "stalled-download" => stalled_download(&mut bed, trouble),
        "missed-removal" => missed_removal(&mut bed, trouble),
        _ => None,
    };
    drop(bed);
    let (code, text) = match verdict {
        Some(true) => (1, "the rule was broken"),
        Some(false) => (0, "the rule held"),
        None => (2, "the case could not run"),
    };
    record.line(text);
    println!("{case}: {text}");
    std::process::exit(code);
}
