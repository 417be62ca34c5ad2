//! Adapts the timing of the failure detector to how long answers take at the moment.

use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;

/// Round trips kept: enough that one slow member does not change the median, few enough that it
/// follows within seconds.
const ROUND_TRIPS_KEPT: usize = 7;
/// Timeouts are at least this many usual round trips long. On a machine that is short of processor
/// time, a few answers take several times as long as the others.
const TIMEOUT_IN_ROUND_TRIPS: u64 = 8;
/// Largest factor on timeouts, which bounds how late a dead member is noticed.
const TIMEOUT_FACTOR_MAX: u64 = 8;
/// Largest factor on the interval of pings: with longer ones it would take too long until this
/// instance notices that answers are quick again.
const INTERVAL_FACTOR_MAX: u32 = 2;

/// Stretches the configured times while answers are slow.
///
/// If processors or links are overloaded, pings of live members time out. Each such suspicion costs
/// further messages, which delay more answers; the longer times end this, as they save messages.
#[derive(Clone, Debug)]
pub struct Pace {
    /// The configured timeout of a ping, in milliseconds.
    ping_timeout_ms: u64,
    /// The last round trips, in milliseconds; the oldest first.
    round_trips_ms: VecDeque<u64>,
}

impl Pace {
    /// The configured timing, until answers are known to be slow.
    #[must_use]
    pub fn new(ping_timeout_ms: u64) -> Self {
        Self { ping_timeout_ms, round_trips_ms: VecDeque::with_capacity(ROUND_TRIPS_KEPT) }
    }

    /// Records how long an answer took, or how long this instance waited in vain for answers of
    /// several members.
    pub fn record(&mut self, round_trip_ms: u64) {
        if self.round_trips_ms.len() == ROUND_TRIPS_KEPT {
            self.round_trips_ms.pop_front();
        }
        self.round_trips_ms.push_back(round_trip_ms);
    }

    /// A configured timeout as it applies at the moment.
    #[must_use]
    pub fn stretch(&self, configured_ms: u64) -> Duration {
        let longest_ms = self.ping_timeout_ms * TIMEOUT_FACTOR_MAX;
        let needed_ms = self.median_ms() * TIMEOUT_IN_ROUND_TRIPS;
        let ping_timeout_ms = needed_ms.clamp(self.ping_timeout_ms, longest_ms);
        Duration::from_millis(configured_ms * ping_timeout_ms / self.ping_timeout_ms.max(1))
    }

    /// The configured interval of pings as it applies at the moment.
    #[must_use]
    pub fn stretch_interval(&self, configured_ms: u64) -> Duration {
        let longest = Duration::from_millis(configured_ms) * INTERVAL_FACTOR_MAX;
        self.stretch(configured_ms).min(longest)
    }

    /// 0 before the first round trip.
    fn median_ms(&self) -> u64 {
        let mut sorted: SmallVec<[u64; ROUND_TRIPS_KEPT]> =
            self.round_trips_ms.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 2).copied().unwrap_or(0)
    }
}
