//! In-memory store of an instance that runs alone; it is lost when the process ends.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;

use super::Entry;
use super::Lease;
use super::Listing;
use super::Roster;
use super::RosterEntry;
use super::Store;
use super::StoreError;

/// Contents of the store.
#[derive(Debug, Default)]
struct Rows {
    index: u64,
    entries: BTreeMap<String, Entry>,
    leases: HashSet<String>,
    /// The lease that holds each key.
    holders: BTreeMap<String, String>,
}

/// An in-memory [`Store`]; clones share their contents.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    rows: Arc<Mutex<Rows>>,
    changed: watch::Sender<u64>,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self { rows: Arc::default(), changed: watch::Sender::new(0) }
    }
}

impl MemoryStore {
    /// Writes an entry at the next index and wakes up watches.
    fn write(&self, rows: &mut Rows, key: &str, value: &[u8]) {
        rows.index += 1;
        let entry = Entry { key: key.into(), value: value.into(), index: rows.index };
        rows.entries.insert(key.into(), entry);
        self.changed.send_replace(rows.index);
    }
}

impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        Ok(self.rows.lock().entries.get(key).cloned())
    }

    async fn watch(&self, prefix: &str, index: u64, wait: Duration) -> Result<Listing, StoreError> {
        let mut changed = self.changed.subscribe();
        // A timeout is not an error: the current listing is returned.
        let _ =
            tokio::time::timeout(wait, changed.wait_for(|now| *now > index || index == 0)).await;
        let rows = self.rows.lock();
        let below = rows.entries.values().filter(|entry| entry.key.starts_with(prefix));
        Ok(Listing { index: rows.index.max(1), entries: below.cloned().collect() })
    }

    async fn put_if(&self, key: &str, value: &[u8], index: u64) -> Result<bool, StoreError> {
        let mut rows = self.rows.lock();
        let current = rows.entries.get(key).map_or(0, |entry| entry.index);
        if current != index {
            return Ok(false);
        }
        self.write(&mut rows, key, value);
        Ok(true)
    }

    async fn lease_open(&self, _ttl: Duration) -> Result<Lease, StoreError> {
        let mut rows = self.rows.lock();
        rows.index += 1;
        let name = format!("lease-{}", rows.index);
        rows.leases.insert(name.clone());
        Ok(Lease(name))
    }

    async fn lease_renew(&self, lease: &Lease) -> Result<bool, StoreError> {
        Ok(self.rows.lock().leases.contains(&lease.0))
    }

    async fn lease_close(&self, lease: &Lease) -> Result<(), StoreError> {
        let mut rows = self.rows.lock();
        rows.leases.remove(&lease.0);
        rows.holders.retain(|_, holder| *holder != lease.0);
        Ok(())
    }

    async fn acquire(&self, key: &str, value: &[u8], lease: &Lease) -> Result<bool, StoreError> {
        let mut rows = self.rows.lock();
        if !rows.leases.contains(&lease.0) {
            return Ok(false);
        }
        let holder = rows.holders.entry(key.into()).or_insert_with(|| lease.0.clone());
        let held = *holder == lease.0;
        if held {
            self.write(&mut rows, key, value);
        }
        Ok(held)
    }
}

impl Roster for MemoryStore {
    async fn instances(&self) -> Result<Vec<RosterEntry>, StoreError> {
        Ok(Vec::new())
    }

    async fn backend_servers(&self) -> Result<Vec<RosterEntry>, StoreError> {
        Ok(Vec::new())
    }
}
