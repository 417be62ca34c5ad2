//! A whole system on loopback: platform, backend servers and instances, for tests and examples.

mod bed;
mod fleet;
mod host;
mod own_addresses;
mod plan;
mod process;
mod wait;

pub use bed::Bed;
pub use fleet::Fleet;
pub use host::Host;
pub use own_addresses::own_addresses;
pub use plan::BedPlan;
pub use plan::settings_for;
pub use process::DaemonProcess;
pub use process::Usage;
pub use wait::until;
