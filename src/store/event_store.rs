//! A store whose watches deliver events in the order of one revision counter.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::StoreError;

/// One key as it was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub key: String,
    pub value: Vec<u8>,
    /// The store's counter at the last change of the key.
    pub revision: u64,
}

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemEvent {
    Written(Item),
    Removed { key: String, revision: u64 },
}

impl ItemEvent {
    /// The store's counter at the change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// What is asked of a reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// All that was acknowledged before.
    Latest,
    /// It may be seconds old, and costs a tenth.
    Stale,
}

/// Some of the keys below a prefix, in the order of their names. Pages are not a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    pub items: Vec<Item>,
    /// Whether more keys follow after the last one of this page.
    pub more: bool,
    /// The store's counter when the page was read; says nothing of a page that may be old.
    pub revision: u64,
}

/// What a watch brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// Events after the revision asked for, and where to go on; none when the wait was over.
    Events { events: Vec<ItemEvent>, revision: u64 },
    /// The store no longer has the events after the revision asked for: read everything again.
    HistoryLost,
}

/// The platform's store as the gateway needs it; each method is one call by the platform's count.
pub trait EventStore: Clone + Send + Sync + 'static {
    /// Keys below `prefix` that follow after the key `after`.
    fn list_page(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> impl Future<Output = Result<Page, StoreError>> + Send;

    /// Events below `prefix` after `revision`, as soon as there is one or when `wait` is over.
    fn events(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResult, StoreError>> + Send;

    /// Whether the store serves this instance at all; the cheapest call that tells.
    fn check_alive(&self) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Opens a lease that lapses unless it is renewed within `ttl`; returns its number.
    fn open_lease(&self, ttl: Duration) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Renews a lease; `false` when it has lapsed.
    fn renew_lease(&self, lease: u64) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Writes a key that goes when the lease ends; `false` when there is no such lease.
    fn write_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: u64,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;
}
