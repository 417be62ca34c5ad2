//! The store selected by the settings.

use std::time::Duration;

use super::ConsulStore;
use super::Entry;
use super::Lease;
use super::Listing;
use super::MemoryStore;
use super::Roster;
use super::RosterEntry;
use super::Store;
use super::StoreError;
use crate::conf::PlatformSettings;

/// One of the store implementations; an enum instead of `dyn`.
#[derive(Clone, Debug)]
pub enum AnyStore {
    Memory(MemoryStore),
    Consul(ConsulStore),
}

impl AnyStore {
    /// Opens the platform's store, or one in memory if the settings have no platform.
    #[must_use]
    pub fn open(platform: Option<&PlatformSettings>) -> Self {
        match platform {
            Some(platform) => Self::Consul(ConsulStore::open(platform)),
            None => Self::Memory(MemoryStore::default()),
        }
    }
}

macro_rules! dispatch {
    ($self:ident, $store:ident => $call:expr) => {
        match $self {
            Self::Memory($store) => $call.await,
            Self::Consul($store) => $call.await,
        }
    };
}

impl Store for AnyStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        dispatch!(self, store => store.get(key))
    }

    async fn watch(&self, prefix: &str, index: u64, wait: Duration) -> Result<Listing, StoreError> {
        dispatch!(self, store => store.watch(prefix, index, wait))
    }

    async fn put_if(&self, key: &str, value: &[u8], index: u64) -> Result<bool, StoreError> {
        dispatch!(self, store => store.put_if(key, value, index))
    }

    async fn lease_open(&self, ttl: Duration) -> Result<Lease, StoreError> {
        dispatch!(self, store => store.lease_open(ttl))
    }

    async fn lease_renew(&self, lease: &Lease) -> Result<bool, StoreError> {
        dispatch!(self, store => store.lease_renew(lease))
    }

    async fn lease_close(&self, lease: &Lease) -> Result<(), StoreError> {
        dispatch!(self, store => store.lease_close(lease))
    }

    async fn acquire(&self, key: &str, value: &[u8], lease: &Lease) -> Result<bool, StoreError> {
        dispatch!(self, store => store.acquire(key, value, lease))
    }
}

impl Roster for AnyStore {
    async fn instances(&self) -> Result<Vec<RosterEntry>, StoreError> {
        dispatch!(self, store => store.instances())
    }

    async fn backend_servers(&self) -> Result<Vec<RosterEntry>, StoreError> {
        dispatch!(self, store => store.backend_servers())
    }
}
