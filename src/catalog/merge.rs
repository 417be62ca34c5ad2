//! The active configuration of one instance; no I/O.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::model::VersionedService;

/// Service names with their rows, as sent between instances.
pub type ServiceRows = Vec<(String, VersionedService)>;

/// Maximum number of services held, tombstones included.
const SERVICES_MAX: usize = 20_000;

/// One row per service. The highest revision wins, whichever way a row arrives, and a deleted
/// service keeps its row as a tombstone, so late, duplicate or reordered rows cannot restore an
/// older state.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    rows: BTreeMap<String, VersionedService>,
    /// Wrapping sum of the rows' hashes: independent of order and cheap to update.
    digest: u64,
}

/// The share of one row in the digest.
fn row_hash(name: &str, revision: u64) -> u64 {
    xxh3_64(format!("{name}\0{revision}").as_bytes())
}

impl Catalog {
    /// Merges a row; returns whether it is newer than the current one.
    pub fn merge(&mut self, name: &str, versioned: VersionedService) -> bool {
        let known = self.rows.get(name).map_or(0, |row| row.revision);
        if versioned.revision <= known || (known == 0 && self.rows.len() >= SERVICES_MAX) {
            return false;
        }
        if known > 0 {
            self.digest = self.digest.wrapping_sub(row_hash(name, known));
        }
        self.digest = self.digest.wrapping_add(row_hash(name, versioned.revision));
        self.rows.insert(name.to_owned(), versioned);
        true
    }

    /// A digest that is equal on two instances with the same revisions.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Names and revisions, tombstones included.
    #[must_use]
    pub fn summary(&self) -> Vec<(String, u64)> {
        self.rows.iter().map(|(name, row)| (name.clone(), row.revision)).collect()
    }

    /// The names for which a peer with `summary` has a newer revision.
    #[must_use]
    pub fn stale_names(&self, summary: &[(String, u64)]) -> Vec<String> {
        let newer = summary.iter().filter(|(name, revision)| {
            self.rows.get(name).is_none_or(|row| row.revision < *revision)
        });
        newer.map(|(name, _)| name.clone()).collect()
    }

    /// The rows that are newer here than at a peer with `summary`.
    #[must_use]
    pub fn rows_newer_than(&self, summary: &[(String, u64)]) -> ServiceRows {
        let theirs: BTreeMap<&str, u64> =
            summary.iter().map(|(name, revision)| (name.as_str(), *revision)).collect();
        let newer = self.rows.iter().filter(|(name, row)| {
            theirs.get(name.as_str()).is_none_or(|revision| *revision < row.revision)
        });
        newer.map(|(name, row)| (name.clone(), row.clone())).collect()
    }

    /// The rows of these services, where present.
    #[must_use]
    pub fn get_many(&self, names: &[String]) -> ServiceRows {
        let rows = names.iter().filter_map(|name| Some((name, self.rows.get(name)?)));
        rows.map(|(name, row)| (name.clone(), row.clone())).collect()
    }

    /// The row of one service, tombstones included.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&VersionedService> {
        self.rows.get(name)
    }

    /// All rows, tombstones included.
    #[must_use]
    pub fn all(&self) -> ServiceRows {
        self.rows.iter().map(|(name, row)| (name.clone(), row.clone())).collect()
    }

    /// The rows of services that are not deleted.
    #[must_use]
    pub fn live(&self) -> ServiceRows {
        let live = self.rows.iter().filter(|(_, row)| row.service.is_some());
        live.map(|(name, row)| (name.clone(), row.clone())).collect()
    }
}
