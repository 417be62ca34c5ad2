//! Requests that this instance starts on backend servers which accept only a limited number from
//! all instances together: its recent starts, and its share of the limit.

mod home_share;
mod start_window;

pub use home_share::HomeSet;
pub use home_share::StartShare;
pub use start_window::StartWindow;
