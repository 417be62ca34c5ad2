//! Measures how cost grows with size; docs/CAPACITY.md derives the design size from the results.
//!
//! Each table varies one quantity over three or more points. Times are medians of repeated runs in this
//! process; CPU time and memory are those of daemon processes.

use std::hint::black_box;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use clap::Parser;
use clap::ValueEnum;
use sorrelwick::board::Blackboard;
use sorrelwick::catalog::merge_rows;
use sorrelwick::conf::OutcomeSettings;
use sorrelwick::conf::parse_settings;
use sorrelwick::decide::AttemptOutcome;
use sorrelwick::decide::ServerLoad;
use sorrelwick::decide::ServerScope;
use sorrelwick::decide::SlotPool;
use sorrelwick::member::MemberRequest;
use sorrelwick::member::MemberRow;
use sorrelwick::model::Service;
use sorrelwick::model::VersionedService;
use sorrelwick::outcome::KeyDecision;
use sorrelwick::outcome::OutcomeTable;
use sorrelwick::outcome::RecordedAnswer;
use sorrelwick::outcome::RecordedOutcome;
use sorrelwick::peer::PeerReply;
use sorrelwick::peer::PeerRequest;
use sorrelwick::peer::encode;
use sorrelwick::route::rebuild_services;
use standins::bed::ProcessFleet;
use standins::bed::TestBedPlan;
use standins::caller::Caller;
use standins::load::LoadPlan;
use standins::load::run_load;
use uuid::Uuid;

const REPEATS: usize = 9;

/// What to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Slope {
    /// Time to choose a server, by servers of a service.
    Choose,
    /// Memory and encoded size of the configuration, by services.
    Catalog,
    /// Time to place homes and assign servers, by services and members.
    Placement,
    /// Memory and time per recorded outcome, by rows.
    Outcomes,
    /// Size of the messages between instances.
    Messages,
    /// CPU time, memory and store calls of idle daemons, by instances.
    Idle,
    /// CPU time, memory and store calls of idle daemons, by services.
    Services,
    /// CPU time per request of daemons under load, by rate.
    Requests,
    /// Time until all instances have applied a change, by instances.
    Change,
}

/// Measures slopes; all of them without arguments.
#[derive(Debug, Parser)]
struct Args {
    #[arg(value_enum)]
    slopes: Vec<Slope>,
    #[arg(long, default_value = "target/release/sorrelwickd")]
    program: PathBuf,
}

fn median_of(mut run: impl FnMut() -> Duration) -> Duration {
    let mut times: Vec<Duration> = (0..REPEATS).map(|_| run()).collect();
    times.sort();
    times[REPEATS / 2]
}

fn resident_kb() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split_whitespace().nth(1).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0) * 4
}

fn choose_slope() {
    println!("choose: nanoseconds to take and give back a slot");
    for servers in [6, 30, 100, 300, 1_000] {
        let loads = vec![ServerLoad::warm(4); servers];
        let mut pool = SlotPool::new(loads, 1);
        let rounds = 200_000 / u32::try_from(servers).unwrap_or(1) + 100;
        let took = median_of(|| {
            let start = Instant::now();
            for now_us in 1_000_000..1_000_000 + u64::from(rounds) {
                let index = pool.acquire_slot(ServerScope::Own, &[], now_us).unwrap_or(0);
                pool.release_slot(
                    black_box(index),
                    AttemptOutcome::Answered { latency_us: 900 },
                    now_us,
                );
            }
            start.elapsed() / rounds
        });
        println!("  servers {servers:>5}: {:>6} ns", took.as_nanos());
    }
}

fn service(number: usize) -> Service {
    let servers: Vec<String> = (0..7)
        .map(|at| {
            let port = 1_024 + (number * 7 + at) % 60_000;
            let ip = format!("10.{}.{}.{}", number / 250, number % 250, at + 1);
            format!(
                "{{ id: 'backend-{at}', address: '{ip}:{port}', zone: 'zone-{}', slots: 4, \
                 connections_max: 250 }}",
                (number + at) % 25
            )
        })
        .collect();
    let text = format!(
        "{{ name: 'service-{number}', backend_servers: [{}], kinds: [\
         {{ name: 'lookup', method: 'GET', path_prefix: '/', idempotent: true }},\
         {{ name: 'order', method: 'POST', path_prefix: '/', idempotent: false }}] }}",
        servers.join(",")
    );
    json5::from_str(&text).expect("a valid declaration")
}

fn row(number: usize) -> (String, VersionedService) {
    let versioned =
        VersionedService::next(None, Uuid::from_u128(number as u128), Some(service(number)));
    (format!("service-{number}"), versioned)
}

fn board() -> Arc<Blackboard> {
    let settings = parse_settings("capacity", sorrelwick::conf::DEFAULTS).expect("valid");
    Arc::new(Blackboard::new(settings, 1))
}

