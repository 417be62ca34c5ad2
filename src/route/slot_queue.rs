//! Assigns requests to the slots of a service. A request without a free slot waits here, not in
//! the queue of a backend server.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use parking_lot::MutexGuard;
use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::Upstream;
use super::slot::Offer;
use super::slot::Slot;
use super::slot_queue_state::CloseReason;
use super::slot_queue_state::SlotQueueState;
use super::slot_queue_state::Waiter;
use crate::clock::now_us;
use crate::decide::Admission;
use crate::decide::AttemptOutcome;
use crate::decide::QueueAge;
use crate::decide::QueueView;
use crate::decide::ServerScope;
use crate::decide::SlotPool;
use crate::decide::decide_admission;
use crate::decide::hedge_delay_us;
use crate::model::Preference;
use crate::model::Service;

/// Only this many requests at the front of the queue are considered for a free slot.
const OFFERED_WAITERS_MAX: usize = 4;

/// Where a request enters the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePosition {
    /// Behind all waiting requests.
    Back,
    /// Ahead of them, for a request that has waited here before.
    Front,
}

/// Hands out the slots of one service on one instance. Clones share the same state.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    state: Arc<Mutex<SlotQueueState>>,
}

/// A place in the queue, or the reason for the rejection.
#[derive(Debug)]
pub enum EnqueueResult {
    /// The request waits for `offer`, at most for `max_wait`.
    Queued { offer: oneshot::Receiver<Offer>, max_wait: Duration },
    /// The request is rejected, because of what `view` shows.
    Rejected { admission: Admission, view: QueueView },
}

/// The state of one backend server, for probes and connection maintenance.
#[derive(Clone, Debug)]
pub struct ServerView {
    pub upstream: Arc<Upstream>,
    /// Whether this instance is the keeper of the server.
    pub is_keeper: bool,
    /// Whether the server announced that it is leaving.
    pub self_reported_leaving: bool,
    /// Whether the server may get requests now.
    pub usable: bool,
    /// Age of its last load report or progress, in microseconds.
    pub report_age_us: u64,
}

