//! Simulates the load-balancing policies and prints a table.

use clap::Parser;
use clap::ValueEnum;
use standins::trial::Policy;
use standins::trial::Scene;
use standins::trial::ServiceSize;
use standins::trial::TrialOutcome;
use standins::trial::run_trial;

/// Compares load-balancing policies on one scene, in virtual time.
#[derive(Debug, Parser)]
struct Args {
    #[arg(long, value_enum, default_value = "catalogue")]
    service: ServiceSize,
    /// Arrival rate as a fraction of the capacity of all slots.
    #[arg(long, default_value_t = 0.8)]
    load: f64,
    #[arg(long, default_value_t = 3)]
    homes: usize,
    /// Relative numbers of callers in the three zones.
    #[arg(long, value_delimiter = ',', default_value = "1,1,1")]
    zones: Vec<f64>,
    #[arg(long)]
    slow_third: bool,
    #[arg(long)]
    failing_server: bool,
    /// Load of 150% from the 10th to the 20th second.
    #[arg(long)]
    overload: bool,
    #[arg(long, default_value_t = 5)]
    tell_ms: u64,
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Policies to run; all by default.
    #[arg(long, value_enum, value_delimiter = ',')]
    policies: Vec<Policy>,
}

fn main() {
    let args = Args::parse();
    let sum: f64 = args.zones.iter().sum();
    let zone = |at: usize| args.zones.get(at).copied().unwrap_or(0.0) / sum;
    let scene = Scene {
        size: args.service,
        load: args.load,
        zones: [zone(0), zone(1), zone(2)],
        homes: args.homes,
        slow_third: args.slow_third,
        failing_server: args.failing_server,
        overload_s: args.overload.then_some((10, 20, 1.5)),
        report_interval_us: args.tell_ms * 1000,
        seconds: args.seconds,
        seed: args.seed,
        ..Scene::default()
    };
    println!("{}", TrialOutcome::table_header());
    let policies =
        if args.policies.is_empty() { Policy::value_variants().to_vec() } else { args.policies };
    for policy in policies {
        let outcome = run_trial(&scene, policy);
        let name = policy.to_possible_value().map_or_else(String::new, |v| v.get_name().to_owned());
        println!("{}", outcome.table_row(&name));
        if args.overload {
            println!("{:<20} recovered {} ms after the overload", "", outcome.recovery_ms);
        }
    }
}
