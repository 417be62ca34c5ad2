//! Cold backend servers, which have just started or return after an evacuation. They are slower,
//! and crash if all instances together send more than a few requests per second.

mod cold_limit;
mod cold_policy;
mod cold_state;

pub use cold_limit::COLD_WINDOW_US;
pub use cold_limit::ColdLimit;
pub use cold_policy::ColdPolicy;
pub use cold_state::ColdState;
