//! Runs stand-in backend servers.

use std::path::PathBuf;

use clap::Parser;
use standins::backend::Backend;
use standins::backend::BackendSettings;

/// Runs one backend server per entry of the settings file.
#[derive(Debug, Parser)]
struct Args {
    /// JSON with comments: a list of settings, one per backend server.
    #[arg(long)]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Args::parse();
    let text = std::fs::read_to_string(&args.settings)?;
    let all: Vec<BackendSettings> = json5::from_str(&text)?;
    let mut servers = tokio::task::JoinSet::new();
    for settings in all {
        let backend = Backend::bind(settings).await?;
        println!("backend stand-in {} on {}", backend.id(), backend.address());
        servers.spawn(backend.run());
    }
    while servers.join_next().await.is_some() {}
    Ok(())
}
