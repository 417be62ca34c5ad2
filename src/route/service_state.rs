//! One service as it is in force on this instance.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use smallvec::SmallVec;

use super::Binder;
use crate::clock::now_ms;
use crate::member::MemberRow;
use crate::model::Service;

/// What a co-home told of its free slots is worth nothing after this long.
const CO_LOAD_AGE_MAX_MS: u64 = 300;

/// A co-home that told of waiting requests is told of free slots for so long.
const WAITING_AGE_MAX_MS: u64 = 50;
const TELL_INTERVAL_MS: u64 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct CoLoad {
    free: u32,
    at_ms: u64,
    /// It told that requests wait there, at this time.
    waiting_at_ms: u64,
    /// When it was last told of this instance's load.
    told_ms: u64,
}

impl CoLoad {
    /// Whether it told of waiting requests a moment ago.
    const fn waits(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.waiting_at_ms) <= WAITING_AGE_MAX_MS
    }
}

/// What lasts while revisions and homes change; clones share.
#[derive(Clone, Debug)]
pub struct ServiceCore {
    pub binder: Binder,
    co_loads: Arc<Mutex<HashMap<u64, CoLoad>>>,
}

impl ServiceCore {
    pub(super) fn new(waiting_max: usize, seed: u64) -> Self {
        Self { binder: Binder::new(waiting_max, seed), co_loads: Arc::default() }
    }

    /// Takes note of the slots that a co-home has free.
    pub fn note_free(&self, incarnation: u64, free: u32) {
        let mut loads = self.co_loads.lock();
        let load = loads.entry(incarnation).or_default();
        load.free = free;
        load.at_ms = now_ms();
    }

    /// Takes note that requests wait at a co-home.
    pub fn note_waiting(&self, incarnation: u64) {
        self.co_loads.lock().entry(incarnation).or_default().waiting_at_ms = now_ms();
    }

    /// Whether a co-home told of waiting requests a moment ago.
    #[must_use]
    pub fn co_home_waits(&self) -> bool {
        let now = now_ms();
        self.co_loads.lock().values().any(|load| load.waits(now))
    }

    /// Whether word of this instance's load would help a co-home now: requests wait here or
    /// there, and it was not told a moment ago. Counts it as told.
    pub fn should_tell(&self, incarnation: u64, waits_here: bool) -> bool {
        let now = now_ms();
        let mut loads = self.co_loads.lock();
        let load = loads.entry(incarnation).or_default();
        let due = now.saturating_sub(load.told_ms) >= TELL_INTERVAL_MS;
        let tell = due && (waits_here || load.waits(now));
        if tell {
            load.told_ms = now;
        }
        tell
    }

    /// Counts one of the slots that a co-home was believed to have free as taken.
    pub fn take_free(&self, incarnation: u64) -> bool {
        let mut loads = self.co_loads.lock();
        let Some(load) = loads.get_mut(&incarnation) else {
            return false;
        };
        let fresh = now_ms().saturating_sub(load.at_ms) <= CO_LOAD_AGE_MAX_MS;
        if !fresh || load.free == 0 {
            return false;
        }
        load.free -= 1;
        true
    }
}

/// A snapshot that the request path reads.
#[derive(Clone, Debug)]
pub struct ServiceState {
    pub revision: u64,
    pub spec: Arc<Service>,
    /// Those of this instance's zone first.
    pub homes: SmallVec<[Arc<MemberRow>; 4]>,
    /// Whether this instance is one of the homes.
    pub am_home: bool,
    pub core: ServiceCore,
}
