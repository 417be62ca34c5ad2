//! The command line of the operators' tool.

use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;
use clap_complete::Shell;

/// Operates sorrelwick through any of its instances.
#[derive(Clone, Debug, Parser)]
#[command(name = "sorrelwick", version)]
pub struct ToolArgs {
    /// Operator address of any instance.
    #[arg(long, global = true, default_value = "127.0.0.1:7001", env = "SORRELWICK_ADDRESS")]
    pub address: String,
    /// The operator's token.
    #[arg(
        long,
        global = true,
        default_value = "",
        env = "SORRELWICK_TOKEN",
        hide_env_values = true
    )]
    pub token: String,
    /// Print JSON.
    #[arg(long, global = true)]
    pub json: bool,
    #[command(subcommand)]
    pub command: ToolCommand,
}

/// The commands of the tool.
#[derive(Clone, Debug, Subcommand)]
pub enum ToolCommand {
    /// Create, read and delete services.
    #[command(subcommand)]
    Service(ServiceCommand),
    /// Send a backend server no new requests and let it finish those in flight.
    Drain { service: String, backend_server: String },
    /// Send requests to a drained backend server again.
    Undrain { service: String, backend_server: String },
    /// Set how many probes per second all instances together may send.
    Budget { service: String, per_s: u32 },
    /// Show what `apply` would change.
    Plan {
        /// Directory with one declaration per file, `*.json` or `*.json5`.
        directory: PathBuf,
        /// Also delete services that no file declares.
        #[arg(long)]
        prune: bool,
    },
    /// Commit the declarations of a directory.
    Apply {
        /// Directory with one declaration per file, `*.json` or `*.json5`.
        directory: PathBuf,
        /// Also delete services that no file declares.
        #[arg(long)]
        prune: bool,
    },
    /// Show all instances and the service revisions in force on each.
    Status,
    /// Show the events of all instances in order of time.
    Timeline,
    /// Show the path of one request, from the logs of the instances.
    Explain {
        /// The request's id.
        id: String,
        /// Log files of all instances, `-` for standard input.
        #[arg(default_value = "-")]
        logs: Vec<PathBuf>,
    },
    /// Print a completion script.
    Completions { shell: Shell },
}

/// The commands on services.
#[derive(Clone, Debug, Subcommand)]
pub enum ServiceCommand {
    /// Create a service from a declaration file.
    Create { file: PathBuf },
    /// Replace a service by a declaration file, at the revision that you have seen.
    Update {
        file: PathBuf,
        #[arg(long)]
        expected_revision: u64,
    },
    /// Print a service.
    Get { name: String },
    /// List services.
    List,
    /// Delete a service, at the revision that you have seen.
    Delete {
        name: String,
        #[arg(long)]
        expected_revision: u64,
    },
}
