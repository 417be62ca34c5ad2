//! Decides which backend server owns an address when several store entries name it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use smallvec::SmallVec;

/// Server ids by address, in the order in which they were listed; the last one owns the address.
/// After a crash, the old server's entry remains for some seconds while its successor is already
/// listed.
#[derive(Debug, Default)]
pub(super) struct AddressClaims {
    by_address: HashMap<SocketAddr, SmallVec<[Arc<str>; 1]>>,
}

impl AddressClaims {
    /// Records that a server was listed at `address`. Returns the previous owner if it was another
    /// server.
    pub(super) fn claim(&mut self, address: SocketAddr, id: &Arc<str>) -> Option<Arc<str>> {
        let claims = self.by_address.entry(address).or_default();
        let owner = claims.last().filter(|owner| *owner != id).cloned();
        claims.retain(|claimant| claimant != id);
        claims.push(Arc::clone(id));
        owner
    }

    /// Removes a server's claim because its entry was removed or another server answered at the
    /// address. Returns the new owner if the ownership changed.
    pub(super) fn release(&mut self, address: SocketAddr, id: &str) -> Option<Arc<str>> {
        let claims = self.by_address.get_mut(&address)?;
        let owned = claims.last().is_some_and(|owner| **owner == *id);
        claims.retain(|claimant| **claimant != *id);
        if claims.is_empty() {
            self.by_address.remove(&address);
            return None;
        }
        claims.last().filter(|_| owned).cloned()
    }
}
