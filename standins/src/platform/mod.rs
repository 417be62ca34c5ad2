//! A key-value service with Consul's HTTP API and switchable faults.

mod server;
mod state;

pub use server::Platform;
pub use server::Switches;
pub use state::ListedMachine;
pub use state::PlatformCopy;
pub use state::PlatformState;
