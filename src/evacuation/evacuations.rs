//! The active evacuations.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Evacuated zones, and since when this instance knows of each. A zone is only a name: it can be
/// evacuated before it has any backend server.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    since_us: BTreeMap<Arc<str>, u64>,
}

impl Evacuations {
    /// Starts the evacuation of a zone; returns `false` if it was already evacuated.
    pub fn begin(&mut self, zone: &str, now_us: u64) -> bool {
        if self.contains(zone) {
            return false;
        }
        self.since_us.insert(zone.into(), now_us);
        true
    }

    /// Ends an evacuation; returns its start in microseconds.
    pub fn end(&mut self, zone: &str) -> Option<u64> {
        self.since_us.remove(zone)
    }

    /// Whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.since_us.contains_key(zone)
    }

    /// The evacuated zones, sorted by name.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.since_us.keys()
    }
}
