//! Runs the platform stand-in.

use std::net::SocketAddr;

use clap::Parser;
use standins::platform::Platform;
use standins::platform::PlatformState;

/// Serves keys, leases, watches and lists of machines from memory.
#[derive(Debug, Parser)]
struct Args {
    #[arg(long, default_value = "127.0.0.1:8500")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let platform = Platform::bind(args.listen, PlatformState::default()).await?;
    println!("platform stand-in on {}", platform.address());
    platform.run().await;
    Ok(())
}
