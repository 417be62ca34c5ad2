//! Requests that this instance starts at backend servers which bear only so many from all instances
//! together: what it started lately, and its part of them.

mod home_share;
mod start_window;

pub use home_share::HomeShare;
pub use home_share::StartShare;
pub use start_window::StartWindow;
