//! A hybrid logical clock: wall time that never goes back and respects cause before effect.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

const COUNTER_BITS: u32 = 16;
/// A peer whose clock is further ahead than this does not drag ours along.
const DRIFT_MAX_MS: u64 = 60_000;

/// Gives stamps: milliseconds since 1970 in the upper 48 bits, a counter in the lower 16.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: AtomicU64,
}

fn wall_stamp() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0) << COUNTER_BITS
}

impl HybridClock {
    /// A stamp above every stamp given or seen before.
    pub fn stamp(&self) -> u64 {
        let wall = wall_stamp();
        let next = |last: u64| Some(wall.max(last + 1));
        let last = self.last.fetch_update(Ordering::AcqRel, Ordering::Acquire, next);
        wall.max(last.unwrap_or(0) + 1)
    }

    /// Takes note of a peer's stamp.
    pub fn observe(&self, stamp: u64) {
        if stamp <= wall_stamp() + (DRIFT_MAX_MS << COUNTER_BITS) {
            self.last.fetch_max(stamp, Ordering::AcqRel);
        }
    }
}
