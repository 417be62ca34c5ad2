//! A clock that includes the time for which the machine was suspended.

use std::sync::OnceLock;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use super::now_us;

/// Suspended time of the machine at the first call of [`boot_us`].
static SUSPENDED_TIME_AT_START: OnceLock<Duration> = OnceLock::new();

/// How long the machine has been suspended since it booted, which the monotonic clock leaves out.
fn suspended_time() -> Duration {
    let since_start = |clock| Duration::try_from(clock_gettime(clock)).unwrap_or_default();
    let monotonic = since_start(ClockId::Monotonic);
    since_start(ClockId::Boottime).saturating_sub(monotonic)
}

/// Microseconds on the clock of [`now_us`] plus the time for which the machine was suspended since
/// the first call.
#[must_use]
pub fn boot_us() -> u64 {
    let at_start = *SUSPENDED_TIME_AT_START.get_or_init(suspended_time);
    let since_start_of_process = suspended_time().saturating_sub(at_start);
    now_us() + u64::try_from(since_start_of_process.as_micros()).unwrap_or(u64::MAX / 2)
}
