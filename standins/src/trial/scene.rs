//! Parameters of a simulation.

use clap::ValueEnum;

/// Size of the simulated service.
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
    /// Number of servers, slots per server, and one-way latency between zones in microseconds.
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

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Scene {
    pub size: ServiceSize,
    /// Arrival rate as a fraction of the capacity of all slots.
    pub load: f64,
    /// Fraction of the callers in each of the three zones.
    pub zones: [f64; 3],
    pub homes: usize,
    /// Each second, a random third of the servers is ten times slower for 200 ms.
    pub slow_third: bool,
    /// The first server responds to each request with an error at once.
    pub failing_server: bool,
    /// Overload: first second, end second, and the load in between; `None` for no overload.
    pub overload_s: Option<(u64, u64, f64)>,
    /// Interval at which homes report their free slots to each other.
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
