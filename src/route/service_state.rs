//! The state of one service on this instance.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use smallvec::SmallVec;

use super::SlotQueue;
use crate::clock::now_ms;
use crate::member::MemberRow;
use crate::model::Service;

/// A co-home's report of free slots expires after this time.
const FREE_SLOTS_AGE_MAX_MS: u64 = 300;

/// For this time after it reported waiting requests, a co-home is sent the load of this instance.
const QUEUE_REPORT_AGE_MAX_MS: u64 = 50;
/// Shortest time between two load messages to the same co-home.
const LOAD_SEND_INTERVAL_MS: u64 = 10;

/// The last reported load of a co-home.
#[derive(Clone, Copy, Debug, Default)]
struct CoHomeLoad {
    free_slots: u32,
    /// When `free_slots` was reported.
    reported_ms: u64,
    /// When it last reported waiting requests.
    queue_reported_ms: u64,
    /// When the load of this instance was last sent to it.
    last_sent_ms: u64,
}

impl CoHomeLoad {
    /// Whether it recently reported waiting requests.
    const fn has_queue(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.queue_reported_ms) <= QUEUE_REPORT_AGE_MAX_MS
    }
}

/// The part of a service's state that outlives changes of its revision and homes. Clones share it.
#[derive(Clone, Debug)]
pub struct ServiceRuntime {
    pub slot_queue: SlotQueue,
    /// By incarnation.
    co_home_loads: Arc<Mutex<HashMap<u64, CoHomeLoad>>>,
}

impl ServiceRuntime {
    pub(super) fn new(queue_max: usize, seed: u64) -> Self {
        Self { slot_queue: SlotQueue::new(queue_max, seed), co_home_loads: Arc::default() }
    }

    /// Records the number of slots that a co-home has free.
    pub fn record_free_slots(&self, incarnation: u64, free: u32) {
        let mut loads = self.co_home_loads.lock();
        let load = loads.entry(incarnation).or_default();
        load.free_slots = free;
        load.reported_ms = now_ms();
    }

    /// Records that requests wait at a co-home.
    pub fn record_queue(&self, incarnation: u64) {
        self.co_home_loads.lock().entry(incarnation).or_default().queue_reported_ms = now_ms();
    }

    /// Whether any co-home recently reported waiting requests.
    #[must_use]
    pub fn co_home_has_queue(&self) -> bool {
        let now = now_ms();
        self.co_home_loads.lock().values().any(|load| load.has_queue(now))
    }

    /// Whether to send this instance's load to a co-home now: requests wait here or there, and
    /// the last message to it is not too recent. If so, the message counts as sent.
    pub fn should_send_load(&self, incarnation: u64, queued_here: bool) -> bool {
        let now = now_ms();
        let mut loads = self.co_home_loads.lock();
        let load = loads.entry(incarnation).or_default();
        let due = now.saturating_sub(load.last_sent_ms) >= LOAD_SEND_INTERVAL_MS;
        let send = due && (queued_here || load.has_queue(now));
        if send {
            load.last_sent_ms = now;
        }
        send
    }

    /// Takes one of the free slots that a co-home reported; returns whether there was one.
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

/// The snapshot of a service that the request path reads.
#[derive(Clone, Debug)]
pub struct ServiceState {
    /// The revision of `spec`.
    pub revision: u64,
    pub spec: Arc<Service>,
    /// The homes in the zone of this instance come first.
    pub homes: SmallVec<[Arc<MemberRow>; 4]>,
    /// Whether this instance is one of the homes.
    pub is_home: bool,
    pub runtime: ServiceRuntime,
}
