//! Interface of a store whose watches deliver events ordered by a single revision counter.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::StoreError;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub key: String,
    pub value: Vec<u8>,
    /// The store's revision at the last change of the key.
    pub revision: u64,
}

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemEvent {
    Written(Item),
    Removed { key: String, revision: u64 },
}

impl ItemEvent {
    /// The store's revision at the change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

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
    pub revision: u64,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// Events after the requested revision, and the revision to continue from; empty if the wait
    /// timed out.
    Events { events: Vec<ItemEvent>, revision: u64 },
    /// The store has compacted the events after the requested revision: read everything again.
    HistoryLost,
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
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResult, StoreError>> + Send;

    /// Checks that the store serves this instance, by its cheapest call.
    fn check_alive(&self) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Opens a lease that expires unless renewed within `ttl`; returns its id.
    fn open_lease(&self, ttl: Duration) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Renews a lease; `false` if it has expired.
    fn renew_lease(&self, lease: u64) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Writes a key that is deleted when the lease ends; `false` if there is no such lease.
    fn write_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: u64,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;
}
