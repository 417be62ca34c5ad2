//! Cooldowns of relays after a failure.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::now_us;

/// Relays in cooldown because they did not respond or had no fresh mirror, each with the end of the
/// cooldown in microseconds.
#[derive(Debug, Default)]
pub struct RelayCooldowns(SmallVec<[(SocketAddr, u64); 4]>);

impl RelayCooldowns {
    /// Excludes a relay for the duration of `pause`, and removes cooldowns that have ended.
    pub fn start(&mut self, peer: SocketAddr, pause: Duration) {
        let now_us = now_us();
        self.0.retain(|(other, until_us)| *other != peer && *until_us > now_us);
        let pause_us = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX);
        self.0.push((peer, now_us.saturating_add(pause_us)));
    }

    /// Whether a relay is in cooldown now.
    pub fn is_active(&self, peer: SocketAddr) -> bool {
        self.0.iter().any(|(other, until_us)| *other == peer && *until_us > now_us())
    }
}