fn member(incarnation: u64) -> MemberRow {
    let mut own = board().members.lock().own_row(0);
    own.incarnation = incarnation;
    own.zone = format!("zone-{}", incarnation % 25);
    own.peer_address.set_port(u16::try_from(1_024 + incarnation % 60_000).unwrap_or(1));
    own
}

fn catalog_slope() {
    println!("catalog: memory of the configuration and its request-path state");
    for services in [300, 600, 1_200, 2_400] {
        let before = resident_kb();
        let board = board();
        merge_rows(&board, (0..services).map(row).collect());
        rebuild_services(&board);
        let json = serde_json::to_vec(&row(1).1).unwrap_or_default().len();
        let grown = resident_kb().saturating_sub(before);
        println!(
            "  services {services:>5} (7 servers each): {grown:>7} KB grown, {json} bytes a row in \
             the store, {} on a peer stream",
            encode(&PeerRequest::Changes(vec![row(1)])).len()
        );
        black_box(&board);
        std::mem::forget(board);
    }
}

fn placement_slope() {
    println!("placement: milliseconds to place all services anew after a change of members");
    for services in [100, 400, 1_200] {
        for members in [19_u64, 200, 1_000] {
            let board = board();
            merge_rows(&board, (0..services).map(row).collect());
            for incarnation in 2..=members {
                board.members.lock().merge(&member(incarnation * 7_919), 1_000);
            }
            board.publish_members();
            rebuild_services(&board);
            let took = median_of(|| {
                let start = Instant::now();
                rebuild_services(&board);
                start.elapsed()
            });
            println!(
                "  services {services:>5}, members {members:>5}: {:>8.2} ms",
                took.as_secs_f64() * 1e3
            );
        }
    }
}

fn outcomes_slope() {
    println!("outcomes: memory and time of a row with a 200-byte answer");
    for rows in [50_000_u32, 100_000, 200_000] {
        let settings = OutcomeSettings { answers_max_bytes: 1 << 30, ..OutcomeSettings::default() };
        let before = resident_kb();
        let table = OutcomeTable::new(1, &settings);
        let start = Instant::now();
        for number in 0..rows {
            let key = format!("0000000000000001-0-order-{number:032}");
            if let KeyDecision::Run(guard) = table.begin(1, 0, "orders", &key) {
                let headers = vec![("content-type".to_owned(), b"application/json".to_vec())];
                let body = bytes::Bytes::from(vec![7; 200]);
                guard.finish(RecordedOutcome::Answer(Arc::new(RecordedAnswer {
                    status: 200,
                    headers,
                    body,
                })));
            }
        }
        let took = start.elapsed() / rows;
        let grown = resident_kb().saturating_sub(before) * 1024 / u64::from(rows);
        println!("  rows {rows:>7}: {grown:>5} bytes and {:>5} ns a row", took.as_nanos());
        std::mem::forget(table);
    }
}

fn messages_slope() {
    println!("messages: encoded bytes");
    for rumours in [0_u64, 3, 6] {
        let rumours: Vec<MemberRow> = (1..=rumours).map(member).collect();
        let count = rumours.len();
        let from = member(1);
        let ping =
            MemberRequest::Ping { from, stamp: 1 << 60, digest_hash: 1 << 60, gossip: rumours };
        let ping = PeerRequest::Member(ping);
        println!("  ping with {count} rumours: {} bytes", encode(&ping).len());
    }
    for services in [1, 8, 64] {
        let changes = PeerRequest::Changes((0..services).map(row).collect());
        println!("  changes of {services} services: {} bytes", encode(&changes).len());
    }
    for services in [100_usize, 400, 1_200] {
        let summary: Vec<(String, u64)> =
            (0..services).map(|n| (format!("service-{n}"), 12)).collect();
        println!(
            "  summary of {services} services: {} bytes",
            encode(&PeerReply::Summary(summary)).len()
        );
    }
}

fn plan() -> TestBedPlan {
    TestBedPlan { backends: 6, ..TestBedPlan::default() }
}

/// Returns the mean CPU time per daemon in ms per second, the largest resident memory of a daemon in
/// KB, and the store calls per second.
async fn idle_for(fleet: &ProcessFleet, seconds: u64) -> (f64, u64, f64) {
    let before: u64 = fleet.daemons.iter().map(|daemon| daemon.usage().cpu_ms).sum();
    let calls = fleet.bed.platform().switches.calls();
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after: u64 = fleet.daemons.iter().map(|daemon| daemon.usage().cpu_ms).sum();
    let calls = fleet.bed.platform().switches.calls() - calls;
    let resident = fleet.daemons.iter().map(|daemon| daemon.usage().resident_kb).max();
    #[expect(clippy::cast_precision_loss, reason = "a rate to print")]
    let per = |count: u64, by: usize| count as f64 / by as f64 / seconds as f64;
    (per(after - before, fleet.daemons.len()), resident.unwrap_or(0), per(calls, 1))
}

