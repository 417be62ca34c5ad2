//! Limits: the rates that backend servers advertise, in requests per second that they accept from all
//! instances together, and the sizes of their responses.

mod advertised_limit;
mod byte_limit;
mod rate_limit;
mod retry_after;

pub use advertised_limit::AdvertisedLimit;
pub use byte_limit::ByteLimit;
pub use byte_limit::RESPONSE_MAX_BYTES;
pub use byte_limit::TooManyBytes;
pub use rate_limit::InvalidRateLimit;
pub use rate_limit::LIMIT_WINDOW_S;
pub use rate_limit::LIMIT_WINDOW_US;
pub use rate_limit::RateLimit;
pub use retry_after::InvalidRetryAfter;
pub use retry_after::parse_retry_after;
