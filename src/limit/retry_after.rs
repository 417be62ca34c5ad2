//! The time for which a server that refused a request asks for no further ones.

use std::time::Duration;

/// Longest time that is believed. A server in trouble may state any, and would not be used again.
const RETRY_AFTER_MAX: Duration = Duration::from_hours(1);

/// A `Retry-After` value that is not a plausible number of seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRetryAfter;

/// Parses the value of a `Retry-After` header: seconds, with fractions.
///
/// # Errors
/// If it is no number, negative, or more than an hour.
pub fn parse_retry_after(text: &str) -> Result<Duration, InvalidRetryAfter> {
    let seconds: f64 = text.trim().parse().map_err(|_| InvalidRetryAfter)?;
    let time = Duration::try_from_secs_f64(seconds).map_err(|_| InvalidRetryAfter)?;
    if time <= RETRY_AFTER_MAX { Ok(time) } else { Err(InvalidRetryAfter) }
}