impl SlotQueue {
    /// A queue without servers. `queue_max` limits the waiting requests; `seed` breaks ties
    /// between servers.
    #[must_use]
    pub fn new(queue_max: usize, seed: u64) -> Self {
        let state = SlotQueueState {
            pool: SlotPool::new(Vec::new(), seed),
            servers: Vec::new(),
            waiting: VecDeque::new(),
            age: QueueAge::default(),
            queue_max,
            preference: Preference::default(),
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Applies a declaration. `is_keeper[i]` tells whether this instance is the keeper of
    /// `service.backend_servers[i]`; the connections that a server accepts are divided among
    /// `serving_instances`.
    pub fn apply(&self, service: &Service, is_keeper: &[bool], serving_instances: u32) {
        let now = now_us();
        let mut state = self.state.lock();
        state.preference = service.preference;
        for index in 0..state.servers.len() {
            let upstream = &state.servers[index].upstream;
            let declared = service
                .backend_servers
                .iter()
                .any(|server| server.id == upstream.id && server.address == upstream.address);
            state.set_close_reason(index, CloseReason::Removed, !declared);
        }
        let initial = state.servers.is_empty();
        for (server, is_keeper) in service.backend_servers.iter().zip(is_keeper) {
            let index = state.find_or_add_server(server, initial, now);
            let open_max = (server.connections_max / serving_instances.max(1)).max(1);
            state.servers[index].upstream.set_open_max(open_max);
            state.pool.loads_mut()[index].slots = server.slots;
            state.pool.loads_mut()[index].is_keeper = *is_keeper;
            let changed = state.set_close_reason(index, CloseReason::Drained, server.drained);
            if changed && !server.drained {
                // Undraining by the operator overrides the server's own earlier announcement.
                state.set_close_reason(index, CloseReason::SelfReported, false);
            }
        }
        self.dispatch_slots(state);
    }

    /// Counts a request; the retry and hedge budgets grow with the number of requests.
    pub fn record_request(&self) {
        let mut state = self.state.lock();
        state.pool.retry_budget.record_request();
        state.pool.hedge_budget.record_request();
    }

    /// Takes a slot if one is free and no request is waiting.
    #[must_use]
    pub fn try_acquire(&self, scope: ServerScope, tried: &[usize]) -> Option<Slot> {
        let now = now_us();
        let mut state = self.state.lock();
        if state.waiting.iter().any(|waiter| !waiter.sender.is_closed()) {
            return None;
        }
        let index = state.pool.acquire_slot(scope, tried, now)?;
        Some(self.new_slot(&state, index, now))
    }

    /// Queues a hedge for the attempt on the server at `first_index`, if the hedge budget allows
    /// it. It goes ahead of the waiting requests: a request that already runs too long is closer to
    /// its caller's timeout than they are, and the budget bounds how many overtake them.
    #[must_use]
    pub fn enqueue_hedge(
        &self,
        scope: ServerScope,
        first_index: usize,
    ) -> Option<oneshot::Receiver<Offer>> {
        let mut state = self.state.lock();
        if !state.pool.hedge_budget.try_spend() {
            return None;
        }
        let (sender, offer) = oneshot::channel();
        let tried = SmallVec::from_slice(&[first_index]);
        let queue_is_empty = state.waiting.is_empty();
        state.age.join(queue_is_empty, now_us());
        state.waiting.push_front(Waiter { scope, tried, sender });
        self.dispatch_slots(state);
        Some(offer)
    }

    /// Redirects up to `count` waiting requests to another home with free slots, the longest
    /// waiting first.
    pub fn redirect_waiters(&self, count: u32) {
        let mut redirected: SmallVec<[Waiter; 8]> = SmallVec::new();
        let mut state = self.state.lock();
        while redirected.len() < count as usize {
            let Some(waiter) = state.waiting.pop_front() else {
                break;
            };
            if !waiter.sender.is_closed() {
                redirected.push(waiter);
            }
        }
        drop(state);
        for waiter in redirected {
            let _ = waiter.sender.send(Offer::Redirect);
        }
    }

    /// Queues a request for a slot, or returns why it is rejected.
    #[must_use]
    pub fn enqueue(
        &self,
        scope: ServerScope,
        tried: &[usize],
        position: QueuePosition,
        remaining_us: u64,
    ) -> EnqueueResult {
        let now = now_us();
        let mut state = self.state.lock();
        state.waiting.retain(|waiter| !waiter.sender.is_closed());
        let queue_is_empty = state.waiting.is_empty();
        let queue_age_us = state.age.join(queue_is_empty, now);
        let ahead = match position {
            QueuePosition::Back => state.waiting.len(),
            QueuePosition::Front => 0,
        };
        let view = QueueView {
            waiting: ahead,
            queue_age_us,
            waiting_max: state.queue_max,
            slots: state.pool.usable_slots(scope, tried, now),
            median_service_us: state.pool.median_service_us(),
            remaining_us,
        };
        let max_wait = match decide_admission(&view) {
            Admission::Wait { at_most_us } => Duration::from_micros(at_most_us),
            admission => return EnqueueResult::Rejected { admission, view },
        };
        let (sender, offer) = oneshot::channel();
        let waiter = Waiter { scope, tried: tried.into(), sender };
        match position {
            QueuePosition::Back => state.waiting.push_back(waiter),
            QueuePosition::Front => state.waiting.push_front(waiter),
        }
        // A slot may have been released since the caller's `try_acquire`.
        self.dispatch_slots(state);
        EnqueueResult::Queued { offer, max_wait }
    }

    /// Takes a token from the retry budget; returns whether it had one.
    #[must_use]
    pub fn spend_retry(&self) -> bool {
        self.state.lock().pool.retry_budget.try_spend()
    }

    /// Whether the retry budget has a token.
    #[must_use]
    pub fn has_retry_left(&self) -> bool {
        self.state.lock().pool.retry_budget.has_token()
    }

    /// How long after its start an attempt is hedged; `None` for never.
    #[must_use]
    pub fn hedge_delay(&self, idempotent: bool) -> Option<Duration> {
        let state = self.state.lock();
        let delay_us = hedge_delay_us(
            state.preference,
            idempotent,
            state.pool.median_service_us(),
            state.pool.high_quantile_us(),
        );
        delay_us.map(Duration::from_micros)
    }

    /// Median service time in microseconds; 0 before the first answer.
    #[must_use]
    pub fn median_service_us(&self) -> f32 {
        self.state.lock().pool.median_service_us()
    }

    /// Whether any server within `scope` may be used now.
    #[must_use]
    pub fn has_usable_server(&self, scope: ServerScope) -> bool {
        self.state.lock().pool.usable_slots(scope, &[], now_us()) > 0
    }

    /// The number of free slots, and of waiting requests.
    #[must_use]
    pub fn free_slots_and_waiting(&self) -> (u32, usize) {
        let state = self.state.lock();
        let waiting = state.waiting.iter().filter(|waiter| !waiter.sender.is_closed()).count();
        (state.pool.free_slots(now_us()), waiting)
    }

    /// Hands out slots that became free by time alone: an ejection ended, or a ramp-up advanced.
    /// Returns whether any request was waiting.
    #[must_use]
    pub fn dispatch_waiting(&self) -> bool {
        let state = self.state.lock();
        let waits = state.waiting.iter().any(|waiter| !waiter.sender.is_closed());
        if waits {
            self.dispatch_slots(state);
        }
        waits
    }

    /// Sets or clears one close reason of a server; returns whether that changed anything.
    #[must_use]
    pub fn set_closed(&self, server_id: &str, reason: CloseReason, closed: bool) -> bool {
        let mut state = self.state.lock();
        let found = state.servers.iter().position(|server| server.upstream.id == server_id);
        let changed = found.is_some_and(|index| state.set_close_reason(index, reason, closed));
        self.dispatch_slots(state);
        changed
    }

    /// Records the load that a server reported.
    pub fn record_load(&self, index: usize, in_flight: u32) {
        let mut state = self.state.lock();
        if let Some(load) = state.pool.loads_mut().get_mut(index) {
            load.record_load(in_flight, now_us());
        }
    }

    /// The servers that are still declared.
    #[must_use]
    pub fn declared_servers(&self) -> Vec<ServerView> {
        let now = now_us();
        let state = self.state.lock();
        let rows = state.servers.iter().zip(state.pool.loads());
        let declared =
            rows.filter(|(server, _)| server.close_reasons & CloseReason::Removed.bit() == 0);
        let views = declared.map(|(server, load)| ServerView {
            upstream: Arc::clone(&server.upstream),
            is_keeper: load.is_keeper,
            self_reported_leaving: server.close_reasons & CloseReason::SelfReported.bit() != 0,
            usable: load.usable(now),
            report_age_us: load.report_age_us(now),
        });
        views.collect()
    }

    fn new_slot(&self, state: &SlotQueueState, index: usize, now_us: u64) -> Slot {
        Slot {
            queue: self.clone(),
            index,
            upstream: Arc::clone(&state.servers[index].upstream),
            started_us: now_us,
            released: false,
        }
    }

    pub(super) fn release_slot(&self, index: usize, outcome: AttemptOutcome) {
        let mut state = self.state.lock();
        state.pool.release_slot(index, outcome, now_us());
        self.dispatch_slots(state);
    }

    /// Hands free slots to the longest waiting requests.
    ///
    /// The slots are sent after the lock is released: a slot whose receiver is gone is dropped at
    /// once, and its drop takes the lock.
    fn dispatch_slots(&self, mut state: MutexGuard<'_, SlotQueueState>) {
        if state.waiting.is_empty() {
            return;
        }
        let now = now_us();
        let mut ready: SmallVec<[(oneshot::Sender<Offer>, Slot); 4]> = SmallVec::new();
        let mut position = 0;
        while position < state.waiting.len().min(OFFERED_WAITERS_MAX) {
            if state.waiting[position].sender.is_closed() {
                state.waiting.remove(position);
                continue;
            }
            let SlotQueueState { pool, waiting, .. } = &mut *state;
            let Some(index) =
                pool.acquire_slot(waiting[position].scope, &waiting[position].tried, now)
            else {
                position += 1;
                continue;
            };
            let slot = self.new_slot(&state, index, now);
            if let Some(waiter) = state.waiting.remove(position) {
                ready.push((waiter.sender, slot));
            }
        }
        drop(state);
        for (sender, slot) in ready {
            // If the receiver is gone, the slot is dropped and thereby released.
            let _ = sender.send(Offer::Slot(slot));
        }
    }
}
