//! Load generator.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use standins::caller::Caller;
use standins::load::LoadPlan;
use standins::load::LoadSummary;
use standins::load::run_load;
use standins::load::write_plot;

/// Sends open-loop load through sorrelwick and prints a table.
#[derive(Debug, Parser)]
struct Args {
    /// Caller addresses of instances, for address queries.
    #[arg(long, required = true, value_delimiter = ',')]
    instances: Vec<SocketAddr>,
    #[arg(long)]
    service: String,
    /// Zones of the callers, one caller each.
    #[arg(long, required = true, value_delimiter = ',')]
    zones: Vec<String>,
    /// Requests a second; several values make several runs.
    #[arg(long, default_value = "500", value_delimiter = ',')]
    rate: Vec<f64>,
    #[arg(long, default_value_t = 5_000)]
    requests: u64,
    #[arg(long, default_value = "/lookup")]
    path: String,
    #[arg(long, default_value = "GET")]
    method: String,
    #[arg(long, default_value_t = 2_000)]
    timeout_ms: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write a plot of the latency quantiles, as SVG.
    #[arg(long)]
    plot: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let callers: Vec<Caller> =
        args.zones.iter().map(|zone| Caller::new(&args.service, zone, &args.instances)).collect();
    println!("{}", LoadSummary::table_header());
    let mut runs = Vec::new();
    for rate_per_s in args.rate {
        let name = format!("{rate_per_s}/s");
        let plan = LoadPlan {
            rate_per_s,
            requests: args.requests,
            path: args.path.clone(),
            method: args.method.clone(),
            name: name.clone(),
            timeout_ms: args.timeout_ms,
            seed: args.seed,
            ..LoadPlan::default()
        };
        let summary = run_load(&plan, &callers).await;
        println!("{}", summary.table_row(&name));
        runs.push((name, summary));
    }
    args.plot.map_or(Ok(()), |path| write_plot(&path, &runs))
}
