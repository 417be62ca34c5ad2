//! One service as it is in force on this instance.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use smallvec::SmallVec;

use super::SlotQueue;
use crate::clock::now_ms;
use crate::member::MemberRow;
use crate::model::Service;

/// What a co-home told of its free slots is worth nothing after this long.
const FREE_SLOTS_AGE_MAX_MS: u64 = 300;

/// A co-home that told of waiting requests is told of free slots for so long.
const QUEUE_REPORT_AGE_MAX_MS: u64 = 50;
const LOAD_SEND_INTERVAL_MS: u64 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct CoHomeLoad {
    free_slots: u32,
    reported_ms: u64,
    /// It told that requests wait there, at this time.
    queue_reported_ms: u64,
    /// When it was last told of this instance's load.
    last_sent_ms: u64,
}

impl CoHomeLoad {
    /// Whether it told of waiting requests a moment ago.
    const fn has_queue(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.queue_reported_ms) <= QUEUE_REPORT_AGE_MAX_MS
    }
}

/// What lasts while revisions and homes change; clones share.
#[derive(Clone, Debug)]
pub struct ServiceRuntime {
    pub slot_queue: SlotQueue,
    co_home_loads: Arc<Mutex<HashMap<u64, CoHomeLoad>>>,
}

impl ServiceRuntime {
    pub(super) fn new(queue_max: usize, seed: u64) -> Self {
        Self { slot_queue: SlotQueue::new(queue_max, seed), co_home_loads: Arc::default() }
    }

    /// Takes note of the slots that a co-home has free.
    pub fn record_free_slots(&self, incarnation: u64, free: u32) {
        let mut loads = self.co_home_loads.lock();
        let load = loads.entry(incarnation).or_default();
        load.free_slots = free;
        load.reported_ms = now_ms();
    }

    /// Takes note that requests wait at a co-home.
    pub fn record_queue(&self, incarnation: u64) {
        self.co_home_loads.lock().entry(incarnation).or_default().queue_reported_ms = now_ms();
    }

    /// Whether a co-home told of waiting requests a moment ago.
    #[must_use]
    pub fn co_home_has_queue(&self) -> bool {
        let now = now_ms();
        self.co_home_loads.lock().values().any(|load| load.has_queue(now))
    }

    /// Whether word of this instance's load would help a co-home now: requests wait here or
    /// there, and it was not told a moment ago. Counts it as told.
    pub fn should_send_load(&self, incarnation: u64, queued_here: bool) -> bool {
        let now = now_ms();
        let mut loads = self.co_home_loads.lock();
        let load = loads.entry(incarnation).or_default();
        let due = now.saturating_sub(load.last_sent_ms) >= LOAD_SEND_INTERVAL_MS;
        let tell = due && (queued_here || load.has_queue(now));
        if tell {
            load.last_sent_ms = now;
        }
        tell
    }

    /// Counts one of the slots that a co-home was believed to have free as taken.
    pub fn take_free_slot(&self, incarnation: u64) -> bool {
        let mut loads = self.co_home_loads.lock();
        let Some(load) = loads.get_mut(&incarnation) else {
            return false;
        };
        let fresh = now_ms().saturating_sub(load.reported_ms) <= FREE_SLOTS_AGE_MAX_MS;
        if !fresh || load.free_slots == 0 {
            return false;
        }
        load.free_slots -= 1;
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
    pub is_home: bool,
    pub runtime: ServiceRuntime,
}
