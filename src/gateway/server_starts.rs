//! Which start of a backend server an entry is of: reports that arrive late must not bring an
//! earlier one back.

use std::collections::HashMap;
use std::sync::Arc;

use log::warn;

use crate::errors::Code;
use crate::model::ServerRow;

/// How long an outdated row waits for somebody to contradict it. A server that lives writes its
/// entry some times in this (every second and a half, on the platforms of today), and an entry that
/// nobody renews is removed after three such intervals: one that stands for longer is of the process
/// that lives, whose clock was set back.
const OUTDATED_ROW_HOLD_US: u64 = 5_000_000;
/// How long the last start of a server that is gone is remembered, so that a report that was held up
/// on its way cannot list it again.
const GONE_SERVER_RETENTION_US: u64 = 60_000_000;

/// The latest report that is known of a server.
#[derive(Clone, Copy, Debug)]
struct LatestReport {
    started_ms: u64,
    sequence: u64,
    heard_us: u64,
    /// Whether this start said itself that it leaves.
    announced_draining: bool,
    /// When the server was forgotten otherwise; `None` while it is known.
    gone_us: Option<u64>,
}

/// A row that is older than what is known.
#[derive(Clone, Debug)]
struct HeldRow {
    row: ServerRow,
    since_us: u64,
}

/// The order of starts and reports of each server.
#[derive(Debug, Default)]
pub(super) struct ServerStarts {
    latest: HashMap<Arc<str>, LatestReport>,
    held: HashMap<Arc<str>, HeldRow>,
}

impl LatestReport {
    /// Whether a row was written before the report that this is of. A row that says that its server
    /// leaves is taken in any order: nothing of the same start takes it back.
    fn supersedes(&self, row: &ServerRow) -> bool {
        let earlier_report = row.sequence < self.sequence && !row.draining();
        row.started_ms < self.started_ms || row.started_ms == self.started_ms && earlier_report
    }
}

impl ServerStarts {
    /// The row, if it is to be put in force now; an outdated one is held.
    pub(super) fn accept(&mut self, row: ServerRow, now_us: u64) -> Option<ServerRow> {
        let latest = self.latest.get(&row.id).copied();
        if let Some(latest) = latest.filter(|latest| latest.supersedes(&row)) {
            warn!(
                event = "server-outdated", code = Code::ServerOutdated.number(),
                server = &*row.id, started_ms = row.started_ms, sequence = row.sequence,
                known_started_ms = latest.started_ms, known_sequence = latest.sequence,
                known_age_ms = now_us.saturating_sub(latest.heard_us) / 1000;
                "a report that came late is not used"
            );
            self.held.insert(Arc::clone(&row.id), HeldRow { row, since_us: now_us });
            return None;
        }
        self.record(&row, now_us);
        Some(row)
    }

    fn record(&mut self, row: &ServerRow, now_us: u64) {
        let ServerRow { started_ms, sequence, .. } = *row;
        self.held.remove(&row.id);
        let leaving = self.is_draining(row);
        let latest = LatestReport {
            started_ms,
            sequence,
            heard_us: now_us,
            announced_draining: leaving,
            gone_us: None,
        };
        self.latest.insert(Arc::clone(&row.id), latest);
    }

    /// The start that a row is of said itself that it leaves.
    pub(super) fn mark_draining(&mut self, row: &ServerRow) {
        let latest = self.latest.get_mut(&row.id);
        if let Some(latest) = latest.filter(|latest| latest.started_ms == row.started_ms) {
            latest.announced_draining = true;
        }
    }

    /// Whether the start that a row is of said itself that it leaves, as far as it is remembered.
    pub(super) fn is_draining(&self, row: &ServerRow) -> bool {
        let latest = self.latest.get(&row.id);
        latest
            .is_some_and(|latest| latest.announced_draining && latest.started_ms == row.started_ms)
    }

    /// The entry of a server was removed, and a held row with it.
    pub(super) fn drop_held(&mut self, id: &str) {
        self.held.remove(id);
    }

    /// Held rows that nobody contradicted: they are of the process that lives.
    pub(super) fn take_due(&mut self, now_us: u64) -> Vec<ServerRow> {
        let is_due = |held: &&HeldRow| now_us.saturating_sub(held.since_us) >= OUTDATED_ROW_HOLD_US;
        let due: Vec<ServerRow> =
            self.held.values().filter(is_due).map(|held| held.row.clone()).collect();
        for row in &due {
            self.record(row, now_us);
        }
        due
    }

    /// A server is no longer known otherwise.
    pub(super) fn mark_gone(&mut self, id: &str, now_us: u64) {
        if let Some(latest) = self.latest.get_mut(id) {
            latest.gone_us = Some(now_us);
        }
    }

    /// Forgets servers that are gone for long.
    pub(super) fn remove_expired(&mut self, now_us: u64) {
        let long_gone = |gone_us: u64| now_us.saturating_sub(gone_us) >= GONE_SERVER_RETENTION_US;
        self.latest.retain(|_, latest| !latest.gone_us.is_some_and(long_gone));
    }
}
