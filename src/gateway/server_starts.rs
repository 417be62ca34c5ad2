//! Orders the starts of each backend server and their reports, so that a delayed report does not
//! bring back an earlier start.

use std::collections::HashMap;
use std::sync::Arc;

use log::warn;

use crate::errors::Code;
use crate::model::ServerRow;

/// How long an outdated row is held, in microseconds, until it is applied after all; a newer row
/// that arrives in this time discards it. A running server renews its entry several times within
/// this (every 1.5 s on current platforms), and an entry that is not renewed is removed after three
/// such intervals. A row that outlasts this time is therefore from the running process, whose clock
/// was set back.
const OUTDATED_ROW_HOLD_US: u64 = 5_000_000;
/// How long the last start of a removed server is remembered, in microseconds, so that a delayed
/// report cannot list it again.
const GONE_SERVER_RETENTION_US: u64 = 60_000_000;

/// The latest known report of a server.
#[derive(Clone, Copy, Debug)]
struct LatestReport {
    started_ms: u64,
    sequence: u64,
    /// When the report arrived.
    received_us: u64,
    /// Whether the server announced in a response that this start drains.
    announced_draining: bool,
    /// When the server was removed; `None` while it is known.
    gone_us: Option<u64>,
}

/// A row that is older than the latest report.
#[derive(Clone, Debug)]
struct HeldRow {
    row: ServerRow,
    since_us: u64,
}

/// The latest start and report of each server.
#[derive(Debug, Default)]
pub(super) struct ServerStarts {
    latest: HashMap<Arc<str>, LatestReport>,
    held: HashMap<Arc<str>, HeldRow>,
}

impl LatestReport {
    /// Whether a row is older than this report. A row that announces draining is accepted in any
    /// order, since a start never resumes after it.
    fn supersedes(&self, row: &ServerRow) -> bool {
        let earlier_report = row.sequence < self.sequence && !row.is_draining();
        row.started_ms < self.started_ms || row.started_ms == self.started_ms && earlier_report
    }
}

impl ServerStarts {
    /// Returns the row if it is to be applied now; an outdated one is held.
    pub(super) fn accept(&mut self, row: ServerRow, now_us: u64) -> Option<ServerRow> {
        let latest = self.latest.get(&row.id).copied();
        if let Some(latest) = latest.filter(|latest| latest.supersedes(&row)) {
            warn!(
                event = "server-outdated", code = Code::ServerOutdated.number(),
                server = &*row.id, started_ms = row.started_ms, sequence = row.sequence,
                known_started_ms = latest.started_ms, known_sequence = latest.sequence,
                known_age_ms = now_us.saturating_sub(latest.received_us) / 1000;
                "an outdated report is not applied"
            );
            self.held.insert(Arc::clone(&row.id), HeldRow { row, since_us: now_us });
            return None;
        }
        self.record(&row, now_us);
        Some(row)
    }

    /// Holds the row of a server that was removed, unless it is newer than the removed one; returns
    /// whether it did. A removal that a restored store has lost shows by no sequence number.
    pub(super) fn hold_if_gone(&mut self, row: &ServerRow, now_us: u64) -> bool {
        let gone = self.latest.get(&row.id).is_some_and(|latest| {
            let last = (latest.started_ms, latest.sequence);
            latest.gone_us.is_some() && (row.started_ms, row.sequence) <= last
        });
        if gone {
            let held = HeldRow { row: row.clone(), since_us: now_us };
            self.held.insert(Arc::clone(&row.id), held);
        }
        gone
    }

    fn record(&mut self, row: &ServerRow, now_us: u64) {
        let ServerRow { started_ms, sequence, .. } = *row;
        self.held.remove(&row.id);
        let announced_draining = self.is_draining(row);
        let latest = LatestReport {
            started_ms,
            sequence,
            received_us: now_us,
            announced_draining,
            gone_us: None,
        };
        self.latest.insert(Arc::clone(&row.id), latest);
    }

    /// Records that the start of a row announced draining.
    pub(super) fn mark_draining(&mut self, row: &ServerRow) {
        let latest = self.latest.get_mut(&row.id);
        if let Some(latest) = latest.filter(|latest| latest.started_ms == row.started_ms) {
            latest.announced_draining = true;
        }
    }

    /// Whether the start of a row announced draining, as far as remembered.
    pub(super) fn is_draining(&self, row: &ServerRow) -> bool {
        let latest = self.latest.get(&row.id);
        latest
            .is_some_and(|latest| latest.announced_draining && latest.started_ms == row.started_ms)
    }

    /// Discards the held row of a server whose entry was removed.
    pub(super) fn drop_held(&mut self, id: &str) {
        self.held.remove(id);
    }

    /// Returns the held rows that nothing contradicted: they are from the running process.
    pub(super) fn take_due(&mut self, now_us: u64) -> Vec<ServerRow> {
        let is_due = |held: &&HeldRow| now_us.saturating_sub(held.since_us) >= OUTDATED_ROW_HOLD_US;
        let due: Vec<ServerRow> =
            self.held.values().filter(is_due).map(|held| held.row.clone()).collect();
        for row in &due {
            self.record(row, now_us);
        }
        due
    }

    /// Records that a server is no longer known.
    pub(super) fn mark_gone(&mut self, id: &str, now_us: u64) {
        if let Some(latest) = self.latest.get_mut(id) {
            latest.gone_us = Some(now_us);
        }
    }

    /// Forgets servers that have been gone for a long time.
    pub(super) fn remove_expired(&mut self, now_us: u64) {
        let long_gone = |gone_us: u64| now_us.saturating_sub(gone_us) >= GONE_SERVER_RETENTION_US;
        self.latest.retain(|_, latest| !latest.gone_us.is_some_and(long_gone));
    }
}
