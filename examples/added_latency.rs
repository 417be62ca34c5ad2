//! Measures the latency that an instance adds. The same calls go in turn directly to a backend server,
//! through a relay that only copies bytes, and through an instance process in the same zone.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use clap::Parser;
use hdrhistogram::Histogram;
use standins::backend::BackendSettings;
use standins::bed::ProcessFleet;
use standins::bed::TestBedPlan;
use standins::caller::Call;
use standins::caller::Caller;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Compares direct calls with calls through sorrelwick.
#[derive(Debug, Parser)]
struct Args {
    /// The daemon program, built in release mode.
    #[arg(long, default_value = "target/release/sorrelwickd")]
    program: std::path::PathBuf,
    /// Requests per second on each of the three paths.
    #[arg(long, default_value_t = 300)]
    rate: u64,
    #[arg(long, default_value_t = 6_000)]
    requests: u64,
    /// Service time of the backend server. It sleeps on a timer with a resolution of one millisecond,
    /// which blurs the difference; with 0 it responds at once.
    #[arg(long, default_value_t = 0)]
    work_us: u64,
}

async fn timed(caller: Caller, address: SocketAddr, call: Call) -> Option<u64> {
    // Measured from the send, so that delays of this process's timer do not count.
    let start = Instant::now();
    let result = caller.call_at(address, &call).await;
    let us = u64::try_from(start.elapsed().as_micros()).ok()?;
    (result.body().len() == 200).then_some(us)
}

async fn collect(work: JoinSet<Option<u64>>) -> (Histogram<u64>, u64) {
    let mut latency = Histogram::new_with_max(60_000_000, 3).expect("valid bounds");
    let mut failed = 0;
    for us in work.join_all().await {
        match us {
            Some(us) => latency.saturating_record(us),
            None => failed += 1,
        }
    }
    (latency, failed)
}

fn print(name: &str, latency: &Histogram<u64>, failed: u64) {
    println!(
        "{name:<10} {:>8} answers {failed:>4} failed  p50 {:>6} us  p99 {:>6} us",
        latency.len(),
        latency.value_at_quantile(0.5),
        latency.value_at_quantile(0.99)
    );
}

/// Starts a relay on its own runtime that only copies bytes: the minimal cost of a hop, to separate
/// the cost of the instance from that of the machine.
fn spawn_relay(to: SocketAddr) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("a socket");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
            while let Ok((mut from, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let mut to = tokio::net::TcpStream::connect(to).await.ok()?;
                    let _ = (from.set_nodelay(true), to.set_nodelay(true));
                    tokio::io::copy_bidirectional(&mut from, &mut to).await.ok()
                });
            }
        });
    });
    address
}

#[tokio::main]
async fn main() {
    let args = Args::parse();
    let backend = BackendSettings { slots: 64, ..BackendSettings::default() };
    let plan = TestBedPlan { backends: 3, backend, ..TestBedPlan::default() };
    let fleet = ProcessFleet::start(Path::new(&args.program), plan, 3).await;
    fleet.create_service(&fleet.bed.service("orders")).await;
    let direct_address = fleet.bed.backends[0].address();
    let through_address = fleet.caller_addresses()[0];
    let caller = Caller::new("orders", "burnaby", &[through_address]);
    let target = format!("/x?bytes=200&work_us={}", args.work_us);
    let relay_address = spawn_relay(direct_address);
    let (mut direct, mut relay, mut through) = (JoinSet::new(), JoinSet::new(), JoinSet::new());
    let gap = Duration::from_nanos(1_000_000_000 / 3 / args.rate);
    let mut due = Instant::now() + gap;
    for number in 0..args.requests {
        let ways = [
            (&mut direct, direct_address),
            (&mut relay, relay_address),
            (&mut through, through_address),
        ];
        for (work, address) in ways {
            tokio::time::sleep_until(due).await;
            let call = Call::get(&target, &format!("r-{number}"));
            work.spawn(timed(caller.clone(), address, call));
            due += gap;
        }
    }
    let (direct, direct_failed) = collect(direct).await;
    let (relay, relay_failed) = collect(relay).await;
    let (through, through_failed) = collect(through).await;
    print("direct", &direct, direct_failed);
    print("relay", &relay, relay_failed);
    print("through", &through, through_failed);
    let added = |quantile| {
        let (a, b) = (through.value_at_quantile(quantile), direct.value_at_quantile(quantile));
        i128::from(a) - i128::from(b)
    };
    println!("added      p50 {} us  p99 {} us", added(0.5), added(0.99));
}
