//! What one peer was told of this instance's requests at the backend servers.

use std::collections::HashMap;

use crate::peer::ServerLoadRow;

/// What a peer believes of this instance's requests at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportedLoad {
    /// `None` where the last word may have been lost.
    in_flight: Option<u16>,
    pace_percent: u16,
}

/// What a peer believes; of a server that is not named here, that this instance has nothing there.
#[derive(Debug, Default)]
pub(super) struct ReportedLoads {
    by_server: HashMap<u32, ReportedLoad>,
}

impl ReportedLoads {
    /// The rows that the peer is to be told, of all that there are now: none, however many servers
    /// there are, while nothing changes. That a pace grew old is no news; the peer lets it fade.
    pub(super) fn changes(&self, now: &[ServerLoadRow]) -> Vec<ServerLoadRow> {
        let changed = now.iter().filter(|row| {
            let told = self.by_server.get(&row.server);
            let (in_flight, pace) =
                told.map_or((Some(0), 0), |told| (told.in_flight, told.pace_percent));
            in_flight != Some(row.in_flight) || row.pace_percent > 0 && row.pace_percent != pace
        });
        let mut rows: Vec<ServerLoadRow> = changed.copied().collect();
        let now: HashMap<u32, u16> = now.iter().map(|row| (row.server, row.in_flight)).collect();
        let ended = self
            .by_server
            .iter()
            .filter(|(server, told)| told.in_flight != Some(0) && !now.contains_key(server));
        rows.extend(ended.map(|(server, _)| ServerLoadRow {
            server: *server,
            in_flight: 0,
            pace_percent: 0,
        }));
        rows
    }

    /// The peer heard these rows.
    pub(super) fn record_delivered(&mut self, rows: &[ServerLoadRow]) {
        for row in rows {
            let told =
                ReportedLoad { in_flight: Some(row.in_flight), pace_percent: row.pace_percent };
            self.by_server.insert(row.server, told);
        }
        self.by_server.retain(|_, told| told.in_flight != Some(0) || told.pace_percent != 0);
    }

    /// The peer may have heard these rows, or nothing for so long that it forgot others: all that it
    /// may believe is told again.
    pub(super) fn record_maybe_delivered(&mut self, rows: &[ServerLoadRow]) {
        self.record_delivered(rows);
        for told in self.by_server.values_mut() {
            *told = ReportedLoad { in_flight: None, pace_percent: 0 };
        }
    }

    /// The peer did not hear from this instance for so long that it forgot everything.
    pub(super) fn clear(&mut self) {
        self.by_server.clear();
    }

    /// Whether the peer believes that nothing runs anywhere.
    pub(super) fn is_idle(&self) -> bool {
        self.by_server.values().all(|told| told.in_flight == Some(0))
    }
}
