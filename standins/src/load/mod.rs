//! Open-loop load: requests start when they are due, whether or not earlier ones have ended.

mod plot;
mod runner;
mod summary;

pub use plot::write_plot;
pub use runner::LoadPlan;
pub use runner::run_load;
pub use summary::Summary;
