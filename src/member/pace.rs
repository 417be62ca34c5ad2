//! Adapts the timing of the failure detector to how long answers take at the moment.

use std::time::Duration;

/// Round trips kept: enough that a few slow members do not change the median, few enough that it
/// follows within seconds.
const ROUND_TRIPS_KEPT: usize = 15;
/// Timeouts are at least this many usual round trips long. On a machine that is short of processor
/// time, a few answers take several times as long as the others.
const TIMEOUT_IN_ROUND_TRIPS: u64 = 8;
/// Largest factor on the configured timing, which bounds how late a dead member is noticed.
const FACTOR_MAX: u64 = 8;

/// Stretches the configured times while answers are slow.
///
/// If processors or links are overloaded, pings of live members time out. Each such suspicion costs
/// further messages, which delay more answers; the longer times end this, as they save messages.
#[derive(Clone, Debug)]
pub struct Pace {
    /// The configured timeout of a ping, in milliseconds.
    ping_timeout_ms: u64,
    /// The last round trips, in milliseconds; the oldest is replaced next.
    round_trips_ms: [u64; ROUND_TRIPS_KEPT],
    /// Index of the oldest round trip.
    oldest: usize,
}

impl Pace {
    /// The configured timing, until answers are known to be slow.
    #[must_use]
    pub const fn new(ping_timeout_ms: u64) -> Self {
        Self { ping_timeout_ms, round_trips_ms: [0; ROUND_TRIPS_KEPT], oldest: 0 }
    }

    /// Records how long an answer took, or how long this instance waited in vain for answers of
    /// several members.
    pub const fn record(&mut self, round_trip_ms: u64) {
        self.round_trips_ms[self.oldest] = round_trip_ms;
        self.oldest = (self.oldest + 1) % ROUND_TRIPS_KEPT;
    }

    /// A configured time as it applies at the moment.
    #[must_use]
    pub fn stretch(&self, configured_ms: u64) -> Duration {
        let needed_ms = self.median_ms() * TIMEOUT_IN_ROUND_TRIPS;
        let timeout_ms = needed_ms.clamp(self.ping_timeout_ms, self.ping_timeout_ms * FACTOR_MAX);
        Duration::from_millis(configured_ms * timeout_ms / self.ping_timeout_ms.max(1))
    }

    fn median_ms(&self) -> u64 {
        let mut sorted = self.round_trips_ms;
        sorted.sort_unstable();
        sorted[ROUND_TRIPS_KEPT / 2]
    }
}
