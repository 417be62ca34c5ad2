//! Interface of a store whose watches deliver events ordered by a single revision counter.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Revision;
use super::StoreError;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub key: String,
    pub value: Vec<u8>,
    /// The store's revision at the last change of the key.
    pub revision: Revision,
}

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemEvent {
    Written(Item),
    Removed { key: String, revision: Revision },
}

impl ItemEvent {
    /// The store's revision at the change.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// Time after an outage or a restore of the store, in microseconds, after which what is still missing
/// is gone: the writers write again what it has lost within two seconds of its return.
pub const REWRITE_TIME_US: u64 = 2_400_000;

/// Required freshness of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Linearizable: includes all writes acknowledged before.
    Latest,
    /// May be seconds old; costs a tenth.
    Stale,
}

/// Some of the keys below a prefix, sorted. Successive pages are not one snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    pub items: Vec<Item>,
    /// Whether more keys follow after this page.
    pub has_more: bool,
    /// The store's revision when the page was read; meaningless for a stale read.
    pub revision: Revision,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// Events after the requested revision, and the revision to continue from; empty if the wait
    /// timed out. If `revision` is of another era than the requested one, events are missing.
    Events { events: Vec<ItemEvent>, revision: Revision },
    /// The store has compacted the events after the requested revision: read everything again.
    HistoryLost,
}

/// A lease of the event store.
///
/// Ids are given out again, like revisions: in a later era the same id may be another's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraLease {
    pub id: u64,
    /// The store's era when the lease was opened.
    pub era: u64,
}

impl EraLease {
    /// Whether an answer that came in `era`, if the store knew the id, was about this lease.
    #[must_use]
    pub fn is_confirmed_by(self, era: Option<u64>) -> bool {
        era == Some(self.era)
    }
}

/// The platform's store as the gateway uses it; the platform charges each method as one call.
pub trait EventStore: Clone + Send + Sync + 'static {
    /// Lists keys below `prefix` that follow after the key `after`.
    fn list_page(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> impl Future<Output = Result<Page, StoreError>> + Send;

    /// Waits for events below `prefix` after `revision`, for up to `wait`.
    fn events(
        &self,
        prefix: &str,
        revision: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResult, StoreError>> + Send;

    /// Checks that the store serves this instance, by its cheapest call; returns the store's era.
    fn check_alive(&self) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Opens a lease that expires unless renewed within `ttl`.
    fn open_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<EraLease, StoreError>> + Send;

    /// Renews the lease of this id; returns the store's era, `None` if there is no such lease.
    fn renew_lease(
        &self,
        lease: EraLease,
    ) -> impl Future<Output = Result<Option<u64>, StoreError>> + Send;

    /// Writes a key that is deleted when the lease ends; returns the store's era, `None` if there is
    /// no such lease.
    fn write_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: EraLease,
    ) -> impl Future<Output = Result<Option<u64>, StoreError>> + Send;
}
