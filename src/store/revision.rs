//! Positions in the history of the platform's store.

use serde::Deserialize;
use serde::Serialize;

/// A position in the store's history, ordered by era first.
///
/// The store may come back from an earlier copy of itself. Its counter then goes back and numbers
/// are given out again, so numbers are comparable only within one era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Rises by one each time the store comes back from an earlier copy.
    pub era: u64,
    /// The store's counter of changes.
    pub number: u64,
}

impl Revision {
    /// Creates the position at `number` in `era`.
    #[must_use]
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}
