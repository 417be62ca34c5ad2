//! LOST: all instances are stopped by SIGTERM at the same time. One that serves on for 3.3 s takes
//! a request later than 3 s after the signal, passes it on, and ends 0.4 s before the grace is
//! over, while the backend server is at work.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::*;

const ZONES: [&str; 3] = ["boa-viagem", "santo-amaro", "olinda"];
/// `grace` of the site.
const GRACE: Duration = Duration::from_secs(6);
/// When the requests are sent, after the signal.
const SENT_AFTER: Duration = Duration::from_millis(3_130);
/// Work of a request; the site file allows 4,400 ms for `benchmark-submit`.
const WORK_MS: u64 = 2_700;
/// The deadline of `benchmark-submit`.
const DEADLINE_MS: u64 = 5_000;
/// The timeout of its route.
const TIMEOUT_MS: u64 = 3_000;
const CONNECTIONS_PER_ZONE: usize = 2;

fn bounds() -> Vec<(&'static str, &'static str)> {
    vec![
        ("drain", "2500"),
        ("grace", "6"),
        ("config_apply", "2500"),
        ("retry_budget_ratio", "0.2"),
        ("budget_window", "10"),
        ("budget_slack", "60"),
        ("ttl_max", "5"),
        ("probes_per_s", "42"),
    ]
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-submit","host":"shop.example","prefix":"/submit/","kind":"at-most-once","timeout_ms":{TIMEOUT_MS},"aim_ms":2000,"priority":1,"service":"case-portal","attempts_max":2,"key_exempt":false}}],"services":[{{"name":"case-portal","health_path":"/health","connections_max":1000,"protocol":"h1","tls":false,"warmup_s":3.0}}],"limits":{{"header_bytes_max":16384,"body_bytes_max":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// What became of one request.
#[derive(Debug)]
struct Ended {
    id: String,
    sent_ms: u64,
    ended_ms: u64,
    /// The status; 0 if the connection ended without an answer.
    status: u16,
}

pub fn orders_taken_after_a_stop(journal: &Arc<Journal>) -> i32 {
    let dir = temporary_folder();
    let (store, store_address) = Store::spawn();
    store.put("op/config", &config());
    let servers: Vec<_> = (0..4)
        .map(|at| (Server::spawn(&format!("i-{at:08x}"), 6, journal), ZONES[at % ZONES.len()]))
        .collect();
    let listed = servers.iter().map(|(server, zone)| {
        (Arc::clone(server), "case-portal".to_owned(), (*zone).to_owned())
    });
    keep_listed(&store, listed.collect());
    let nodes: Vec<Node> = ZONES
        .iter()
        .enumerate()
        .map(|(at, zone)| Node::new(&format!("front-{zone}-1"), zone, 20 + at as u8))
        .collect();
    let deployment = Deployment {
        store: store_address,
        zones: ZONES.iter().map(|zone| (*zone).to_owned()).collect(),
        seeds: nodes.iter().map(|node| node.control).collect(),
        bootstrap: true,
        bounds: bounds(),
    };
    let mut instances: Vec<Instance> =
        nodes.iter().map(|node| Instance::start(node, &deployment, &dir)).collect();
    if !wait_until_ready(&instances, Duration::from_secs(15)) {
        journal.note("the instances are not ready");
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(4));

    // Clients that know an address of their zone and keep a connection, used just before the stop.
    let mut clients = Vec::new();
    for node in &nodes {
        for _ in 0..CONNECTIONS_PER_ZONE {
            let Some(address) = resolve(node.directory, &node.zone).first().copied() else {
                journal.note("no address");
                return NOT_RUN;
            };
            let Ok(mut connection) = Connection::open(address) else { return NOT_RUN };
            let ended = submit(&mut connection, journal, 100);
            if ended.status != 200 {
                journal.note(&format!("a request before the stop: {ended:?}"));
                return NOT_RUN;
            }
            clients.push((connection, node.clone()));
        }
    }
    let signalled = Instant::now();
    let signalled_ms = journal.now_ms();
    if trouble() {
        for instance in &instances {
            instance.signal("TERM");
        }
        journal.note("SIGTERM to all instances");
    }
    // The clients ask for addresses again when theirs are over, after 1 s, and keep the old ones if
    // they get none.
    thread::sleep(Duration::from_millis(1_000));
    for node in &nodes {
        let found = resolve(node.directory, &node.zone);
        journal.note(&format!("directory of {} names {found:?}", node.name));
        if trouble() && !found.is_empty() {
            journal.note("a client would move on");
            return NOT_RUN;
        }
    }
    thread::sleep(SENT_AFTER.saturating_sub(signalled.elapsed()));
    let ended: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let threads: Vec<_> = clients
        .into_iter()
        .map(|(mut connection, _)| {
            let (journal, ended) = (Arc::clone(journal), Arc::clone(&ended));
            thread::spawn(move || {
                let one = submit(&mut connection, &journal, WORK_MS);
                ended.lock().expect("ended").push(one);
            })
        })
        .collect();
    for one in threads {
        let _ = one.join();
    }
    if trouble() {
        for instance in &mut instances {
            let ended = loop {
                match instance.child.try_wait() {
                    Ok(Some(status)) => break Some(status),
                    _ if signalled.elapsed() > GRACE + Duration::from_secs(1) => break None,
                    _ => thread::sleep(Duration::from_millis(10)),
                }
            };
            let name = &instance.node.name;
            journal.note(&format!("{name} has ended by now: {ended:?}"));
        }
    }
    thread::sleep(Duration::from_millis(300));
    judge(journal, signalled_ms, &ended.lock().expect("ended"))
}

fn submit(connection: &mut Connection, journal: &Journal, work_ms: u64) -> Ended {
    let id = next_id();
    let sent_ms = journal.now_ms();
    let deadline = DEADLINE_MS.to_string();
    let fields = [
        ("Host", "shop.example"),
        ("X-Request-Id", id.as_str()),
        ("X-Request-Timeout-Ms", deadline.as_str()),
    ];
    let line = format!("POST /submit/2f?work_ms={work_ms}");
    let sent = connection.send(&line, &fields, b"a benchmark study");
    let received = sent.and_then(|()| connection.receive(Duration::from_millis(DEADLINE_MS)));
    let status = received.ok().flatten().map_or(0, |answer| answer.status());
    let ended = Ended { id, sent_ms, ended_ms: journal.now_ms(), status };
    journal.note(&format!("request {ended:?}, work {work_ms} ms"));
    ended
}

/// The rule as written: the process read the whole request, it was passed on, and the connection
/// ends without a complete answer, within 1 s after `grace`; not for a request sent within 3 s of
/// the signal, nor at its deadline, nor where the backend server broke off.
fn judge(journal: &Journal, signalled_ms: u64, ended: &[Ended]) -> i32 {
    let runs = journal.runs.lock().expect("the journal").clone();
    let mut lost = 0;
    for one in ended {
        let run = runs.iter().find(|run| run.id == one.id);
        let passed_on = run.is_some();
        let cut_by_instance = run.is_some_and(|run| run.cut_ms.is_some());
        let late = one.sent_ms > signalled_ms + 3_000;
        let before_timeout = one.ended_ms < one.sent_ms + TIMEOUT_MS - 50;
        let in_time = one.ended_ms <= signalled_ms + 7_000;
        if one.status == 0 && passed_on && cut_by_instance && late && before_timeout && in_time {
            lost += 1;
            journal.note(&format!(
                "lost: {} sent {} ms after the signal, cut {} ms after it, its run began and was cut",
                one.id,
                one.sent_ms - signalled_ms,
                one.ended_ms - signalled_ms
            ));
        }
    }
    let answered = ended.iter().filter(|one| one.status == 200).count();
    journal.note(&format!("{} requests, {answered} answered 200, {lost} lost", ended.len()));
    if lost > 0 {
        BROKEN
    } else if ended.is_empty() {
        NOT_RUN
    } else {
        HELD
    }
}
