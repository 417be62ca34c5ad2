//! How many requests a backend server of a service is given at the same time, learned from how
//! long they take.

/// Weight of one sample once [`SAMPLES_MIN`] are there.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Samples with all slots in use before they are believed. With work that varies as much as its
/// mean, the mean of 24 is within a fifth, which tells a slowdown of 1.7 from none.
const SAMPLES_MIN: u32 = 24;
/// Share of the requests that try the last slot while it is not known whether it pays.
const UNKNOWN_TRIAL_SHARE: f64 = 0.12;
/// The same once it is believed not to pay, so that the belief can change. Each such request slows
/// all others on its server, so it must be rare where a service is short of room.
const TRIAL_SHARE: f64 = 0.015;

/// Mean of a ratio, quick at first, then moving.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
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
    full: Mean,
    below: Mean,
}

impl ConcurrencyLimit {
    /// Takes a sample: `running` requests of `slots` when it began, itself included, and how much
    /// longer than usual it took.
    pub fn record(&mut self, running: u32, slots: u32, took_ratio: f64) {
        if running >= slots {
            self.full.record(took_ratio);
        } else if running + 1 == slots {
            self.below.record(took_ratio);
        }
    }

    /// Whether the last slot is believed to pay.
    #[must_use]
    pub fn last_slot_pays(&self, slots: u32) -> bool {
        if slots < 2 {
            return true;
        }
        if self.full.samples < SAMPLES_MIN || self.below.samples < SAMPLES_MIN {
            return false;
        }
        let worth = f64::from(slots) / f64::from(slots - 1);
        self.full.value < worth * self.below.value
    }

    /// Requests that a server of `slots` may have, by a random number from 0 to 1.
    #[must_use]
    pub fn allowed(&self, slots: u32, random: f64) -> u32 {
        let known = self.full.samples >= SAMPLES_MIN && self.below.samples >= SAMPLES_MIN;
        let trial_share = if known { TRIAL_SHARE } else { UNKNOWN_TRIAL_SHARE };
        if self.last_slot_pays(slots) || random < trial_share { slots } else { slots - 1 }
    }
}
