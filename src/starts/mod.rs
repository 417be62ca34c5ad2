//! Requests that this instance starts on backend servers which accept only a limited number from
//! all instances together: its recent starts, and its share of the limit.

mod home_set;
mod start_window;

pub use home_set::HomeSet;
pub use home_set::StartShare;
pub use start_window::StartWindow;
