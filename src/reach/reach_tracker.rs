//! Collects evidence on the paths to the servers of one service; no I/O.

use std::collections::HashMap;

use super::CheckResult;
use super::ReachEvidence;

/// Distinct servers that must have failed before the paths are in doubt, unless the service has
/// fewer.
const FAILED_SERVERS_MIN: usize = 3;
/// The same if no server has responded since.
const FAILED_SERVERS_MIN_IN_SILENCE: usize = 2;
/// Time from the first failure until the paths are in doubt: a shorter interruption is left to
/// retries.
const DOUBT_DELAY_US: u64 = 100_000;
/// A failure that is not repeated within this time no longer counts.
const FAILURE_AGE_MAX_US: u64 = 3_000_000;
/// Servers remembered; more would not change the result.
const SERVERS_MAX: usize = 64;

/// The latest evidence on one server.
#[derive(Clone, Copy, Debug)]
enum LastEvidence {
    Responded { at_us: u64 },
    Failed { first_us: u64, last_us: u64, connect_failed: bool },
}

/// The latest evidence on each of a bounded number of servers.
#[derive(Debug, Default)]
pub struct ReachTracker {
    /// By the hash of the server's start.
    servers: HashMap<u32, LastEvidence>,
    /// Whether any entry of `servers` is a failure, so that responses cost next to nothing without
    /// one.
    any_failed: bool,
    /// When a server last responded, and on a new connection; 0 if never.
    responded_at_us: u64,
    connected_at_us: u64,
    /// Number of servers of the service.
    server_count: usize,
}

/// What the evidence amounts to since the first of the failures that still count.
#[derive(Clone, Copy, Debug, Default)]
struct Summary {
    since_us: u64,
    result: CheckResult,
    connect_failed: usize,
}

impl ReachTracker {
    /// Adds evidence on one of the `server_count` servers of the service.
    pub fn record(
        &mut self,
        server: u32,
        evidence: ReachEvidence,
        server_count: usize,
        now_us: u64,
    ) {
        self.server_count = server_count;
        let connect_failed = evidence == ReachEvidence::ConnectFailed;
        let known = self.servers.get(&server).copied();
        let latest = match evidence {
            ReachEvidence::Responded | ReachEvidence::RespondedOnNewConnection => {
                self.responded_at_us = now_us;
                if evidence == ReachEvidence::RespondedOnNewConnection {
                    self.connected_at_us = now_us;
                }
                LastEvidence::Responded { at_us: now_us }
            }
            ReachEvidence::ConnectFailed | ReachEvidence::NoResponse => {
                self.any_failed = true;
                let first_us = match known {
                    Some(LastEvidence::Failed { first_us, .. }) => first_us,
                    _ => now_us,
                };
                LastEvidence::Failed { first_us, last_us: now_us, connect_failed }
            }
        };
        if known.is_some() || self.servers.len() < SERVERS_MAX {
            self.servers.insert(server, latest);
        } else {
            self.remove_outdated(now_us);
        }
    }

    /// Forgets evidence that no longer counts.
    fn remove_outdated(&mut self, now_us: u64) {
        self.servers.retain(|_, latest| {
            let (LastEvidence::Responded { at_us } | LastEvidence::Failed { last_us: at_us, .. }) =
                *latest;
            now_us.saturating_sub(at_us) < FAILURE_AGE_MAX_US
        });
        let failed = |latest: &LastEvidence| matches!(latest, LastEvidence::Failed { .. });
        self.any_failed = self.servers.values().any(failed);
    }

    fn summary(&mut self, now_us: u64) -> Summary {
        self.remove_outdated(now_us);
        let mut summary = Summary { since_us: now_us, ..Summary::default() };
        for latest in self.servers.values() {
            if let LastEvidence::Failed { first_us, connect_failed, .. } = latest {
                summary.since_us = summary.since_us.min(*first_us);
                summary.result.failed += 1;
                summary.connect_failed += usize::from(*connect_failed);
            }
        }
        let since_us = summary.since_us;
        let reached = self.servers.values().filter(
            |latest| matches!(latest, LastEvidence::Responded { at_us } if *at_us >= since_us),
        );
        summary.result.reached = reached.count();
        summary
    }

    /// Servers that responded since the first failure that still counts, and those that failed.
    #[must_use]
    pub fn counts(&mut self, now_us: u64) -> CheckResult {
        self.summary(now_us).result
    }

    /// Whether the paths may be lost, so that they are worth checking.
    #[must_use]
    pub fn in_doubt(&mut self, now_us: u64) -> bool {
        if !self.any_failed {
            return false;
        }
        let Summary { since_us, result, connect_failed } = self.summary(now_us);
        let silent = self.responded_at_us < since_us;
        let enough = if silent { FAILED_SERVERS_MIN_IN_SILENCE } else { FAILED_SERVERS_MIN };
        let enough = enough.min(self.server_count.max(1));
        let no_response = result.failed >= enough && result.is_lost();
        let no_connection = connect_failed >= enough && self.connected_at_us < since_us;
        (no_response || no_connection) && now_us.saturating_sub(since_us) >= DOUBT_DELAY_US
    }

    /// When a server last responded; 0 if never.
    #[must_use]
    pub const fn responded_at_us(&self) -> u64 {
        self.responded_at_us
    }
}
