//! Evacuation of availability zones: stops and resumes the use of a zone's servers.

use std::sync::Arc;

use super::dispatcher::Dispatcher;
use crate::clock::now_us;
use crate::evacuation::Doubt;

/// The effect of an evacuation or of its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneChange {
    /// Listed servers of the zone.
    pub servers: usize,
    /// In-flight requests of this instance at these servers, which run to completion.
    pub running: usize,
    /// How long the zone was evacuated, in microseconds; 0 when an evacuation begins.
    pub lasted_us: u64,
}

impl Dispatcher {
    /// Stops sending requests to the servers of a zone; `None` if it is already evacuated.
    #[expect(clippy::must_use_candidate, reason = "the change is only logged")]
    pub fn evacuate(&self, zone: &str) -> Option<ZoneChange> {
        let mut state = self.state.lock();
        if !state.evacuations.begin(zone, now_us()) {
            return None;
        }
        let mut change = ZoneChange::default();
        let tracks = state.pools.values_mut().flat_map(|pool| &mut pool.servers);
        for tracked in tracks.filter(|tracked| *tracked.row.zone == *zone) {
            tracked.evacuate();
            change.servers += 1;
            change.running += tracked.own_in_flight();
        }
        Some(change)
    }

    /// Resumes using the servers of a zone; `None` if it is not evacuated.
    #[expect(clippy::must_use_candidate, reason = "the change is only logged")]
    pub fn readmit(&self, zone: &str) -> Option<ZoneChange> {
        let mut undelivered = Vec::new();
        let mut state = self.state.lock();
        let now_us = now_us();
        let since_us = state.evacuations.end(zone)?;
        let mut change = ZoneChange::default();
        for pool in state.pools.values_mut() {
            change.servers += pool.readmit_zone(zone, now_us);
        }
        change.lasted_us = now_us.saturating_sub(since_us);
        for service in state.services_with_queue() {
            self.serve_waiting(&mut state, &service, &mut undelivered);
        }
        drop(state);
        Some(change)
    }

    /// Records that the evacuation of a zone may have ended.
    #[must_use]
    pub fn doubt_evacuation(&self, zone: &str) -> Doubt {
        self.state.lock().evacuations.doubt(zone)
    }

    /// Whether nothing was learned of the evacuation of a zone since a doubt.
    #[must_use]
    pub fn is_evacuation_doubted(&self, zone: &str, doubt: Doubt) -> bool {
        self.state.lock().evacuations.is_doubted(zone, doubt)
    }

    /// The evacuated zones.
    #[must_use]
    pub fn evacuated_zones(&self) -> Vec<Arc<str>> {
        self.state.lock().evacuations.zones().cloned().collect()
    }

    /// Whether a zone is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.state.lock().evacuations.contains(zone)
    }
}
