//! Accepts connections from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use h2::SendStream;
use h2::server::SendResponse;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use super::ForwardReplyHead;
use super::ForwardedHead;
use super::PeerReply;
use super::PeerRequest;
use super::auth;
use super::body_room::BodyRoom;
use super::decode;
use super::encode;
use super::link::length_prefix;
use super::link::read_chunk;
use super::link::read_message;
use super::link::read_prefixed;
use super::queued_bytes::QueuedBytes;
use super::queued_bytes::SendQueue;
use crate::task::TaskGuard;

/// Maximum number of connections from peers; further ones are closed.
const CONNECTIONS_MAX: usize = 4_096;
/// A connection that has not authenticated within this time is closed.
const AUTH_TIMEOUT: Duration = Duration::from_secs(2);
/// HTTP/2 flow-control window of one stream; that of a connection is four times as large.
const WINDOW_BYTES: u32 = 1 << 20;
/// Longest wait, after the deadline of a request, for its response to be sent before its stream is
/// reset.
const RESET_DELAY_MAX: Duration = Duration::from_secs(2);

/// Serves messages of peers.
pub trait PeerService: Clone + Send + Sync + 'static {
    /// Head of the requests that other instances forward.
    type ForwardHead: DeserializeOwned + ForwardedHead + Send;
    /// Body of the responses to them.
    type Body: Body<Data = Bytes, Error: Send> + Send + Unpin;
    /// Memory for the body of one such request.
    type Room: BodyRoom;

    /// Answers a control message.
    fn handle_control(&self, request: PeerRequest) -> impl Future<Output = PeerReply> + Send;

    /// Runs a forwarded request.
    fn handle_forward(
        &self,
        head: Self::ForwardHead,
        body: Bytes,
    ) -> impl Future<Output = (ForwardReplyHead, Self::Body)> + Send;

    /// Memory for the body of a forwarded request, held until it has been served.
    fn body_room(&self) -> Self::Room;

    /// Called for each rejected connection.
    fn connection_refused(&self, from: SocketAddr, why: &str);
}

/// A listener that runs until dropped; connections already accepted stay open.
#[derive(Debug)]
pub struct PeerListener {
    _task: TaskGuard,
}

impl PeerListener {
    /// Accepts connections on `listener` that authenticate with `secret`.
    pub fn spawn<S: PeerService>(listener: TcpListener, secret: Arc<str>, service: S) -> Self {
        let task = TaskGuard::spawn(accept_all(listener, secret, service));
        Self { _task: task }
    }
}

/// Accepts connections until the task ends.
async fn accept_all<S: PeerService>(listener: TcpListener, secret: Arc<str>, service: S) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            service.connection_refused(from, "too many connections");
            continue;
        };
        let secret = Arc::clone(&secret);
        let service = service.clone();
        tokio::spawn(async move {
            serve_connection(stream, from, &secret, service).await;
            drop(permit);
        });
    }
}

/// Authenticates a connection and serves its streams.
async fn serve_connection<S: PeerService>(
    mut stream: TcpStream,
    from: SocketAddr,
    secret: &str,
    service: S,
) {
    let _ = stream.set_nodelay(true);
    let authenticated = tokio::time::timeout(AUTH_TIMEOUT, auth::accept(&mut stream, secret)).await;
    match authenticated {
        Ok(Ok(())) => {}
        Ok(Err(err)) => return service.connection_refused(from, &err.to_string()),
        Err(_) => return service.connection_refused(from, "authentication timed out"),
    }
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(WINDOW_BYTES).initial_connection_window_size(4 * WINDOW_BYTES);
    let Ok(mut connection) = builder.handshake::<_, QueuedBytes>(stream).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let service = service.clone();
        tokio::spawn(serve_stream(request, respond, service));
    }
}

/// Serves one message by its path; a message that cannot be served gets status 400.
async fn serve_stream<S: PeerService>(
    request: Request<RecvStream>,
    mut respond: SendResponse<QueuedBytes>,
    service: S,
) {
    let path = request.uri().path().to_owned();
    let mut body = request.into_body();
    let served = match path.as_str() {
        "/control" => serve_control(&mut body, &mut respond, &service).await,
        "/pass" => serve_forward(body, &mut respond, &service).await,
        _ => None,
    };
    if served.is_none() {
        let response = Response::builder().status(StatusCode::BAD_REQUEST).body(());
        if let Ok(response) = response {
            let _ = respond.send_response(response, true);
        }
    }
}

fn send_ok(respond: &mut SendResponse<QueuedBytes>) -> Option<SendStream<QueuedBytes>> {
    respond.send_response(Response::new(()), false).ok()
}

