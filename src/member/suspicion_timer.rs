//! Decides when a suspected member is declared dead.

use std::net::SocketAddr;
use std::time::Duration;

use super::LocalHealth;
use super::MemberTable;

/// Tick interval while there are suspects: short, so that a stall of this instance is detected.
const SUSPECT_TICK_MS: u64 = 50;
/// Tick interval while there are no suspects.
const IDLE_TICK_MS: u64 = 250;

/// Timer of suspicions; counts only the time in which this instance itself was not stalled.
#[derive(Clone, Copy, Debug)]
pub struct SuspicionTimer {
    /// How long a suspect has to refute the suspicion.
    timeout_ms: u64,
    health: LocalHealth,
    /// Time of the last tick.
    last_tick_ms: u64,
    /// Interval after which the next tick is due.
    tick_interval_ms: u64,
}

impl SuspicionTimer {
    /// Creates a timer that declares suspects dead after `timeout_ms`.
    #[must_use]
    pub const fn new(timeout_ms: u64, now_ms: u64) -> Self {
        Self {
            timeout_ms,
            health: LocalHealth::new(),
            last_tick_ms: now_ms,
            tick_interval_ms: IDLE_TICK_MS,
        }
    }

    /// Changes how long a suspect has to refute the suspicion, current suspects included.
    pub fn set_timeout(&mut self, timeout: Duration) {
        self.timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
    }

    /// Declares suspects dead whose timeout has passed; returns their peer addresses.
    pub fn tick(&mut self, members: &mut MemberTable, now_ms: u64) -> Vec<SocketAddr> {
        let elapsed_ms = now_ms.saturating_sub(self.last_tick_ms);
        let stalled_ms = self.health.record_tick(elapsed_ms, self.tick_interval_ms);
        self.last_tick_ms = now_ms;
        members.extend_suspicion(stalled_ms, now_ms);
        let dead = members.expire_suspects(self.timeout_ms, now_ms);
        self.tick_interval_ms = if members.has_suspects() { SUSPECT_TICK_MS } else { IDLE_TICK_MS };
        dead
    }

    /// Interval until the next tick.
    #[must_use]
    pub const fn tick_interval(&self) -> Duration {
        Duration::from_millis(self.tick_interval_ms)
    }
}
