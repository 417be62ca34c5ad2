//! Timing of hedged attempts.

use crate::model::Preference;

/// Hedges allowed per request of a service.
pub const HEDGE_SHARE: f32 = 0.03;
/// A hedge starts no earlier than this many median service times after the first attempt.
const DELAY_MEDIANS_MIN: f32 = 2.0;
/// Minimum hedge delay in microseconds. The losing attempt is cancelled by closing its connection,
/// and a new connection takes about a millisecond, which is more than a hedge saves for a fast
/// service.
const DELAY_MIN_US: f32 = 3_000.0;

/// Time after the start of an attempt at which a hedge is started, in microseconds; `None` if the
/// request must not be hedged.
#[must_use]
pub fn hedge_delay_us(
    preference: Preference,
    idempotent: bool,
    median_us: f32,
    high_quantile_us: f32,
) -> Option<u64> {
    if !idempotent || preference == Preference::Cost || median_us == 0.0 {
        return None;
    }
    let delay = high_quantile_us.max(DELAY_MEDIANS_MIN * median_us).max(DELAY_MIN_US);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a quantile of microseconds is positive and fits"
    )]
    let delay_us = delay as u64;
    Some(delay_us)
}