async fn idle_slope(program: &Path) {
    println!("idle: one daemon's processor time and memory, and calls to the store, by instances");
    println!("  (pings each 100 ms here, 500 ms by default; leases of 3 s here, 10 s by default)");
    for instances in [3, 9, 19, 38] {
        let fleet = ProcessFleet::start(program, plan(), instances).await;
        fleet.create_service(&fleet.bed.service("orders")).await;
        let (cpu_ms, resident_kb, calls) = idle_for(&fleet, 5).await;
        println!(
            "  instances {instances:>3}: {cpu_ms:>6.2} ms of processor time a second, {resident_kb} \
             KB, {calls:.1} calls a second to the store"
        );
    }
}

async fn services_slope(program: &Path) {
    println!("services: one idle daemon of three, by services (7 servers each)");
    for services in [10, 100, 400, 1_200] {
        let fleet = ProcessFleet::start(program, plan(), 3).await;
        let mut operator = fleet.operator(0);
        for number in 0..services {
            let wire = sorrelwick::operator::service_to_wire(&service(number));
            operator.put(&wire, 0).await.expect("accepted");
        }
        let (cpu_ms, resident_kb, calls) = idle_for(&fleet, 5).await;
        println!(
            "  services {services:>5}: {cpu_ms:>6.2} ms of processor time a second, {resident_kb} \
             KB, {calls:.1} calls a second to the store"
        );
    }
}

async fn requests_slope(program: &Path) {
    println!("requests: processor time per request of three daemons together, by rate");
    for rate in [500.0, 1_000.0, 2_000.0, 4_000.0] {
        let fleet = ProcessFleet::start(program, plan(), 3).await;
        fleet.create_service(&fleet.bed.service("orders")).await;
        let callers: Vec<Caller> = ["burnaby", "surrey", "richmond"]
            .iter()
            .map(|zone| Caller::new("orders", zone, &fleet.caller_addresses()))
            .collect();
        let before: u64 = fleet.daemons.iter().map(|daemon| daemon.usage().cpu_ms).sum();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a count")]
        let requests = (rate * 6.0) as u64;
        let load = LoadPlan {
            rate_per_s: rate,
            requests,
            work_us: Some(500),
            body_max_bytes: 400,
            ..LoadPlan::default()
        };
        let summary = run_load(&load, &callers).await;
        let after: u64 = fleet.daemons.iter().map(|daemon| daemon.usage().cpu_ms).sum();
        let passed: u64 = {
            let mut passed = 0;
            for at in 0..3 {
                let status = fleet.operator(at).status().await.expect("status");
                let named = status.counters.iter().find(|counter| counter.name == "passed");
                passed += named.map_or(0, |counter| counter.value);
            }
            passed
        };
        #[expect(clippy::cast_precision_loss, reason = "a ratio to print")]
        let us_a_request = (after - before) as f64 * 1e3 / requests as f64;
        println!(
            "  {rate:>6}/s: {us_a_request:>6.1} us a request, {} of {requests} right, {passed} passed between \
             instances, p99 {:.2} ms",
            summary.correct,
            summary.quantile_ms(0.99),
        );
    }
}

async fn change_slope(program: &Path) {
    println!("change: from 'accepted' until in force on every instance, median and longest of 15");
    for instances in [3, 9, 19] {
        let fleet = ProcessFleet::start(program, plan(), instances).await;
        let mut declared = fleet.bed.service("orders");
        fleet.create_service(&declared).await;
        let writes = fleet.bed.platform().switches.writes.load(Ordering::Relaxed);
        let mut took = Vec::new();
        for turn in 1..=15_u32 {
            declared.timeout_ms = 1_000 + turn;
            let wire = sorrelwick::operator::service_to_wire(&declared);
            let at = turn as usize % instances;
            let revision =
                fleet.operator(at).put(&wire, turn.into()).await.expect("accepted").revision;
            let start = Instant::now();
            for at in 0..instances {
                let mut operator = fleet.operator(at);
                while operator.get("orders").await.map_or(0, |row| row.revision) < revision {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            took.push(start.elapsed());
        }
        took.sort();
        let writes = fleet.bed.platform().switches.writes.load(Ordering::Relaxed) - writes;
        println!(
            "  instances {instances:>3}: {:?} {:?}, {writes} writes to the store meanwhile",
            took[7], took[14]
        );
    }
}

#[tokio::main]
async fn main() {
    let args = Args::parse();
    let all = Slope::value_variants().to_vec();
    let slopes = if args.slopes.is_empty() { all } else { args.slopes };
    let program = args.program.as_path();
    for slope in slopes {
        match slope {
            Slope::Choose => choose_slope(),
            Slope::Catalog => catalog_slope(),
            Slope::Placement => placement_slope(),
            Slope::Outcomes => outcomes_slope(),
            Slope::Messages => messages_slope(),
            Slope::Idle => idle_slope(program).await,
            Slope::Services => services_slope(program).await,
            Slope::Requests => requests_slope(program).await,
            Slope::Change => change_slope(program).await,
        }
    }
}
