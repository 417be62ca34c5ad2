//! Relays that are not asked for a while.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::now_us;

/// Relays that did not answer or were not certain, each until when it is passed over, in microseconds.
#[derive(Debug, Default)]
pub struct RelayCooldowns(SmallVec<[(SocketAddr, u64); 4]>);

impl RelayCooldowns {
    /// Passes over a relay for so long from now on; forgets those whose time is over.
    pub fn start(&mut self, peer: SocketAddr, pause: Duration) {
        let now_us = now_us();
        self.0.retain(|(other, until_us)| *other != peer && *until_us > now_us);
        let pause_us = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
        self.0.push((peer, now_us.saturating_add(pause_us)));
    }

    /// Whether this one is passed over now.
    pub fn is_active(&self, peer: SocketAddr) -> bool {
        self.0.iter().any(|(other, until_us)| *other == peer && *until_us > now_us())
    }
}
