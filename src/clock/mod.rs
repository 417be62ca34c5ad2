//! Monotonic time for decisions and a hybrid logical clock for the event timeline.

mod boot;
mod hybrid;
mod mono;

pub use boot::boot_us;
pub use hybrid::HybridClock;
pub use mono::now_ms;
pub use mono::now_us;
