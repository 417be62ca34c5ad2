//! The daemon's command line.

use std::path::PathBuf;

use clap::Parser;

/// One instance of the sorrelwick load balancer.
#[derive(Clone, Debug, Parser)]
#[command(name = "sorrelwickd", version)]
pub struct DaemonArgs {
    /// Settings file, JSON with comments.
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Check the settings, print each fault, and exit.
    #[arg(long)]
    pub check: bool,
    /// Print the commented defaults and exit.
    #[arg(long)]
    pub print_defaults: bool,
}
