//! What the path adds: the same calls straight to the backend server and through an instance in
//! the same zone, in turn, in the same run. The instance is a process of its own.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use clap::Parser;
use hdrhistogram::Histogram;
use standins::backend::BackendSettings;
use standins::bed::BedPlan;
use standins::bed::Fleet;
use standins::caller::Call;
use standins::caller::Caller;
use tokio::task::JoinSet;
use tokio::time::Instant;

const WORK_US: u64 = 2_000;

/// Compares direct calls with calls through sorrelwick.
#[derive(Debug, Parser)]
struct Args {
    /// The daemon program, built in release mode.
    #[arg(long, default_value = "target/release/sorrelwickd")]
    program: std::path::PathBuf,
    /// Requests a second of each kind.
    #[arg(long, default_value_t = 300)]
    rate: u64,
    #[arg(long, default_value_t = 6_000)]
    requests: u64,
}

async fn timed(caller: Caller, address: SocketAddr, call: Call, due: Instant) -> Option<u64> {
    let told = caller.call_at(address, &call).await;
    let us = u64::try_from(due.elapsed().as_micros()).ok()?;
    (told.body().len() == 200).then_some(us)
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

#[tokio::main]
async fn main() {
    let args = Args::parse();
    let backend = BackendSettings { slots: 64, ..BackendSettings::default() };
    let plan = BedPlan { backends: 3, backend, ..BedPlan::default() };
    let fleet = Fleet::start(Path::new(&args.program), plan, 3).await;
    fleet.create(&fleet.bed.service("orders")).await;
    let direct_address = fleet.bed.backends[0].address();
    let through_address = fleet.callers()[0];
    let caller = Caller::new("orders", "burnaby", &[through_address]);
    let target = format!("/x?bytes=200&work_us={WORK_US}");
    let (mut direct, mut through) = (JoinSet::new(), JoinSet::new());
    let gap = Duration::from_micros(500_000 / args.rate);
    let mut due = Instant::now() + gap;
    for number in 0..args.requests {
        for (work, address) in [(&mut direct, direct_address), (&mut through, through_address)] {
            tokio::time::sleep_until(due).await;
            let call = Call::get(&target, &format!("r-{number}"));
            work.spawn(timed(caller.clone(), address, call, due));
            due += gap;
        }
    }
    let (direct, direct_failed) = collect(direct).await;
    let (through, through_failed) = collect(through).await;
    print("direct", &direct, direct_failed);
    print("through", &through, through_failed);
    let added = |quantile| {
        let (a, b) = (through.value_at_quantile(quantile), direct.value_at_quantile(quantile));
        i128::from(a) - i128::from(b)
    };
    println!("added      p50 {} us  p99 {} us", added(0.5), added(0.99));
}
