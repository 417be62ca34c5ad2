//! The number of requests that a backend server of a service runs concurrently, learned from
//! service times.

/// Weight of a sample in the moving mean once it has [`SAMPLES_MIN`] samples.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Samples needed in each state before their mean is used. If service times vary as much as their
/// mean, the mean of 36 samples is within a sixth. Fewer samples are also biased, as short requests
/// finish first.
const SAMPLES_MIN: u32 = 36;
/// The last slot is disabled if its slowdown exceeds the capacity that it adds, and enabled if the
/// slowdown is below this fraction of it. The gap is hysteresis.
const HYSTERESIS_FACTOR: f64 = 0.6;
/// Fraction of the servers that may fill their last slot to collect samples, as long as there are
/// too few. These servers may run slower meanwhile.
const INITIAL_EXPLORATION_SHARE: f64 = 0.1;
/// The same fraction once the last slot is disabled, so that the decision can change.
const EXPLORATION_SHARE: f64 = 0.03;
/// How long a server is selected for exploration. A few usual service times, so that whole requests
/// fall into one period.
const EXPLORATION_PERIOD_US: u64 = 1_000_000;
/// A sample counts as saturated if all slots were in use for at least this fraction of the
/// request's time.
const SATURATED_SHARE_MIN: f64 = 0.7;
/// A sample counts as unsaturated if all slots were in use for at most this fraction of the
/// request's time. Samples in between are ambiguous and discarded.
const UNSATURATED_SHARE_MAX: f64 = 0.1;

/// Mean of a ratio: the plain mean of the first samples, then an exponentially weighted moving
/// mean.
#[derive(Clone, Copy, Debug, Default)]
struct MovingMean {
    value: f64,
    samples: u32,
}

impl MovingMean {
    fn record(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(SAMPLE_WEIGHT);
        self.value += weight * (sample - self.value);
    }
}

/// Learns whether filling the last slot of a backend server increases its throughput.
///
/// Some servers slow down all their requests when they are nearly full. Filling the last of `n`
/// slots increases throughput only if requests take less than `n / (n - 1)` times as long with `n`
/// running as with `n - 1`.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    /// Service time, relative to the usual one, of requests whose server had all slots in use.
    saturated: MovingMean,
    /// Service time, relative to the usual one, of requests whose server had one slot free.
    one_slot_free: MovingMean,
    /// Whether the last slot of each server is used. Off until the samples show that it increases
    /// throughput.
    last_slot_enabled: bool,
}

impl ConcurrencyLimit {
    /// Whether a slot was free for nearly all of a request's time.
    #[must_use]
    pub fn is_unsaturated(saturated_share: f64) -> bool {
        saturated_share <= UNSATURATED_SHARE_MAX
    }

    /// Records a sample.
    ///
    /// `saturated_share` is the fraction of the request's time for which all slots of its server
    /// were in use, `nearly_full` whether at most one slot was free when it started, and
    /// `took_ratio` its service time relative to the usual one.
    ///
    /// The occupancy at the start alone would mislead: the next request takes the last slot and
    /// slows down the running ones, which would then count as slow without it.
    pub fn record(&mut self, slots: u32, saturated_share: f64, nearly_full: bool, took_ratio: f64) {
        if saturated_share >= SATURATED_SHARE_MIN {
            self.saturated.record(took_ratio);
        } else if Self::is_unsaturated(saturated_share) && nearly_full {
            self.one_slot_free.record(took_ratio);
        }
        self.update_decision(slots);
    }

    /// Whether the last slot is used. The only slot of a server always is.
    #[must_use]
    pub const fn is_last_slot_enabled(&self, slots: u32) -> bool {
        self.last_slot_enabled || slots < 2
    }

    /// Updates the decision if the means are clear. Between the two thresholds it stays, as noise
    /// would flip it with every request.
    fn update_decision(&mut self, slots: u32) {
        if slots < 2 || !self.has_enough_samples() {
            return;
        }
        let gain = 1.0 / f64::from(slots - 1);
        let slowdown = self.saturated.value / self.one_slot_free.value.max(f64::MIN_POSITIVE) - 1.0;
        if slowdown > gain {
            self.last_slot_enabled = false;
        } else if slowdown < gain * HYSTERESIS_FACTOR {
            self.last_slot_enabled = true;
        }
    }

    const fn has_enough_samples(&self) -> bool {
        self.saturated.samples >= SAMPLES_MIN && self.one_slot_free.samples >= SAMPLES_MIN
    }

    /// Mean service times, relative to the usual one, with all slots in use and with one slot free.
    #[must_use]
    pub const fn mean_ratios(&self) -> (f64, f64) {
        (self.saturated.value, self.one_slot_free.value)
    }

    /// Concurrent requests allowed now on a server with `slots` slots. `key` identifies the server,
    /// so that only some servers explore at any time.
    #[must_use]
    pub fn current_limit(&self, slots: u32, key: u32, now_us: u64) -> u32 {
        if self.is_last_slot_enabled(slots) || self.is_exploring(key, now_us) {
            slots
        } else {
            slots - 1
        }
    }

    /// Concurrent requests on a server with `slots` slots, without exploration.
    #[must_use]
    pub fn steady_limit(&self, slots: u32) -> u32 {
        if self.is_last_slot_enabled(slots) { slots } else { slots - 1 }
    }

    fn is_exploring(&self, key: u32, now_us: u64) -> bool {
        let share =
            if self.has_enough_samples() { EXPLORATION_SHARE } else { INITIAL_EXPLORATION_SHARE };
        let mut seed = [0; 16];
        seed[..8].copy_from_slice(&(now_us / EXPLORATION_PERIOD_US).to_le_bytes());
        seed[8..12].copy_from_slice(&key.to_le_bytes());
        let drawn = xxhash_rust::xxh3::xxh3_64(&seed) >> 11;
        #[expect(clippy::cast_precision_loss, reason = "53 bits fit")]
        let drawn = drawn as f64 / (1_u64 << 53) as f64;
        drawn < share
    }
}
