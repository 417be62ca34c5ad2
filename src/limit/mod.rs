//! Rate limits that backend servers advertise: requests per second that they accept from all
//! instances together.

mod advertised_limit;
mod rate_limit;

pub use advertised_limit::AdvertisedLimit;
pub use rate_limit::InvalidRateLimit;
pub use rate_limit::LIMIT_WINDOW_S;
pub use rate_limit::LIMIT_WINDOW_US;
pub use rate_limit::RateLimit;
