//! A service with its revision and recent changes.

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use super::Service;

/// One committed state of one service; `service` is `None` for a tombstone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedService {
    /// Increases by one with each commit of the service and never decreases.
    pub revision: u64,
    /// Id of the change that made this revision; shows whether a change with a lost response was
    /// committed.
    pub change_id: Uuid,
    pub service: Option<Service>,
    /// Ids of the changes before this one, newest first, at most [`EARLIER_CHANGES_MAX`]: they show
    /// that a change was committed although others followed it.
    #[serde(default)]
    pub earlier_changes: Vec<Uuid>,
}

/// Number of earlier change ids kept in a row.
pub const EARLIER_CHANGES_MAX: usize = 8;

impl VersionedService {
    /// Whether the change made this revision or one of the kept revisions before it.
    #[must_use]
    pub fn contains_change(&self, change_id: Uuid) -> bool {
        self.change_id == change_id || self.earlier_changes.contains(&change_id)
    }

    /// The row that results from applying one change to `before`.
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
