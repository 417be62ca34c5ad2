//! A connection to a stand-in backend server.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sorrelwick::gateway::HeaderNames;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::Behaviour;
use super::ColdPhase;
use super::CrashRule;
use super::LARGE_BYTES;
use super::STALLED_AFTER_BYTES;
use super::raw_server::Shared;

const READ_BYTES: usize = 4_096;
/// Bytes of a large body that are written at once.
const LARGE_PIECE_BYTES: usize = 64 << 10;

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

/// Serves one request after the other.
pub(super) async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
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
            let response = if shared.rejects_health_checks_twice.load(Ordering::Relaxed) {
                stale_response.insert(health_rejection(&shared)).clone()
            } else {
                health_response(&shared).await
            };
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

fn health_rejection(shared: &Shared) -> String {
    let not_run = &shared.header_names.not_run;
    format!("HTTP/1.1 503 Busy\r\n{not_run}: 1\r\ncontent-length: 0\r\n\r\n")
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
