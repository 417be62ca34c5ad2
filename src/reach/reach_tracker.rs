//! Collects evidence on the paths to the servers of one service; no I/O.

use std::collections::HashSet;

use super::CheckResult;
use super::ReachEvidence;

/// Length of one of the two periods over which evidence is collected.
const PERIOD_US: u64 = 250_000;
/// Distinct servers that must have failed before the paths are in doubt, unless the service has
/// fewer.
const FAILED_SERVERS_MIN: usize = 3;
/// Time from the first failure until the paths are in doubt: a shorter interruption is left to
/// retries.
const DOUBT_DELAY_US: u64 = 100_000;
/// Distinct servers remembered in each period; more would not change the result.
const SERVERS_MAX: usize = 64;

/// The servers that gave evidence in one period, by their hashes.
#[derive(Debug, Default)]
struct Period {
    responded: HashSet<u32>,
    failed: HashSet<u32>,
    connect_failed: HashSet<u32>,
    /// Whether any server responded on a new connection.
    connected: bool,
}

fn insert_bounded(servers: &mut HashSet<u32>, server: u32) {
    if servers.len() < SERVERS_MAX {
        servers.insert(server);
    }
}

/// Evidence of the last one to two periods. Bounded, whatever the number of servers and requests.
#[derive(Debug, Default)]
pub struct ReachTracker {
    current: Period,
    previous: Period,
    /// Start of the current period.
    period_started_us: u64,
    /// First failure since evidence last spoke against a doubt; `None` without one.
    first_failure_us: Option<u64>,
    /// When a server last responded; 0 if never.
    responded_at_us: u64,
    /// Number of servers of the service.
    servers: usize,
}

impl ReachTracker {
    /// Adds evidence on one server of the `servers` that the service has.
    pub fn record(&mut self, server: u32, evidence: ReachEvidence, servers: usize, now_us: u64) {
        self.advance(now_us);
        self.servers = servers;
        match evidence {
            ReachEvidence::Responded | ReachEvidence::RespondedOnNewConnection => {
                self.responded_at_us = now_us;
                insert_bounded(&mut self.current.responded, server);
                self.current.connected |= evidence == ReachEvidence::RespondedOnNewConnection;
            }
            ReachEvidence::ConnectFailed => {
                insert_bounded(&mut self.current.failed, server);
                insert_bounded(&mut self.current.connect_failed, server);
            }
            ReachEvidence::NoResponse => insert_bounded(&mut self.current.failed, server),
        }
        if self.speaks_for_loss() {
            self.first_failure_us.get_or_insert(now_us);
        } else {
            self.first_failure_us = None;
        }
    }

    /// Starts a new period if the current one is over.
    fn advance(&mut self, now_us: u64) {
        let age_us = now_us.saturating_sub(self.period_started_us);
        if age_us < PERIOD_US {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age_us >= 2 * PERIOD_US {
            self.previous = Period::default();
        }
        self.period_started_us = now_us;
        if !self.speaks_for_loss() {
            self.first_failure_us = None;
        }
    }

    /// Distinct servers that responded, and those that only failed.
    #[must_use]
    pub fn counts(&self) -> CheckResult {
        let responded: HashSet<u32> =
            self.current.responded.union(&self.previous.responded).copied().collect();
        let failed = self.current.failed.union(&self.previous.failed);
        let failed = failed.filter(|server| !responded.contains(server));
        CheckResult { reached: responded.len(), failed: failed.count() }
    }

    /// Whether so many servers failed that a loss of all paths is possible.
    fn speaks_for_loss(&self) -> bool {
        let enough = FAILED_SERVERS_MIN.min(self.servers.max(1));
        if self.current.failed.len() + self.previous.failed.len() < enough {
            return false;
        }
        let counts = self.counts();
        if counts.failed >= enough && counts.is_lost() {
            return true;
        }
        let connected = self.current.connected || self.previous.connected;
        let connect_failed = self.current.connect_failed.union(&self.previous.connect_failed);
        !connected && connect_failed.count() >= enough
    }

    /// Whether the paths may be lost, so that they are worth checking.
    #[must_use]
    pub fn in_doubt(&mut self, now_us: u64) -> bool {
        self.advance(now_us);
        self.first_failure_us
            .is_some_and(|first_us| now_us.saturating_sub(first_us) >= DOUBT_DELAY_US)
    }

    /// When a server last responded; 0 if never.
    #[must_use]
    pub const fn responded_at_us(&self) -> u64 {
        self.responded_at_us
    }
}
