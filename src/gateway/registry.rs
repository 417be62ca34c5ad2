//! The list of instances in the platform's store, which the instances maintain themselves.

use std::sync::Arc;
use std::time::Duration;

use log::error;
use log::warn;
use parking_lot::Mutex;

use super::Dialect;
use super::homes::HomesPlan;
use super::homes::is_home;
use crate::board::Blackboard;
use crate::errors::Code;
use crate::model::is_connectable;
use crate::store::EraLease;
use crate::store::EventStore;
use crate::store::Freshness;
use crate::store::Item;
use crate::store::PageReader;
use crate::store::Roster;
use crate::store::RosterEntry;
use crate::store::StoreError;
use crate::store::UnreadableEntries;

/// How often this instance checks whether it is the first of its zone; also the time that homes
/// need to settle after a start.
const HOME_CHECK_INTERVAL: Duration = Duration::from_millis(1_500);
/// Lease of an entry, and so the longest time that it outlives its instance. Entries are only read
/// by instances that look for others, which tolerate a dead address among live ones.
const LEASE_TTL: Duration = Duration::from_mins(1);
/// How often the lease is renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(20);
/// Pause after the store did not accept an entry.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// The list of instances; each entry holds a peer address under a lease.
#[derive(Clone, Debug)]
pub struct Registry<D, S> {
    pub dialect: D,
    pub store: S,
    pub board: Arc<Blackboard>,
    /// Entries of the list.
    unreadable: Arc<Mutex<UnreadableEntries>>,
}

impl<D: Dialect, S: EventStore> Registry<D, S> {
    /// The list in this store, for the instance of `board`.
    pub fn new(dialect: D, store: S, board: Arc<Blackboard>) -> Self {
        Self { dialect, store, board, unreadable: Arc::default() }
    }

    /// The instance that an entry names; `None` if its value is no address.
    fn roster_entry(&self, item: &Item) -> Option<RosterEntry> {
        let address = std::str::from_utf8(&item.value).ok().and_then(|text| text.parse().ok());
        let address = address.filter(|address| is_connectable(*address));
        if address.is_none() && self.unreadable.lock().record(&item.key, "not an address") {
            error!(
                event = "row-unreadable", code = Code::InstanceUnreadable.number(),
                row = item.key.as_str(), why = "not an address";
                "{}", Code::InstanceUnreadable
            );
        }
        let entry = |address| RosterEntry {
            id: item.key.clone(),
            address,
            zone: String::new(),
            leaving: false,
        };
        address.map(entry)
    }

    /// Writes the entry of this instance; returns its lease.
    async fn register(&self) -> Result<EraLease, StoreError> {
        let lease = self.store.open_lease(LEASE_TTL).await?;
        self.board.record_store_era(lease.era);
        let prefix = self.dialect.store_keys().instances_prefix;
        let key = format!("{prefix}{}", self.board.settings.instance.name);
        let address = self.board.settings.listen.peer.to_string();
        let written = self.store.write_leased(&key, address.as_bytes(), lease).await?;
        if lease.is_confirmed_by(written) {
            return Ok(lease);
        }
        Err(StoreError::Refused("the lease ended at once".into()))
    }

    /// Keeps an entry for this instance while it is the first of its zone, until the process ends.
    ///
    /// One live address is enough for a new instance, which learns the others through it, and each
    /// entry costs store calls.
    pub async fn run(self) {
        loop {
            tokio::time::sleep(HOME_CHECK_INTERVAL).await;
            if !is_home(&self.board, HomesPlan::FIRST_ONLY) {
                continue;
            }
            match self.register().await {
                Ok(lease) => self.renew_until_expired(lease).await,
                Err(error) => {
                    self.board.record_store_result(Some(error.to_string()));
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Renews the lease until the store reports that it ended, or was restored: the entry may be
    /// missing then, and the lease's id may have been given to another.
    async fn renew_until_expired(&self, lease: EraLease) {
        loop {
            let due = tokio::time::sleep(RENEW_INTERVAL);
            tokio::select! {
                () = due => {}
                _ = self.board.store_era.wait_beyond(lease.era) => return,
            }
            match self.store.renew_lease(lease).await {
                Ok(era) if lease.is_confirmed_by(era) => {}
                Ok(_) => return,
                Err(error) => warn!(event = "renewal-failed", why = error.to_string().as_str(); ""),
            }
        }
    }
}

impl<D: Dialect, S: EventStore> Roster for Registry<D, S> {
    async fn instances(&self) -> Result<Vec<RosterEntry>, StoreError> {
        // The seeds are enough as long as another instance is known.
        if self.board.members_view().running_count() > 1 {
            return Ok(Vec::new());
        }
        let prefix = self.dialect.store_keys().instances_prefix;
        let mut listed = Vec::new();
        let mut pages = PageReader::new(&self.store, prefix, Freshness::Latest);
        while let Some(page) = pages.next_page().await? {
            listed.extend(page.items.iter().filter_map(|item| self.roster_entry(item)));
        }
        Ok(listed)
    }

    async fn backend_servers(&self) -> Result<Vec<RosterEntry>, StoreError> {
        Ok(Vec::new())
    }
}
