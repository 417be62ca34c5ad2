//! A service at one revision.

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use super::Service;

/// One committed state of one service; `service` is `None` for a tombstone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedService {
    /// Grows by one with each commit of the service and never goes back.
    pub revision: u64,
    /// Names the change that made this revision, so that a lost answer can be resolved.
    pub change_id: Uuid,
    pub service: Option<Service>,
    /// The changes before this one, newest first, at most [`EARLIER_CHANGES_MAX`]: by them a
    /// change is found to have been made although another came on top of it.
    #[serde(default)]
    pub earlier_changes: Vec<Uuid>,
}

/// Earlier changes that a row remembers.
pub const EARLIER_CHANGES_MAX: usize = 8;

impl VersionedService {
    /// Whether this row contains the change, as its last or as one before.
    #[must_use]
    pub fn contains_change(&self, change_id: Uuid) -> bool {
        self.change_id == change_id || self.earlier_changes.contains(&change_id)
    }

    /// The row that follows `before` by one change.
    #[must_use]
    pub fn next(before: Option<&Self>, change_id: Uuid, service: Option<Service>) -> Self {
        let Some(before) = before else {
            return Self { revision: 1, change_id, service, earlier_changes: Vec::new() };
        };
        let mut earlier_changes = vec![before.change_id];
        earlier_changes.extend(before.earlier_changes.iter().take(EARLIER_CHANGES_MAX - 1));
        Self { revision: before.revision + 1, change_id, service, earlier_changes }
    }
}
