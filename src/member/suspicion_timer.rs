//! When a suspect counts as dead.

use std::net::SocketAddr;
use std::time::Duration;

use super::LocalHealth;
use super::MemberTable;

/// Time between two looks while there are suspects: short, so that a time in which this instance was
/// held up shows.
const SUSPECT_TICK_MS: u64 = 50;
/// The same while there is none.
const IDLE_TICK_MS: u64 = 250;

/// Judges the suspects of one instance, by the time in which that instance itself ran as it should.
#[derive(Clone, Copy, Debug)]
pub struct SuspicionTimer {
    timeout_ms: u64,
    health: LocalHealth,
    /// When the last turn was.
    last_tick_ms: u64,
    /// After how long the next turn is due.
    tick_interval_ms: u64,
}

impl SuspicionTimer {
    /// Suspects may answer for `timeout_ms`.
    #[must_use]
    pub const fn new(timeout_ms: u64, now_ms: u64) -> Self {
        Self {
            timeout_ms,
            health: LocalHealth::new(),
            last_tick_ms: now_ms,
            tick_interval_ms: IDLE_TICK_MS,
        }
    }

    /// Declares suspects dead whose time is over; returns their peer addresses.
    pub fn tick(&mut self, members: &mut MemberTable, now_ms: u64) -> Vec<SocketAddr> {
        let elapsed_ms = now_ms.saturating_sub(self.last_tick_ms);
        let stalled_ms = self.health.record_tick(elapsed_ms, self.tick_interval_ms);
        self.last_tick_ms = now_ms;
        members.extend_suspicion(stalled_ms, now_ms);
        let dead = members.expire_suspects(self.timeout_ms, now_ms);
        self.tick_interval_ms = if members.has_suspects() { SUSPECT_TICK_MS } else { IDLE_TICK_MS };
        dead
    }

    /// Time from one turn to the next.
    #[must_use]
    pub const fn tick_interval(&self) -> Duration {
        Duration::from_millis(self.tick_interval_ms)
    }
}
