//! What sorrelwick needs of the platform; another platform's interface is one new file.

use std::net::SocketAddr;
use std::time::Duration;

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub key: String,
    pub value: Vec<u8>,
    /// Grows with each change of the key; the expected index of a compare-and-swap.
    pub index: u64,
}

/// The keys below a prefix at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// What the next watch waits to be passed.
    pub index: u64,
    pub entries: Vec<Entry>,
}

/// A lease, by the name the store gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease(pub String);

/// One machine in the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterEntry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub leaving: bool,
}

/// Why a call to the platform brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// Nothing was sent, so nothing changed.
    Unreachable(String),
    /// The call was sent and its answer is missing: it may have taken effect.
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

/// The key-value service: each method is one call by the platform's count.
pub trait Store: Clone + Send + Sync + 'static {
    /// The entry of `key`, as of now.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, StoreError>> + Send;

    /// All entries below `prefix`, once the store has passed `index`; none when `wait` is over
    /// without a change. Index 0 answers at once.
    fn watch(
        &self,
        prefix: &str,
        index: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Writes if the key still has `index` (0: does not exist); tells whether it wrote.
    fn put_if(
        &self,
        key: &str,
        value: &[u8],
        index: u64,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Opens a lease that lapses unless it is renewed within `ttl`.
    fn lease_open(&self, ttl: Duration) -> impl Future<Output = Result<Lease, StoreError>> + Send;

    /// Renews a lease; `false` when it has lapsed.
    fn lease_renew(&self, lease: &Lease) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Ends a lease and frees what it holds.
    fn lease_close(&self, lease: &Lease) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Takes `key` for the lease unless another lease holds it; tells whether it is held now.
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

    /// Backend servers of all services, by their address.
    fn backend_servers(&self) -> impl Future<Output = Result<Vec<RosterEntry>, StoreError>> + Send;
}