/// Serves a control message; `None` if it is malformed.
async fn serve_control<S: PeerService>(
    body: &mut RecvStream,
    respond: &mut SendResponse<QueuedBytes>,
    service: &S,
) -> Option<()> {
    let bytes = read_message(body).await?;
    let request: PeerRequest = decode(&bytes).ok()?;
    let reply = service.handle_control(request).await;
    let mut stream = send_ok(respond)?;
    stream.send_data(Bytes::from(encode(&reply)).into(), true).ok()
}

/// Serves a forwarded request; `None` if it is malformed or its body is too large.
async fn serve_forward<S: PeerService>(
    mut body: RecvStream,
    respond: &mut SendResponse<QueuedBytes>,
    service: &S,
) -> Option<()> {
    let (head, first): (S::ForwardHead, Bytes) = read_prefixed(&mut body).await?;
    let mut room = service.body_room();
    if !room.try_grow(first.len()) {
        return None;
    }
    // The other instance may freeze, or be cut off, while it sends the body or receives the response.
    let time_limit = head.remaining() + RESET_DELAY_MAX;
    let served = serve_received(head, first, body, room, respond, service);
    // Dropping what is not served by then resets the stream.
    tokio::time::timeout(time_limit, served).await.unwrap_or(Some(()))
}

/// Receives the rest of the body of a forwarded request and serves it; `None` as above.
async fn serve_received<S: PeerService>(
    head: S::ForwardHead,
    first: Bytes,
    mut body: RecvStream,
    mut room: S::Room,
    respond: &mut SendResponse<QueuedBytes>,
    service: &S,
) -> Option<()> {
    let mut whole = BytesMut::from(first);
    while let Some(chunk) = read_chunk(&mut body).await {
        let chunk = chunk.ok()?;
        if !room.try_grow(chunk.len()) {
            return None;
        }
        whole.extend_from_slice(&chunk);
    }
    // The forwarding instance resets the stream when its caller has disconnected or another attempt
    // has answered first; dropping the work releases its slot.
    let work = service.handle_forward(head, whole.freeze());
    let (head, body) = tokio::select! {
        done = work => done,
        _ = std::future::poll_fn(|cx| respond.poll_reset(cx)) => return Some(()),
    };
    let mut stream = send_ok(respond)?;
    let encoded = encode(&head);
    let mut frame = BytesMut::with_capacity(4 + encoded.len());
    frame.extend_from_slice(&length_prefix(encoded.len()));
    frame.extend_from_slice(&encoded);
    let queue = SendQueue::new();
    stream.send_data(queue.track(frame.freeze()), false).ok()?;
    send_body(&mut stream, queue, body).await;
    Some(())
}

/// Sends a body; a truncated one ends with a stream reset, so that it cannot be taken for complete.
///
/// The forwarding instance resets the stream when its caller has disconnected; dropping the body
/// ends the request at its server.
async fn send_body<B>(stream: &mut SendStream<QueuedBytes>, queue: SendQueue, mut body: B)
where
    B: Body<Data = Bytes> + Unpin,
{
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            _ = std::future::poll_fn(|cx| stream.poll_reset(cx)) => return,
        };
        let Some(frame) = frame else {
            break;
        };
        let Ok(frame) = frame else {
            reset_when_sent(stream, queue).await;
            return;
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if send_chunk(stream, &queue, bytes).await.is_none() {
            return;
        }
    }
    let ended = stream.send_data(queue.track(Bytes::new()), true);
    if ended.is_ok() {
        // The body, and with it what counts its request as in flight, is kept until all of it has
        // been sent: the process may end as soon as no request is in flight.
        queue.wait_until_empty().await;
    }
}

/// Resets a stream once all that is queued on it has been sent. A reset discards the queue: the
/// other instance would not even receive the head of the response, and take it for lost.
async fn reset_when_sent(stream: &mut SendStream<QueuedBytes>, queue: SendQueue) {
    // If the peer does not read, the reset must not wait for it.
    let _ = tokio::time::timeout(RESET_DELAY_MAX, queue.wait_until_empty()).await;
    stream.send_reset(h2::Reason::INTERNAL_ERROR);
}

/// Sends one chunk as flow control permits; `None` if the stream is closed.
async fn send_chunk(
    stream: &mut SendStream<QueuedBytes>,
    queue: &SendQueue,
    mut bytes: Bytes,
) -> Option<()> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        // `poll_capacity` only reports newly assigned capacity; check for existing capacity first.
        let mut granted = stream.capacity();
        if granted == 0 {
            granted = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await?.ok()?;
        }
        let part = bytes.split_to(granted.min(bytes.len()));
        stream.send_data(queue.track(part), false).ok()?;
    }
    Some(())
}
