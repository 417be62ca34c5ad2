//! Load scenarios over real sockets: instance processes, and backend servers that queue, slow down and
//! fail. Most scenarios also run without instances, with callers that use the servers round-robin, as
//! the baseline.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clap::Parser;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sorrelwick::model::Preference;
use standins::backend::Backend;
use standins::backend::BackendSettings;
use standins::backend::Behaviour;
use standins::bed::ProcessFleet;
use standins::bed::TestBedPlan;
use standins::caller::Caller;
use standins::load::LoadPlan;
use standins::load::LoadSummary;
use standins::load::run_load;
use standins::load::write_plot;
use tokio::task::JoinHandle;

const BACKENDS: usize = 30;
const SLOTS: u32 = 4;
const WORK_US: u32 = 20_000;
const SLOW_FACTOR: u32 = 10;

/// Runs the scenes and prints a table.
#[derive(Debug, Parser)]
struct Args {
    #[arg(long, default_value = "target/release/sorrelwickd")]
    program: PathBuf,
    #[arg(long, default_value_t = 16)]
    instances: usize,
    #[arg(long, default_value_t = 8.0)]
    seconds: f64,
    /// Run only the scenes whose name contains this.
    #[arg(long, default_value = "")]
    only: String,
    /// Write a plot of the latency quantiles, as SVG.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// What happens while the load runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    SlowThird,
    OneFails,
    StoreDown,
    /// One home of the service is killed.
    HomeKilled,
}

/// Each second, makes each server slow for 200 ms with a probability of one third.
fn slow_thirds(behaviours: Vec<Arc<Behaviour>>) -> JoinHandle<()> {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(800)).await;
            let slow: Vec<&Arc<Behaviour>> =
                behaviours.iter().filter(|_| rng.random_bool(1.0 / 3.0)).collect();
            for behaviour in &slow {
                behaviour.slow_factor.store(SLOW_FACTOR, Ordering::Relaxed);
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
            for behaviour in &slow {
                behaviour.slow_factor.store(1, Ordering::Relaxed);
            }
        }
    })
}

async fn scene(args: &Args, load: f64, trouble: Trouble, baseline: bool) -> LoadSummary {
    let backend = BackendSettings {
        slots: SLOTS as usize,
        work_us: WORK_US.into(),
        ..BackendSettings::default()
    };
    let plan = TestBedPlan { backends: BACKENDS, backend, ..TestBedPlan::default() };
    let instances = if baseline { 1 } else { args.instances };
    let fleet = ProcessFleet::start(&args.program, plan, instances).await;
    let mut service = fleet.bed.service("catalogue");
    service.preference = Preference::Tail;
    fleet.create_service(&service).await;
    let behaviours: Vec<Arc<Behaviour>> =
        fleet.bed.backends.iter().map(|backend| Arc::clone(&backend.behaviour)).collect();
    let callers: Vec<Caller> = if baseline {
        let servers = fleet.bed.backends.iter().map(Backend::address);
        servers.map(|address| Caller::fixed("catalogue", address)).collect()
    } else {
        let zones = ["burnaby", "surrey", "richmond"];
        zones.iter().map(|zone| Caller::new("catalogue", zone, &fleet.caller_addresses())).collect()
    };
    // The heavy tail raises the mean service time above the setting: 0.99 + 0.01 * 10 = 1.09.
    let mean_us = f64::from(WORK_US) * 1.09;
    #[expect(clippy::cast_precision_loss, reason = "a handful of servers")]
    let rate_per_s = load * BACKENDS as f64 * f64::from(SLOTS) * 1e6 / mean_us;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a count")]
    let requests = (rate_per_s * args.seconds) as u64;
    let plan = LoadPlan { rate_per_s, requests, timeout_ms: 5_000, ..LoadPlan::default() };
    let slowing = (trouble == Trouble::SlowThird).then(|| slow_thirds(behaviours.clone()));
    match trouble {
        Trouble::OneFails => behaviours[0].failing.store(true, Ordering::Relaxed),
        Trouble::StoreDown => fleet.bed.platform().switches.down.store(true, Ordering::Relaxed),
        _ => {}
    }
    let running = run_load(&plan, &callers);
    let kill = async {
        tokio::time::sleep(Duration::from_secs_f64(args.seconds / 2.0)).await;
        if trouble == Trouble::HomeKilled {
            let named = callers[0].addresses().await;
            let home = named.first().map(|named| named.address);
            let at = fleet.caller_addresses().iter().position(|address| Some(*address) == home);
            fleet.daemons[at.unwrap_or(0)].kill_now();
        }
    };
    let (summary, ()) = tokio::join!(running, kill);
    if let Some(slowing) = slowing {
        slowing.abort();
    }
    summary
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    println!("{}", LoadSummary::table_header());
    let scenes = [
        ("steady 50%", 0.5, Trouble::None),
        ("steady 80%", 0.8, Trouble::None),
        ("steady 95%", 0.95, Trouble::None),
        ("slow third 70%", 0.7, Trouble::SlowThird),
        ("one fails 50%", 0.5, Trouble::OneFails),
        ("store down 80%", 0.8, Trouble::StoreDown),
        ("home killed 50%", 0.5, Trouble::HomeKilled),
        ("overload 150%", 1.5, Trouble::None),
    ];
    let mut runs = Vec::new();
    for (name, load, trouble) in scenes.into_iter().filter(|s| s.0.contains(&args.only)) {
        let with_instances = scene(&args, load, trouble, false).await;
        println!("{}", with_instances.table_row(name));
        if !matches!(trouble, Trouble::StoreDown | Trouble::HomeKilled) {
            let baseline = scene(&args, load, trouble, true).await;
            println!("{}", baseline.table_row(&format!("  naive, {name}")));
        }
        runs.push((name.to_owned(), with_instances));
    }
    args.plot.as_ref().map_or(Ok(()), |path| write_plot(path, &runs))
}
