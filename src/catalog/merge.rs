//! The configuration as one instance has it in force; no I/O.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::model::Versioned;

/// Names with their rows, as they travel.
pub type ServiceRows = Vec<(String, Versioned)>;

/// Most services that an instance holds.
const SERVICES_MAX: usize = 20_000;

/// One row per service. The highest revision wins on every path by which a row may come, and a
/// deleted service keeps its row as a tombstone; so nothing late, doubled or out of order can
/// bring an older state back.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    rows: BTreeMap<String, Versioned>,
    /// Sum of the rows' hashes: order plays no part, and a row's change is taken in at once.
    digest: u64,
}

fn row_hash(name: &str, revision: u64) -> u64 {
    xxh3_64(format!("{name}\0{revision}").as_bytes())
}

impl Catalog {
    /// Takes a row in; tells whether it is newer than what was there.
    pub fn merge(&mut self, name: &str, versioned: Versioned) -> bool {
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

    /// Equal on two instances that have the same revisions in force.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Names and revisions, tombstones included.
    #[must_use]
    pub fn summary(&self) -> Vec<(String, u64)> {
        self.rows.iter().map(|(name, row)| (name.clone(), row.revision)).collect()
    }

    /// The names that a peer with `summary` has newer than this instance.
    #[must_use]
    pub fn stale_names(&self, summary: &[(String, u64)]) -> Vec<String> {
        let newer = summary.iter().filter(|(name, revision)| {
            self.rows.get(name).is_none_or(|row| row.revision < *revision)
        });
        newer.map(|(name, _)| name.clone()).collect()
    }

    /// The rows that this instance has newer than a peer with `summary`.
    #[must_use]
    pub fn rows_newer_than(&self, summary: &[(String, u64)]) -> ServiceRows {
        let theirs: BTreeMap<&str, u64> =
            summary.iter().map(|(name, revision)| (name.as_str(), *revision)).collect();
        let newer = self.rows.iter().filter(|(name, row)| {
            theirs.get(name.as_str()).is_none_or(|revision| *revision < row.revision)
        });
        newer.map(|(name, row)| (name.clone(), row.clone())).collect()
    }

    /// These rows, as far as they are there.
    #[must_use]
    pub fn get_many(&self, names: &[String]) -> ServiceRows {
        let rows = names.iter().filter_map(|name| Some((name, self.rows.get(name)?)));
        rows.map(|(name, row)| (name.clone(), row.clone())).collect()
    }

    /// One row, tombstones included.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Versioned> {
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
