//! What happens during a trial.

use clap::ValueEnum;

/// One of the associations' services, or one at the size to design for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ServiceSize {
    /// 30 servers of 4 slots.
    Catalogue,
    /// 6 servers of 4 slots.
    Orders,
    /// 25 servers of 6 slots.
    Portal,
    /// 6 servers of 6 slots.
    Filings,
}

impl ServiceSize {
    /// Servers, slots of each, and the one-way time between zones in microseconds.
    #[must_use]
    pub const fn shape(self) -> (usize, u32, u64) {
        match self {
            Self::Catalogue => (30, 4, 1_000),
            Self::Orders => (6, 4, 1_000),
            Self::Portal => (25, 6, 1_500),
            Self::Filings => (6, 6, 1_500),
        }
    }
}

/// One trial.
#[derive(Clone, Debug)]
pub struct Scene {
    pub size: ServiceSize,
    /// Arrivals as a share of what all slots can do.
    pub load: f64,
    /// Share of the callers in each of three zones.
    pub zones: [f64; 3],
    pub homes: usize,
    /// A third of the servers, chosen anew each second, is ten times slower for 200 ms.
    pub slow_third: bool,
    /// The first server answers everything with an error at once.
    pub failing_server: bool,
    /// Servers from this second on that are cold or leave: none.
    pub overload_s: Option<(u64, u64, f64)>,
    /// How often homes tell each other of free slots.
    pub report_interval_us: u64,
    pub mean_work_us: f64,
    pub seconds: u64,
    pub deadline_us: u64,
    pub seed: u64,
}

impl Default for Scene {
    fn default() -> Self {
        Self {
            size: ServiceSize::Catalogue,
            load: 0.8,
            zones: [1.0 / 3.0; 3],
            homes: 3,
            slow_third: false,
            failing_server: false,
            overload_s: None,
            report_interval_us: 5_000,
            mean_work_us: 10_000.0,
            seconds: 30,
            deadline_us: 10_000_000,
            seed: 1,
        }
    }
}
