//! Open-loop load: requests start when they are due, whether or not earlier ones have ended.

mod load_summary;
mod plot;
mod runner;

pub use load_summary::LoadSummary;
pub use plot::write_plot;
pub use runner::LoadPlan;
pub use runner::run_load;
