//! Monotonic time since the start of the process, under tokio's clock so that tests can pause it.

use std::sync::OnceLock;

use tokio::time::Instant;

/// Value of the clock at its start, in microseconds. It keeps `now - window` above zero soon after
/// the start.
const OFFSET_US: u64 = 1_000_000_000;

static START: OnceLock<Instant> = OnceLock::new();

/// Microseconds on a clock that never goes back; it runs on while the process is stopped by a
/// signal.
#[must_use]
pub fn now_us() -> u64 {
    let start = *START.get_or_init(Instant::now);
    let elapsed = Instant::now().saturating_duration_since(start).as_micros();
    OFFSET_US + u64::try_from(elapsed).unwrap_or(u64::MAX - OFFSET_US)
}

/// Milliseconds on the clock of [`now_us`].
#[must_use]
pub fn now_ms() -> u64 {
    now_us() / 1000
}
