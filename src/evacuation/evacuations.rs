//! The evacuations in force.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Evacuated zones, and since when this instance knows so. Zones are names only: one in which no
/// backend server lies may be evacuated before there is one.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    since_us: BTreeMap<Arc<str>, u64>,
}

impl Evacuations {
    /// Evacuates a zone; `false` if it was already.
    pub fn begin(&mut self, zone: &str, now_us: u64) -> bool {
        if self.contains(zone) {
            return false;
        }
        self.since_us.insert(zone.into(), now_us);
        true
    }

    /// Takes an evacuation back; returns since when it was in force, in microseconds.
    pub fn end(&mut self, zone: &str) -> Option<u64> {
        self.since_us.remove(zone)
    }

    /// Whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.since_us.contains_key(zone)
    }

    /// The evacuated zones, by name.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.since_us.keys()
    }
}
