//! The servers of a service that can take another request.

use super::ServicePool;

/// Minimum time between scans of all servers while no preferred server can take a request.
const FULL_SCAN_INTERVAL_US: u64 = 5_000;

/// A server that can take another request.
#[derive(Clone, Copy, Debug)]
pub(super) struct AvailableServer {
    /// Index in the list of servers.
    pub(super) index: usize,
    /// Requests running or queued on the server.
    pub(super) occupancy: u32,
}

impl ServicePool {
    /// The preferred servers that can take another request.
    pub(super) fn available_in_subset(&self, now_us: u64) -> Vec<AvailableServer> {
        let Some(preferred) = &self.subset_indexes else {
            return self.available_servers(now_us);
        };
        preferred.iter().filter_map(|index| self.available_server(*index, now_us)).collect()
    }

    /// Whether all servers may be scanned because no preferred server can be used. Limited in rate,
    /// as a scan over thousands of full servers is too expensive for each request.
    pub(super) fn may_scan_all(&mut self, now_us: u64) -> bool {
        let due = self.subset_indexes.is_some() && now_us >= self.next_full_scan_us;
        if due {
            self.next_full_scan_us = now_us + FULL_SCAN_INTERVAL_US;
        }
        due
    }

    /// All servers that can take another request.
    pub(super) fn available_servers(&self, now_us: u64) -> Vec<AvailableServer> {
        (0..self.servers.len()).filter_map(|index| self.available_server(index, now_us)).collect()
    }

    /// Whether any server can take another request.
    pub(super) fn any_available(&self, now_us: u64) -> bool {
        (0..self.servers.len()).any(|index| self.available_server(index, now_us).is_some())
    }

    fn available_server(&self, index: usize, now_us: u64) -> Option<AvailableServer> {
        let server = &self.servers[index];
        let occupancy = server.occupancy(now_us);
        let may_connect =
            self.own_in_flight_max == 0 || server.own_in_flight() < self.own_in_flight_max;
        (occupancy < self.slots_allowed(server, now_us)
            && may_connect
            && server.usable(now_us)
            && server.start_limits.may_start(now_us))
        .then_some(AvailableServer { index, occupancy })
    }
}
