//! What was last reported to one peer about this instance's requests at the backend servers.

use std::collections::HashMap;

use crate::peer::ServerLoadRow;

/// The last report to a peer about one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportedLoad {
    /// Requests in flight; `None` if the report may have been lost.
    in_flight: Option<u16>,
    slowdown_percent: u16,
}

/// The last reports to a peer, by server. A server that is missing here was reported idle.
#[derive(Debug, Default)]
pub(super) struct ReportedLoads {
    by_server: HashMap<u32, ReportedLoad>,
}

impl ReportedLoads {
    /// The rows to send, given the current loads: those that differ from what was reported. A
    /// slowdown that became outdated is not sent; the peer expires it.
    pub(super) fn changes(&self, now: &[ServerLoadRow]) -> Vec<ServerLoadRow> {
        let changed = now.iter().filter(|row| {
            let reported = self.by_server.get(&row.server_hash);
            let (in_flight, slowdown) = reported
                .map_or((Some(0), 0), |reported| (reported.in_flight, reported.slowdown_percent));
            in_flight != Some(row.in_flight)
                || row.slowdown_percent > 0 && row.slowdown_percent != slowdown
        });
        let mut rows: Vec<ServerLoadRow> = changed.copied().collect();
        let now: HashMap<u32, u16> =
            now.iter().map(|row| (row.server_hash, row.in_flight)).collect();
        let ended = self.by_server.iter().filter(|(server, reported)| {
            reported.in_flight != Some(0) && !now.contains_key(server)
        });
        rows.extend(ended.map(|(server, _)| ServerLoadRow {
            server_hash: *server,
            in_flight: 0,
            slowdown_percent: 0,
        }));
        rows
    }

    /// Records that the peer received these rows.
    pub(super) fn record_delivered(&mut self, rows: &[ServerLoadRow]) {
        for row in rows {
            let reported = ReportedLoad {
                in_flight: Some(row.in_flight),
                slowdown_percent: row.slowdown_percent,
            };
            self.by_server.insert(row.server_hash, reported);
        }
        self.by_server
            .retain(|_, reported| reported.in_flight != Some(0) || reported.slowdown_percent != 0);
    }

    /// Records that the peer may have received these rows, or may have expired older ones: all rows
    /// are sent again.
    pub(super) fn record_maybe_delivered(&mut self, rows: &[ServerLoadRow]) {
        self.record_delivered(rows);
        for reported in self.by_server.values_mut() {
            *reported = ReportedLoad { in_flight: None, slowdown_percent: 0 };
        }
    }

    /// Forgets all reports, since the peer has expired them.
    pub(super) fn clear(&mut self) {
        self.by_server.clear();
    }

    /// Whether every server was reported idle.
    pub(super) fn is_idle(&self) -> bool {
        self.by_server.values().all(|reported| reported.in_flight == Some(0))
    }
}
