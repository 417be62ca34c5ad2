//! Entries of a store that cannot be read.

use std::collections::HashMap;

/// Number of entries that are remembered; beyond it, some are reported again.
const ENTRIES_MAX: usize = 1_000;

/// The entries that cannot be read at present, with the reasons: each is reported once for each reason,
/// however often it is read.
#[derive(Debug, Default)]
pub struct UnreadableEntries {
    /// By name.
    reasons: HashMap<String, String>,
}

impl UnreadableEntries {
    /// Records that an entry cannot be read; returns whether that is to be reported.
    pub fn record(&mut self, name: &str, why: &str) -> bool {
        if self.reasons.get(name).is_some_and(|known| known == why) {
            return false;
        }
        if self.reasons.len() >= ENTRIES_MAX {
            self.reasons.clear();
        }
        self.reasons.insert(name.to_owned(), why.to_owned());
        true
    }

    /// Records that an entry is gone, or can be read.
    pub fn remove(&mut self, name: &str) {
        self.reasons.remove(name);
    }
}
