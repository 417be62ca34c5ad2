//! Backend servers that are cold: just started, or back after an evacuation. They work slower, and
//! crash under more than some requests a second from all instances together.

mod cold_limit;
mod cold_rule;
mod cold_state;

pub use cold_limit::COLD_WINDOW_US;
pub use cold_limit::ColdLimit;
pub use cold_rule::ColdRule;
pub use cold_state::ColdState;
