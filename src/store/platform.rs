//! Interfaces of the platform; support for another platform is one new implementation of them.

use std::net::SocketAddr;
use std::time::Duration;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub key: String,
    pub value: Vec<u8>,
    /// Grows with each change of the key; expected by a compare-and-swap.
    pub index: u64,
}

/// The keys below a prefix at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The index that the next watch passes, to wait until the store is beyond it.
    pub index: u64,
    pub entries: Vec<Entry>,
}

/// A lease, by the id that the store gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease(pub String);

/// One machine in the platform's list, which may lag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterEntry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Whether the machine is draining.
    pub leaving: bool,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// Nothing was sent, so nothing changed.
    Unreachable(String),
    /// The call was sent but no response arrived: it may have taken effect.
    ResponseLost(String),
    /// The store answered with an error; nothing changed.
    Refused(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "store unreachable: {why}"),
            Self::ResponseLost(why) => write!(f, "store's answer lost: {why}"),
            Self::Refused(why) => write!(f, "store refused: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The key-value store; the platform charges each method as one call.
pub trait Store: Clone + Send + Sync + 'static {
    /// The current entry of `key`.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, StoreError>> + Send;

    /// Waits until the store's index exceeds `index` and returns all entries below `prefix`; none
    /// if `wait` passes without a change. Index 0 returns at once.
    fn watch(
        &self,
        prefix: &str,
        index: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Writes if the key still has `index` (0: does not exist); returns whether it wrote.
    fn put_if(
        &self,
        key: &str,
        value: &[u8],
        index: u64,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Opens a lease that expires unless renewed within `ttl`.
    fn lease_open(&self, ttl: Duration) -> impl Future<Output = Result<Lease, StoreError>> + Send;

    /// Renews a lease; `false` if it has expired.
    fn lease_renew(&self, lease: &Lease) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Ends a lease and releases the keys it holds.
    fn lease_close(&self, lease: &Lease) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Acquires `key` for the lease unless another lease holds it; returns whether this lease now
    /// holds it.
    fn acquire(
        &self,
        key: &str,
        value: &[u8],
        lease: &Lease,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;
}

/// The platform's lists of machines.
pub trait Roster: Clone + Send + Sync + 'static {
    /// Instances of sorrelwick, by peer address.
    fn instances(&self) -> impl Future<Output = Result<Vec<RosterEntry>, StoreError>> + Send;

    /// Backend servers of all services, by address.
    fn backend_servers(&self) -> impl Future<Output = Result<Vec<RosterEntry>, StoreError>> + Send;
}
