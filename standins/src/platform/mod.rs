//! The platform's key-value service, by Consul's HTTP interface, with switches for its faults.

mod server;
mod state;

pub use server::Platform;
pub use server::Switches;
pub use state::ListedMachine;
pub use state::PlatformState;
