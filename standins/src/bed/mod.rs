//! A whole system on loopback: platform, backend servers and instances, for tests and examples.

mod bed;
mod host;
mod plan;
mod process;
mod wait;

pub use bed::Bed;
pub use host::Host;
pub use plan::BedPlan;
pub use plan::settings_for;
pub use process::DaemonProcess;
pub use wait::until;
