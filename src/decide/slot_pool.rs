//! The slots that one instance hands out for one service.

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::AttemptOutcome;
use super::HEDGE_SHARE;
use super::Quantile;
use super::RETRY_SHARE;
use super::RatioBudget;
use super::ServerLoad;
use super::ServerScope;
use super::choose_server;

const MEDIAN: f32 = 0.5;
/// Quantile of the service time after which a request may be hedged.
const HIGH_QUANTILE: f32 = 0.96;

/// Load, limits and budgets of the servers of one service. It has no I/O and no clock, and does not
/// allocate when requests start and end.
#[derive(Clone, Debug)]
pub struct SlotPool {
    loads: Vec<ServerLoad>,
    median: Quantile,
    high_quantile: Quantile,
    pub retry_budget: RatioBudget,
    pub hedge_budget: RatioBudget,
    rng: Pcg64Mcg,
}

impl SlotPool {
    /// A pool over `loads`; `seed` determines how ties are broken.
    #[must_use]
    pub fn new(loads: Vec<ServerLoad>, seed: u64) -> Self {
        Self {
            loads,
            median: Quantile::new(MEDIAN),
            high_quantile: Quantile::new(HIGH_QUANTILE),
            retry_budget: RatioBudget::new(RETRY_SHARE),
            hedge_budget: RatioBudget::new(HEDGE_SHARE),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The loads, in the order of the backend servers.
    #[must_use]
    pub fn loads(&self) -> &[ServerLoad] {
        &self.loads
    }

    /// The loads, to record reports and states.
    pub fn loads_mut(&mut self) -> &mut Vec<ServerLoad> {
        &mut self.loads
    }

    /// Median service time in microseconds; 0 before the first answer.
    #[must_use]
    pub const fn median_service_us(&self) -> f32 {
        self.median.value()
    }

    /// Service time in microseconds after which a hedge is worth its cost.
    #[must_use]
    pub const fn high_quantile_us(&self) -> f32 {
        self.high_quantile.value()
    }

    /// Acquires a slot of the best server with a free one, except those in `tried`.
    pub fn acquire_slot(
        &mut self,
        scope: ServerScope,
        tried: &[usize],
        now_us: u64,
    ) -> Option<usize> {
        let start = self.rng.random_range(0..self.loads.len().max(1));
        let index =
            choose_server(&self.loads, scope, tried, self.median_service_us(), start, now_us)?;
        self.loads[index].record_start(now_us);
        Some(index)
    }

    /// Releases the slot of an ended attempt.
    pub fn release_slot(&mut self, index: usize, outcome: AttemptOutcome, now_us: u64) {
        let may_eject = self.may_eject(now_us);
        if let AttemptOutcome::Answered { latency_us } = outcome {
            #[expect(clippy::cast_precision_loss, reason = "an estimate of a quantile")]
            let sample = latency_us as f32;
            self.median.record(sample);
            self.high_quantile.record(sample);
        }
        if let Some(load) = self.loads.get_mut(index) {
            load.record_outcome(outcome, may_eject, now_us);
        }
    }

    /// At most half of the servers are ejected. If most of them fail, the fault is probably
    /// elsewhere, and the remaining servers would be overloaded too.
    fn may_eject(&self, now_us: u64) -> bool {
        let ejected = self.loads.iter().filter(|load| load.is_ejected(now_us)).count();
        (ejected + 1) * 2 <= self.loads.len()
    }

    /// Slots of the servers that this instance may use now, free or not, except those in `tried`.
    #[must_use]
    pub fn usable_slots(&self, scope: ServerScope, tried: &[usize], now_us: u64) -> u32 {
        let loads = self.loads.iter().enumerate();
        let in_scope = loads.filter(|(at, load)| load.in_scope(scope) && !tried.contains(at));
        let usable = in_scope.filter(|(_, load)| load.usable(now_us));
        usable.map(|(_, load)| load.current_limit(now_us)).sum()
    }

    /// Free slots of the servers that this instance keeps.
    #[must_use]
    pub fn free_slots(&self, now_us: u64) -> u32 {
        let free = self.loads.iter().filter(|load| load.has_free_slot(ServerScope::Own, now_us));
        free.map(|load| load.current_limit(now_us) - load.load(now_us)).sum()
    }
}
