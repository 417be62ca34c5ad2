//! A stand-in backend server whose answers are scripted byte by byte.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use socket2::SockRef;
use sorrelwick::task::TaskGuard;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Bytes that are written at once where bytes are repeated.
const PIECE_BYTES: usize = 64 << 10;
/// The rest of a complete answer, whose body is the id of its request.
const COMPLETE: &str = "content-length: {id_bytes}\r\n\r\n{id}";

/// What follows the text of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The next request on the connection.
    KeepOpen,
    /// An orderly close.
    Close,
    /// A reset of the connection.
    Reset,
    /// These bytes, again and again until the client closes the connection.
    Repeat(&'static [u8]),
}

/// An answer. In its text `{id}` stands for the id of the request and `{id_bytes}` for its length.
#[derive(Clone, Debug)]
pub struct ScriptedAnswer {
    pub text: String,
    pub end: AnswerEnd,
}

impl ScriptedAnswer {
    /// An answer to a request that begins with the status line and lines of `begin`, goes on with those
    /// that all answers have, and ends with `rest`: the framing, an empty line and the body.
    #[must_use]
    pub fn to_request(begin: &str, rest: &str, end: AnswerEnd) -> Self {
        let lines = "request-id: {id}\r\nsignature: s-{id}\r\nload: 0,0,4,100";
        Self { text: format!("{begin}\r\n{lines}\r\n{rest}"), end }
    }

    /// A complete answer to a request that begins with the status line and lines of `begin`.
    #[must_use]
    pub fn complete(begin: &str) -> Self {
        Self::to_request(begin, COMPLETE, AnswerEnd::KeepOpen)
    }

    /// A complete answer to a health check that begins with the status line and lines of `begin`.
    #[must_use]
    pub fn to_health_check(begin: &str) -> Self {
        let text = format!("{begin}\r\nload: 0,0,4,100\r\ncontent-length: 0\r\n\r\n");
        Self { text, end: AnswerEnd::KeepOpen }
    }

    /// The text of the answer to this request.
    #[must_use]
    pub fn for_id(&self, id: &str) -> String {
        self.text.replace("{id}", id).replace("{id_bytes}", &id.len().to_string())
    }
}

/// The answers to requests and to health checks.
#[derive(Clone, Debug)]
pub struct Script {
    pub request: ScriptedAnswer,
    pub health_check: ScriptedAnswer,
}

impl Default for Script {
    /// Good answers.
    fn default() -> Self {
        Self {
            request: ScriptedAnswer::complete("HTTP/1.1 200 OK"),
            health_check: ScriptedAnswer::to_health_check("HTTP/1.1 200 OK"),
        }
    }
}

#[derive(Debug, Default)]
struct Shared {
    script: Mutex<Script>,
    requests: AtomicUsize,
    health_checks: AtomicUsize,
    repeated_bytes: AtomicU64,
}

/// A running server; it stops on drop. It answers each head, and reads no bodies.
#[derive(Debug)]
pub struct ScriptedServer {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _task: TaskGuard,
}

impl ScriptedServer {
    /// Starts a server with good answers.
    ///
    /// # Panics
    /// If no port is free.
    pub async fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::<Shared>::default();
        let serving = Arc::clone(&shared);
        let task = TaskGuard::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&serving)));
            }
        });
        Self { address, shared, _task: task }
    }

    /// Sets the answers from now on, and counts repeated bytes anew.
    pub fn set(&self, script: Script) {
        *self.shared.script.lock() = script;
        self.shared.repeated_bytes.store(0, Ordering::SeqCst);
    }

    /// Sets the answers to requests from now on; those to health checks are good.
    pub fn set_answer(&self, request: ScriptedAnswer) {
        self.set(Script { request, ..Script::default() });
    }

    /// Number of requests so far.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.shared.requests.load(Ordering::SeqCst)
    }

    /// Number of health checks so far.
    #[must_use]
    pub fn health_checks(&self) -> usize {
        self.shared.health_checks.load(Ordering::SeqCst)
    }

    /// Bytes that were written by [`AnswerEnd::Repeat`].
    #[must_use]
    pub fn repeated_bytes(&self) -> u64 {
        self.shared.repeated_bytes.load(Ordering::SeqCst)
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(bytes).ok()
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    while let Some(head) = read_head(&mut stream).await {
        let script = shared.script.lock().clone();
        let is_health_check = head.starts_with("GET /health ");
        let (answer, count) = if is_health_check {
            (script.health_check, &shared.health_checks)
        } else {
            (script.request, &shared.requests)
        };
        count.fetch_add(1, Ordering::SeqCst);
        let id = head.lines().find_map(|line| line.strip_prefix("request-id: "));
        if stream.write_all(answer.for_id(id.unwrap_or("-")).as_bytes()).await.is_err() {
            return;
        }
        match answer.end {
            AnswerEnd::KeepOpen => {}
            AnswerEnd::Close => return,
            AnswerEnd::Reset => {
                // Fails if the client has closed the connection.
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return;
            }
            AnswerEnd::Repeat(bytes) => return repeat(&mut stream, &shared, bytes).await,
        }
    }
}

async fn repeat(stream: &mut TcpStream, shared: &Shared, bytes: &[u8]) {
    let piece = bytes.repeat(PIECE_BYTES / bytes.len());
    while stream.write_all(&piece).await.is_ok() {
        shared.repeated_bytes.fetch_add(piece.len() as u64, Ordering::SeqCst);
    }
}
