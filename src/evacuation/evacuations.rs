//! The active evacuations.

use std::collections::BTreeMap;
use std::sync::Arc;

/// One occasion to doubt whether an evacuation still holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Doubt(u64);

/// The evacuation of one zone.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    since_us: u64,
    /// The latest doubt whether it has ended; `None` if it certainly has not.
    doubt: Option<Doubt>,
}

/// Evacuated zones, and since when this instance knows of each. A zone is only a name: it can be
/// evacuated before it has any backend server.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    by_zone: BTreeMap<Arc<str>, Evacuation>,
    last_doubt: Doubt,
}

impl Evacuations {
    /// Starts the evacuation of a zone; returns `false` if it was already evacuated. An evacuation
    /// that may have ended has not.
    pub fn begin(&mut self, zone: &str, now_us: u64) -> bool {
        if let Some(evacuation) = self.by_zone.get_mut(zone) {
            evacuation.doubt = None;
            return false;
        }
        self.by_zone.insert(zone.into(), Evacuation { since_us: now_us, doubt: None });
        true
    }

    /// Ends an evacuation; returns its start in microseconds.
    pub fn end(&mut self, zone: &str) -> Option<u64> {
        self.by_zone.remove(zone).map(|evacuation| evacuation.since_us)
    }

    /// Records that an evacuation may have ended.
    pub fn doubt(&mut self, zone: &str) -> Doubt {
        self.last_doubt.0 += 1;
        if let Some(evacuation) = self.by_zone.get_mut(zone) {
            evacuation.doubt = Some(self.last_doubt);
        }
        self.last_doubt
    }

    /// Whether nothing was learned of an evacuation since a doubt.
    #[must_use]
    pub fn is_doubted(&self, zone: &str, doubt: Doubt) -> bool {
        self.by_zone.get(zone).is_some_and(|evacuation| evacuation.doubt == Some(doubt))
    }

    /// Whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.by_zone.contains_key(zone)
    }

    /// The evacuated zones, sorted by name.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.by_zone.keys()
    }
}
