//! A complete system on loopback addresses for tests and examples: platform, backend servers and
//! instances.

mod daemon_process;
mod in_process_daemon;
mod process_fleet;
mod test_bed;
mod test_bed_plan;
mod unique_addresses;
mod wait;

pub use daemon_process::DaemonProcess;
pub use daemon_process::ProcessUsage;
pub use in_process_daemon::InProcessDaemon;
pub use process_fleet::ProcessFleet;
pub use test_bed::TestBed;
pub use test_bed_plan::TestBedPlan;
pub use test_bed_plan::settings_for;
pub use unique_addresses::unique_addresses;
pub use wait::wait_until;
