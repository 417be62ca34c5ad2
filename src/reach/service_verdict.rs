//! Whether an instance has lost the servers of one service.

use super::CheckResult;

/// How long another instance's word that it reaches the servers counts. After that, the servers may
/// have failed for all.
pub(super) const CONFIRMED_US: u64 = 2_000_000;
/// Successful rounds in a row after which a service is no longer lost.
const ROUNDS_TO_RECOVER: u32 = 2;

/// What the monitor knows about one service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceVerdict {
    pub(super) lost: bool,
    /// Rounds in a row in which the servers were reached.
    pub(super) rounds_reached: u32,
    /// When another instance last said that it reaches the servers.
    pub(super) confirmed_at_us: Option<u64>,
}

impl ServiceVerdict {
    pub(super) fn is_confirmed(&self, now_us: u64) -> bool {
        self.confirmed_at_us.is_some_and(|at_us| now_us.saturating_sub(at_us) <= CONFIRMED_US)
    }

    /// Applies the result of a round of checks that began at `began_us`. A word from before that
    /// counts only for a service that is lost already: the servers may have failed for all since.
    pub(super) fn update(&mut self, result: CheckResult, began_us: u64, now_us: u64) {
        if result.is_lost() {
            self.rounds_reached = 0;
            let confirmed_now = self.confirmed_at_us.is_some_and(|at_us| at_us >= began_us);
            self.lost = confirmed_now || (self.lost && self.is_confirmed(now_us));
        } else if result.reached > 0 {
            self.rounds_reached += 1;
            self.lost &= self.rounds_reached < ROUNDS_TO_RECOVER;
        }
    }
}
