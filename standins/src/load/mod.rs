//! Open-loop load generator: requests start at their scheduled times, whether or not earlier ones have
//! completed.

mod load_summary;
mod plot;
mod runner;

pub use load_summary::LoadSummary;
pub use plot::write_plot;
pub use runner::LoadPlan;
pub use runner::run_load;
