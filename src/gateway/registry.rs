//! The list of instances that the instances keep in the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::warn;

use super::Dialect;
use super::homes::HomesPlan;
use super::homes::is_home;
use crate::board::Blackboard;
use crate::store::EventStore;
use crate::store::Freshness;
use crate::store::Listed;
use crate::store::Roster;
use crate::store::StoreError;

/// Homes are settled some time after a start.
const HOME_CHECK_INTERVAL: Duration = Duration::from_millis(1_500);
/// An entry outlives its instance for at most this. It is only read by instances that look for
/// others, which stand a dead address among living ones.
const LEASE_TTL: Duration = Duration::from_mins(1);
const RENEW_INTERVAL: Duration = Duration::from_secs(20);
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// The instances' own list; each writes its peer address under a lease.
#[derive(Clone, Debug)]
pub struct Registry<D, S> {
    pub dialect: D,
    pub store: S,
    pub board: Arc<Blackboard>,
}

impl<D: Dialect, S: EventStore> Registry<D, S> {
    async fn register(&self) -> Result<u64, StoreError> {
        let lease = self.store.open_lease(LEASE_TTL).await?;
        let prefix = self.dialect.store_keys().instances_prefix;
        let key = format!("{prefix}{}", self.board.settings.instance.name);
        let address = self.board.settings.listen.peer.to_string();
        if self.store.write_leased(&key, address.as_bytes(), lease).await? {
            return Ok(lease);
        }
        Err(StoreError::Refused("the lease ended at once".into()))
    }

    /// Keeps the own entry while this instance is a home, until the process ends.
    ///
    /// A newcomer needs one address of an instance that lives, and finds the others through it;
    /// each entry costs calls to the store.
    pub async fn run(self) {
        loop {
            tokio::time::sleep(HOME_CHECK_INTERVAL).await;
            if !is_home(&self.board, HomesPlan::FIRST_ONLY) {
                continue;
            }
            match self.register().await {
                Ok(lease) => self.renew_until_expired(lease).await,
                Err(error) => {
                    self.board.note_store(Some(error.to_string()));
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Renews the lease until the store says that it ended.
    async fn renew_until_expired(&self, lease: u64) {
        loop {
            tokio::time::sleep(RENEW_INTERVAL).await;
            match self.store.renew_lease(lease).await {
                Ok(true) => {}
                Ok(false) => return,
                Err(error) => warn!(event = "renewal-failed", why = error.to_string().as_str(); ""),
            }
        }
    }
}

impl<D: Dialect, S: EventStore> Roster for Registry<D, S> {
    async fn instances(&self) -> Result<Vec<Listed>, StoreError> {
        // The addresses in the settings are enough while one of them answers.
        if self.board.members_view().serving() > 1 {
            return Ok(Vec::new());
        }
        let prefix = self.dialect.store_keys().instances_prefix;
        let page = self.store.page(prefix, None, Freshness::Latest).await?;
        let listed = page.items.iter().filter_map(|item| {
            let address: SocketAddr = std::str::from_utf8(&item.value).ok()?.parse().ok()?;
            Some(Listed { id: item.key.clone(), address, zone: String::new(), leaving: false })
        });
        Ok(listed.collect())
    }

    async fn backend_servers(&self) -> Result<Vec<Listed>, StoreError> {
        Ok(Vec::new())
    }
}
