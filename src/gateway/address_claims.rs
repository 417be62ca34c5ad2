//! Which backend server holds an address, where the entries of several name it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use smallvec::SmallVec;

/// Servers by address, the one that was listed last at the end: it holds the address. The entry of
/// one that crashed stands for some seconds, while the one that took its place is listed already.
#[derive(Debug, Default)]
pub(super) struct AddressClaims {
    by_address: HashMap<SocketAddr, SmallVec<[Arc<str>; 1]>>,
}

impl AddressClaims {
    /// A server was listed at an address; returns the one that held it until then.
    pub(super) fn claim(&mut self, address: SocketAddr, id: &Arc<str>) -> Option<Arc<str>> {
        let claims = self.by_address.entry(address).or_default();
        let holder = claims.last().filter(|holder| *holder != id).cloned();
        claims.retain(|claimant| claimant != id);
        claims.push(Arc::clone(id));
        holder
    }

    /// A server is gone, or another one answered at its address; returns who holds the address now, if
    /// that changed.
    pub(super) fn release(&mut self, address: SocketAddr, id: &str) -> Option<Arc<str>> {
        let claims = self.by_address.get_mut(&address)?;
        let held = claims.last().is_some_and(|holder| **holder == *id);
        claims.retain(|claimant| **claimant != *id);
        if claims.is_empty() {
            self.by_address.remove(&address);
            return None;
        }
        claims.last().filter(|_| held).cloned()
    }
}
