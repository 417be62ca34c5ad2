//! Persists quarantined requests in the platform's store, so that the quarantine survives a restart
//! of all instances.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;

use super::Dialect;
use super::homes::HomesPlan;
use super::homes::is_home;
use super::relays::watcher_index;
use crate::board::Blackboard;
use crate::quarantine::SuspectRecord;
use crate::store::EventStore;
use crate::store::Freshness;
use crate::store::PageReader;
use crate::store::StoreError;

/// Lease of a stored record: as long as a first quarantine lasts, and the longest lease that the
/// platform grants.
const LEASE_TTL: Duration = Duration::from_mins(10);
/// Time after a start before which an instance does not know whether it is a home.
const SETTLE_DELAY: Duration = Duration::from_millis(300);
/// How often an instance checks whether it has become the first home of its zone.
const HOME_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two attempts to write or read records.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Number of attempts to write one set of records; after that only the instances' memory holds it.
const WRITE_ATTEMPTS_MAX: u32 = 30;

/// Writes quarantined requests to the store, and reads them when this instance becomes the first
/// home of its zone. The other instances learn them from it, so a start costs one call per zone and
/// a quarantine two.
#[derive(Clone, Debug)]
pub struct QuarantineStore<D, S> {
    pub dialect: D,
    pub store: S,
    pub board: Arc<Blackboard>,
}

impl<D: Dialect, S: EventStore> QuarantineStore<D, S> {
    /// Writes newly quarantined requests until the process ends.
    pub async fn run_writer(self) {
        loop {
            let rows = self.board.quarantine.next_quarantined().await;
            self.write_with_retries(&rows).await;
        }
    }

    /// Writes all quarantined requests again each time the store came back from an earlier copy,
    /// until the process ends. Every instance knows them, so one of them suffices.
    pub async fn rewrite_after_restores(self) {
        let mut era = self.board.store_era.wait_known().await;
        loop {
            era = self.board.store_era.wait_beyond(era).await;
            if watcher_index(&self.board) != Some(0) {
                continue;
            }
            let mut rows = self.board.quarantine.records();
            rows.retain(SuspectRecord::is_quarantined);
            if !rows.is_empty() {
                self.write_with_retries(&rows).await;
            }
        }
    }

    async fn write_with_retries(&self, rows: &[SuspectRecord]) {
        for _ in 0..WRITE_ATTEMPTS_MAX {
            match self.write(rows).await {
                Ok(()) => return,
                Err(error) => self.board.record_store_result(Some(error.to_string())),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        warn!(event = "suspects-not-kept", rows = rows.len(); "every write to the store failed");
    }

    async fn write(&self, rows: &[SuspectRecord]) -> Result<(), StoreError> {
        let Some(first) = rows.first() else {
            return Ok(());
        };
        let (prefix, name) = (self.dialect.store_keys().suspects_prefix, first.fingerprint);
        let value = serde_json::to_vec(rows).map_err(|err| StoreError::Refused(err.to_string()))?;
        let lease = self.store.open_lease(LEASE_TTL).await?;
        self.board.record_store_era(lease.era);
        let written = self.store.write_leased(&format!("{prefix}{name}"), &value, lease).await?;
        if lease.is_confirmed_by(written) {
            return Ok(());
        }
        Err(StoreError::Refused("the lease ended at once".into()))
    }

    /// Reads the stored records once this instance is the first home of its zone.
    pub async fn load_when_first_home(self) {
        tokio::time::sleep(SETTLE_DELAY).await;
        while !is_home(&self.board, HomesPlan::FIRST_ONLY) {
            tokio::time::sleep(HOME_CHECK_INTERVAL).await;
        }
        loop {
            match self.read_all().await {
                Ok(rows) => {
                    self.board.quarantine.merge(&rows);
                    info!(event = "suspects-read", rows = rows.len(); "from the store");
                    return;
                }
                Err(error) => self.board.record_store_result(Some(error.to_string())),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn read_all(&self) -> Result<Vec<SuspectRecord>, StoreError> {
        let prefix = self.dialect.store_keys().suspects_prefix;
        let mut rows = Vec::new();
        let mut pages = PageReader::new(&self.store, prefix, Freshness::Latest);
        while let Some(page) = pages.next_page().await? {
            rows.extend(page.items.iter().flat_map(|item| decode_rows(&item.key, &item.value)));
        }
        Ok(rows)
    }
}

/// Decodes the records of one key; empty if they are in an unknown format.
fn decode_rows(key: &str, value: &[u8]) -> Vec<SuspectRecord> {
    serde_json::from_slice(value).unwrap_or_else(|err| {
        let why = err.to_string();
        warn!(event = "suspects-unreadable", key = key, why = why.as_str(); "unknown format");
        Vec::new()
    })
}
