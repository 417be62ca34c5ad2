//! A hybrid logical clock: wall time that never goes back and orders causes before effects.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Low bits of a stamp that hold the counter.
const COUNTER_BITS: u32 = 16;
/// Stamps of peers that are further ahead than this are ignored, so that one wrong clock does not
/// move the others.
const DRIFT_MAX_MS: u64 = 60_000;

/// Generates stamps: Unix milliseconds in the upper 48 bits, a counter in the lower 16.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: AtomicU64,
}

fn wall_stamp() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0) << COUNTER_BITS
}

impl HybridClock {
    /// Returns a stamp above every stamp that was generated or observed before.
    pub fn stamp(&self) -> u64 {
        let wall = wall_stamp();
        let next = |last: u64| Some(wall.max(last + 1));
        let last = self.last.fetch_update(Ordering::AcqRel, Ordering::Acquire, next);
        wall.max(last.unwrap_or(0) + 1)
    }

    /// Advances the clock to a peer's stamp, unless that is too far ahead.
    pub fn observe(&self, stamp: u64) {
        if stamp <= wall_stamp() + (DRIFT_MAX_MS << COUNTER_BITS) {
            self.last.fetch_max(stamp, Ordering::AcqRel);
        }
    }
}
