//! How many requests a backend server of a service is given at the same time, learned from how
//! long they take.

/// Weight of one sample once [`SAMPLES_MIN`] are there.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Samples with all slots in use before they are believed. With work that varies as much as its
/// mean, the mean of 36 is within a sixth; fewer are also biased, as short work ends first.
const SAMPLES_MIN: u32 = 36;
/// The last slot is believed to pay once the slowdown is less than this part of what it gains.
const HYSTERESIS_FACTOR: f64 = 0.6;
/// Share of the servers that may fill their last slot, for a while each, as long as it is not known
/// whether it pays; and once it is believed not to, so that the belief can change. Each such server
/// may work slower for that while.
const INITIAL_EXPLORATION_SHARE: f64 = 0.1;
const EXPLORATION_SHARE: f64 = 0.03;
/// How long a server is on trial: a few times the usual work, so that whole requests fall into it.
const EXPLORATION_PERIOD_US: u64 = 1_000_000;
/// A request counts as run on a full server when that was so for this part of its time at least,
/// and as run below when for this part at most. What lies between tells nothing clear.
const SATURATED_SHARE_MIN: f64 = 0.7;
const UNSATURATED_SHARE_MAX: f64 = 0.1;

/// Mean of a ratio, quick at first, then moving.
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

/// Whether the last slot of a backend server pays.
///
/// Some servers slow down all of their work when they are nearly full. Filling the last of `n`
/// slots then serves less than leaving it empty: it pays only while work with `n` running takes
/// less than `n / (n - 1)` times as long as with `n - 1` running.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    saturated: MovingMean,
    one_slot_free: MovingMean,
    /// Not believed before it was seen.
    last_slot_pays: bool,
}

impl ConcurrencyLimit {
    /// Whether a request had a slot left beside it for nearly all of its time.
    #[must_use]
    pub fn is_unsaturated(full_part: f64) -> bool {
        full_part <= UNSATURATED_SHARE_MAX
    }

    /// Takes a sample: the part of its time for which all slots of its server were in use, whether
    /// all but one were when it began, and how much longer than usual it took.
    ///
    /// Counting only how many ran when it began would not do: the next request fills the last slot
    /// and slows those that are there, which then look slow without it.
    pub fn record(&mut self, slots: u32, full_part: f64, nearly_full: bool, took_ratio: f64) {
        if full_part >= SATURATED_SHARE_MIN {
            self.saturated.record(took_ratio);
        } else if Self::is_unsaturated(full_part) && nearly_full {
            self.one_slot_free.record(took_ratio);
        }
        self.update_decision(slots);
    }

    /// Whether the last slot is believed to pay.
    #[must_use]
    pub const fn last_slot_pays(&self, slots: u32) -> bool {
        self.last_slot_pays || slots < 2
    }

    /// Changes the belief where the means say so clearly. Between the two bounds it stays: near
    /// them, chance would turn it with each request.
    fn update_decision(&mut self, slots: u32) {
        if slots < 2 || !self.has_enough_samples() {
            return;
        }
        let gain = 1.0 / f64::from(slots - 1);
        let slowdown = self.saturated.value / self.one_slot_free.value.max(f64::MIN_POSITIVE) - 1.0;
        if slowdown > gain {
            self.last_slot_pays = false;
        } else if slowdown < gain * HYSTERESIS_FACTOR {
            self.last_slot_pays = true;
        }
    }

    const fn has_enough_samples(&self) -> bool {
        self.saturated.samples >= SAMPLES_MIN && self.one_slot_free.samples >= SAMPLES_MIN
    }

    /// Mean time, against the usual, of requests on full servers and on those with one slot left.
    #[must_use]
    pub const fn mean_ratios(&self) -> (f64, f64) {
        (self.saturated.value, self.one_slot_free.value)
    }

    /// Requests that a server of `slots` may have. `key` tells servers apart, so that at each time
    /// some are on trial.
    #[must_use]
    pub fn current_limit(&self, slots: u32, key: u32, now_us: u64) -> u32 {
        if self.last_slot_pays(slots) || self.is_exploring(key, now_us) { slots } else { slots - 1 }
    }

    /// Requests that servers of `slots` have in the long run.
    #[must_use]
    pub fn steady_limit(&self, slots: u32) -> u32 {
        if self.last_slot_pays(slots) { slots } else { slots - 1 }
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
