//! Limits that backend servers in need name: requests a second that they take from all instances
//! together.

mod named_limit;
mod rate_limit;

pub use named_limit::NamedLimit;
pub use rate_limit::LIMIT_SPAN_S;
pub use rate_limit::LIMIT_SPAN_US;
pub use rate_limit::LimitUnreadable;
pub use rate_limit::RateLimit;
