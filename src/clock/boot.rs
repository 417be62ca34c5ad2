//! Time that goes on while the machine is suspended.

use std::sync::OnceLock;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use super::now_us;

static SUSPENDED_TIME_AT_START: OnceLock<Duration> = OnceLock::new();

/// By how much the monotonic clock lags behind since the machine started.
fn suspended_time() -> Duration {
    let since_start = |clock| Duration::try_from(clock_gettime(clock)).unwrap_or_default();
    let monotonic = since_start(ClockId::Monotonic);
    since_start(ClockId::Boottime).saturating_sub(monotonic)
}

/// Microseconds on the clock of [`now_us`], and the time for which the machine was suspended, which that
/// clock does not count.
#[must_use]
pub fn boot_us() -> u64 {
    let at_start = *SUSPENDED_TIME_AT_START.get_or_init(suspended_time);
    let since_start_of_process = suspended_time().saturating_sub(at_start);
    now_us() + u64::try_from(since_start_of_process.as_micros()).unwrap_or(u64::MAX / 2)
}
