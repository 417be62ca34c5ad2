//! The result of checks of some servers of one service.

use tokio::task::JoinSet;

/// Failed checks for each successful one from which on the servers count as lost.
const LOST_RATIO: usize = 3;

/// How many of the checked servers were reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CheckResult {
    pub reached: usize,
    pub failed: usize,
}

impl CheckResult {
    /// Waits for all checks and counts them; one that panicked has failed.
    pub async fn collect(mut checks: JoinSet<Option<bool>>) -> Self {
        let mut result = Self::default();
        while let Some(checked) = checks.join_next().await {
            result.record(checked.unwrap_or(Some(false)));
        }
        result
    }

    /// Counts a check; `None` is one that could not be made.
    const fn record(&mut self, reached: Option<bool>) {
        match reached {
            Some(true) => self.reached += 1,
            Some(false) => self.failed += 1,
            None => {}
        }
    }

    /// Whether a good part of the servers can be reached.
    #[must_use]
    pub const fn is_reached(self) -> bool {
        self.reached > 0 && !self.is_lost()
    }

    /// Whether hardly any of the servers can be reached.
    #[must_use]
    pub const fn is_lost(self) -> bool {
        self.failed > 0 && self.reached * LOST_RATIO <= self.failed
    }
}
