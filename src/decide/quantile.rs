//! A streaming estimate of one quantile in constant space.

/// Step of the estimate, as a fraction of its value. One sample changes it by at most one step.
const STEP_SHARE: f32 = 0.05;

/// Estimate of the quantile `p`. It moves up by `p` steps for a larger sample and down by `1 - p`
/// steps for a smaller one, so it settles where a fraction `p` of the samples is smaller.
#[derive(Clone, Debug)]
pub struct Quantile {
    /// From 0 to 1.
    p: f32,
    /// 0 before the first sample.
    value: f32,
}

impl Quantile {
    /// An estimate without samples.
    #[must_use]
    pub const fn new(p: f32) -> Self {
        Self { p, value: 0.0 }
    }

    /// Adds a sample.
    pub fn record(&mut self, sample: f32) {
        if self.value == 0.0 {
            self.value = sample;
            return;
        }
        let step = STEP_SHARE * self.value.max(1.0);
        if sample > self.value {
            self.value += step * self.p;
        } else {
            self.value -= step * (1.0 - self.p);
        }
    }

    /// The estimate, in the unit of the samples.
    #[must_use]
    pub const fn value(&self) -> f32 {
        self.value
    }
}
