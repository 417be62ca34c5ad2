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
pub(super) const DOUBT_DELAY_US: u64 = 100_000;
/// A failure that is not repeated within this time no longer counts.
const FAILURE_AGE_MAX_US: u64 = 3_000_000;
/// Servers remembered; more would not change the result.
const SERVERS_MAX: usize = 64;

/// A failure that recurs.
#[derive(Clone, Copy, Debug)]
struct Failure {
    first_us: u64,
    last_us: u64,
}

impl Failure {
    /// `known` once more, or a first failure.
    fn again(known: Option<Self>, now_us: u64) -> Self {
        let first_us = known.map_or(now_us, |known| known.first_us);
        Self { first_us, last_us: now_us }
    }

    const fn counts(self, now_us: u64) -> bool {
        now_us.saturating_sub(self.last_us) < FAILURE_AGE_MAX_US
    }
}

/// The evidence on one server. Responses on connections that are open say nothing about new ones.
#[derive(Clone, Copy, Debug, Default)]
struct ServerEvidence {
    /// When it last responded; 0 if never.
    responded_at_us: u64,
    /// Since it last responded.
    failure: Option<Failure>,
    /// Since it last responded on a new connection.
    connect_failure: Option<Failure>,
}

impl ServerEvidence {
    fn record(&mut self, evidence: ReachEvidence, now_us: u64) {
        match evidence {
            ReachEvidence::Responded => {
                self.responded_at_us = now_us;
                self.failure = None;
            }
            ReachEvidence::RespondedOnNewConnection => {
                *self = Self { responded_at_us: now_us, ..Self::default() };
            }
            ReachEvidence::ConnectFailed => {
                self.failure = Some(Failure::again(self.failure, now_us));
                self.connect_failure = Some(Failure::again(self.connect_failure, now_us));
            }
            ReachEvidence::NoResponse => {
                self.failure = Some(Failure::again(self.failure, now_us));
            }
        }
    }

    const fn failed(&self) -> bool {
        self.failure.is_some() || self.connect_failure.is_some()
    }

    /// Drops failures that no longer count; returns whether anything is left.
    fn remove_outdated(&mut self, now_us: u64) -> bool {
        self.failure = self.failure.filter(|failure| failure.counts(now_us));
        self.connect_failure = self.connect_failure.filter(|failure| failure.counts(now_us));
        self.failed() || now_us.saturating_sub(self.responded_at_us) < FAILURE_AGE_MAX_US
    }
}

/// The latest evidence on each of a bounded number of servers.
#[derive(Debug, Default)]
pub struct ReachTracker {
    /// By the hash of the server's start.
    servers: HashMap<u32, ServerEvidence>,
    /// Whether any entry of `servers` has a failure, so that responses cost next to nothing without
    /// one.
    any_failed: bool,
    /// When a server last responded, and on a new connection; 0 if never.
    responded_at_us: u64,
    connected_at_us: u64,
    /// Number of servers of the service.
    server_count: usize,
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
        match evidence {
            ReachEvidence::Responded => self.responded_at_us = now_us,
            ReachEvidence::RespondedOnNewConnection => {
                self.responded_at_us = now_us;
                self.connected_at_us = now_us;
            }
            ReachEvidence::ConnectFailed | ReachEvidence::NoResponse => self.any_failed = true,
        }
        if self.servers.len() >= SERVERS_MAX && !self.servers.contains_key(&server) {
            self.remove_outdated(now_us);
        }
        if self.servers.len() < SERVERS_MAX || self.servers.contains_key(&server) {
            self.servers.entry(server).or_default().record(evidence, now_us);
        }
    }

    /// Forgets evidence that no longer counts.
    fn remove_outdated(&mut self, now_us: u64) {
        self.servers.retain(|_, evidence| evidence.remove_outdated(now_us));
        self.any_failed = self.servers.values().any(ServerEvidence::failed);
    }

    /// Servers that responded since the first failure that still counts, and those that failed.
    #[must_use]
    pub fn counts(&mut self, now_us: u64) -> CheckResult {
        self.remove_outdated(now_us);
        let failures = self.servers.values().filter_map(|evidence| evidence.failure);
        let since_us = failures.clone().map(|failure| failure.first_us).min().unwrap_or(now_us);
        let responded = |evidence: &&ServerEvidence| {
            evidence.failure.is_none() && evidence.responded_at_us >= since_us
        };
        let reached = self.servers.values().filter(responded).count();
        CheckResult { reached, failed: failures.count() }
    }

    /// Whether the paths may be lost, and have been for long enough to be worth checking.
    #[must_use]
    pub fn in_doubt(&mut self, now_us: u64) -> bool {
        self.doubt_since_us(now_us)
            .is_some_and(|since_us| now_us.saturating_sub(since_us) >= DOUBT_DELAY_US)
    }

    /// The first of the failures since which the paths may be lost; `None` if they are not in doubt.
    #[must_use]
    pub fn doubt_since_us(&mut self, now_us: u64) -> Option<u64> {
        if !self.any_failed {
            return None;
        }
        let result = self.counts(now_us);
        let failures = self.servers.values().filter_map(|evidence| evidence.failure);
        let no_response_us = failures.map(|failure| failure.first_us).min();
        let lost = |since_us: &u64| {
            result.is_lost() && result.failed >= self.enough(self.responded_at_us, *since_us)
        };
        if let Some(since_us) = no_response_us.filter(lost) {
            return Some(since_us);
        }
        let failures = self.servers.values().filter_map(|evidence| evidence.connect_failure);
        let since_us = failures.clone().map(|failure| failure.first_us).min()?;
        let enough = self.enough(self.connected_at_us, since_us);
        let lost = self.connected_at_us < since_us && failures.count() >= enough;
        lost.then_some(since_us)
    }

    /// Whether a server failed and none has responded since.
    #[must_use]
    pub fn failed_in_silence(&mut self, now_us: u64) -> bool {
        if !self.any_failed {
            return false;
        }
        self.remove_outdated(now_us);
        let failures = self.servers.values().filter_map(|evidence| evidence.failure);
        failures.map(|failure| failure.last_us).max() > Some(self.responded_at_us)
    }

    /// Distinct servers that must have failed since a time, if the last success was at another.
    fn enough(&self, succeeded_at_us: u64, since_us: u64) -> usize {
        let silent = succeeded_at_us < since_us;
        let enough = if silent { FAILED_SERVERS_MIN_IN_SILENCE } else { FAILED_SERVERS_MIN };
        enough.min(self.server_count.max(1))
    }

    /// When a server last responded; 0 if never.
    #[must_use]
    pub const fn responded_at_us(&self) -> u64 {
        self.responded_at_us
    }
}
