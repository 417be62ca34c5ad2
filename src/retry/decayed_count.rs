//! Counts recent events.

/// A count below this begins anew with the next event.
const COUNT_RESTART_BELOW: f64 = 0.5;
/// Least age of the first event that [`DecayedCount::steady_value`] assumes, in units of the
/// memory: the rate of events cannot be told from a shorter time.
const AGE_MIN_MEMORIES: f64 = 0.25;

/// A count in which each event loses weight with its age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayedCount {
    count: f64,
    counted_us: u64,
    /// Time of the first event that has weight now.
    began_us: u64,
}

impl DecayedCount {
    /// The count now. An event of age `memory_us` has 1/e of its first weight, so that at a steady
    /// rate this is the number of events within `memory_us`.
    #[expect(clippy::cast_precision_loss, reason = "times of some seconds")]
    pub(super) fn value(&self, memory_us: u64, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.counted_us) as f64;
        self.count * (-age_us / memory_us.max(1) as f64).exp()
    }

    /// What [`Self::value`] will be if the events go on at the rate since the first of them.
    #[expect(clippy::cast_precision_loss, reason = "times of some seconds")]
    pub(super) fn steady_value(&self, memory_us: u64, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.began_us) as f64;
        let memories = (age_us / memory_us.max(1) as f64).max(AGE_MIN_MEMORIES);
        self.value(memory_us, now_us) / (1.0 - (-memories).exp())
    }

    /// Whether the events so far have next to no weight, so that the next one is the first again.
    pub(super) fn is_negligible(&self, memory_us: u64, now_us: u64) -> bool {
        self.value(memory_us, now_us) < COUNT_RESTART_BELOW
    }

    /// Adds `events`, or the expected number of events.
    pub(super) fn add(&mut self, events: f64, memory_us: u64, now_us: u64) {
        if self.is_negligible(memory_us, now_us) {
            self.began_us = now_us;
        }
        self.count = self.value(memory_us, now_us) + events;
        self.counted_us = now_us;
    }
}
