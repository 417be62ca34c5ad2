//! When a second attempt runs beside the first.

use crate::model::Preference;

/// Hedges allowed per request of a service.
pub const HEDGE_SHARE: f32 = 0.03;
/// A hedge never starts earlier than this many median service times.
const DELAY_MEDIANS_MIN: f32 = 2.0;
/// Nor earlier than this: the attempt that loses is cancelled by closing its connection, and a
/// new one costs about a millisecond, more than a hedge of a quick service could win.
const DELAY_MIN_US: f32 = 3_000.0;

/// How long after its start an idempotent attempt is joined by a second; `None` for never.
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
