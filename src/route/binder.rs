//! Binds requests to slots, late: a request waits here, not in a backend server's queue.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use parking_lot::MutexGuard;
use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::Upstream;
use super::binder_state::BinderState;
use super::binder_state::CloseReason;
use super::binder_state::Waiter;
use super::slot::Offer;
use super::slot::Slot;
use crate::clock::now_us;
use crate::decide::Admission;
use crate::decide::Finish;
use crate::decide::QueueView;
use crate::decide::Reach;
use crate::decide::SlotPool;
use crate::decide::admit;
use crate::decide::hedge_delay_us;
use crate::model::Preference;
use crate::model::Service;

/// Waiting requests that are offered a free slot before it is left free.
const OFFERS_MAX: usize = 4;

/// Where a request stands in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Behind those that wait already.
    Last,
    /// Before them: it waited here before, or has been running too long elsewhere.
    First,
}

/// Hands out the slots of one service on one instance; clones share.
#[derive(Clone, Debug)]
pub struct Binder {
    binder_state: Arc<Mutex<BinderState>>,
}

/// A place in the queue, or the reason why there is none.
#[derive(Debug)]
pub enum Wait {
    Queued { offer: oneshot::Receiver<Offer>, at_most: Duration },
    Refused(Admission),
}

/// What the binder knows of one server, for probes and operators.
#[derive(Clone, Debug)]
pub struct ServerView {
    pub upstream: Arc<Upstream>,
    pub kept: bool,
    /// Marked as leaving by its own word.
    pub told: bool,
    pub usable: bool,
    pub silent_us: u64,
}

impl Binder {
    /// A binder without servers.
    #[must_use]
    pub fn new(waiting_max: usize, seed: u64) -> Self {
        let binder_state = BinderState {
            pool: SlotPool::new(Vec::new(), seed),
            servers: Vec::new(),
            waiting: VecDeque::new(),
            waiting_max,
            preference: Preference::default(),
        };
        Self { binder_state: Arc::new(Mutex::new(binder_state)) }
    }

    /// Puts a declaration in force. `kept[i]` tells whether this instance is the keeper of
    /// `service.backend_servers[i]`; `share` divides the connections that a server accepts.
    pub fn apply(&self, service: &Service, kept: &[bool], share: u32) {
        let now = now_us();
        let mut binder_state = self.binder_state.lock();
        binder_state.preference = service.preference;
        for at in 0..binder_state.servers.len() {
            let upstream = &binder_state.servers[at].upstream;
            let declared = service
                .backend_servers
                .iter()
                .any(|server| server.id == upstream.id && server.address == upstream.address);
            binder_state.mark(at, CloseReason::Removed, !declared);
        }
        let initial = binder_state.servers.is_empty();
        for (server, kept) in service.backend_servers.iter().zip(kept) {
            let at = binder_state.place(server, initial, now);
            let open_max = (server.connections_max / share.max(1)).max(1);
            binder_state.servers[at].upstream.set_open_max(open_max);
            binder_state.pool.loads_mut()[at].slots = server.slots;
            binder_state.pool.loads_mut()[at].kept = *kept;
            let changed = binder_state.mark(at, CloseReason::Drained, server.drained);
            if changed && !server.drained {
                // The operator's word outweighs what the server said before.
                binder_state.mark(at, CloseReason::Told, false);
            }
        }
        self.hand_out_from(binder_state);
    }

    /// Counts a request, from which the budgets of extra work grow.
    pub fn earn(&self) {
        let mut binder_state = self.binder_state.lock();
        binder_state.pool.retries.earn();
        binder_state.pool.hedges.earn();
    }

    /// Takes a slot if one is free and nobody waits for it.
    #[must_use]
    pub fn try_take(&self, reach: Reach, avoid: &[usize]) -> Option<Slot> {
        let now = now_us();
        let mut binder_state = self.binder_state.lock();
        if binder_state.waiting.iter().any(|waiter| !waiter.sender.is_closed()) {
            return None;
        }
        let index = binder_state.pool.take(reach, avoid, now)?;
        Some(self.slot(&binder_state, index, now))
    }

    /// A place for a second attempt beside the one on `first`, inside the hedge budget. It comes
    /// before those that wait: a request that has been running too long is nearer to its
    /// caller's patience than they are, and the budget bounds how many overtake them.
    #[must_use]
    pub fn hedge(&self, reach: Reach, first: usize) -> Option<oneshot::Receiver<Offer>> {
        let mut binder_state = self.binder_state.lock();
        if !binder_state.pool.hedges.spend() {
            return None;
        }
        let (sender, offer) = oneshot::channel();
        let avoid = SmallVec::from_slice(&[first]);
        binder_state.waiting.push_front(Waiter { reach, avoid, sender });
        self.hand_out_from(binder_state);
        Some(offer)
    }

    /// Tells up to `count` waiting requests that another home has slots free; the longest
    /// waiting first.
    pub fn offer_moves(&self, count: u32) {
        let mut movers: SmallVec<[Waiter; 8]> = SmallVec::new();
        let mut binder_state = self.binder_state.lock();
        while movers.len() < count as usize {
            let Some(waiter) = binder_state.waiting.pop_front() else {
                break;
            };
            if !waiter.sender.is_closed() {
                movers.push(waiter);
            }
        }
        drop(binder_state);
        for waiter in movers {
            let _ = waiter.sender.send(Offer::Move);
        }
    }

    /// Queues a request for a slot, or tells why it gets none.
    #[must_use]
    pub fn wait(&self, reach: Reach, avoid: &[usize], order: Order, left_us: u64) -> Wait {
        let mut binder_state = self.binder_state.lock();
        binder_state.waiting.retain(|waiter| !waiter.sender.is_closed());
        let view = QueueView {
            waiting: binder_state.waiting.len(),
            waiting_max: binder_state.waiting_max,
            slots: binder_state.pool.slots(reach, avoid, now_us()),
            typical_us: binder_state.pool.typical_us(),
            left_us,
        };
        let at_most = match admit(&view) {
            Admission::Wait { at_most_us } => Duration::from_micros(at_most_us),
            refusal => return Wait::Refused(refusal),
        };
        let (sender, offer) = oneshot::channel();
        let waiter = Waiter { reach, avoid: avoid.into(), sender };
        match order {
            Order::Last => binder_state.waiting.push_back(waiter),
            Order::First => binder_state.waiting.push_front(waiter),
        }
        // A slot may have come free between the caller's try and now.
        self.hand_out_from(binder_state);
        Wait::Queued { offer, at_most }
    }

    /// Whether a retry is within the budget; takes it out.
    #[must_use]
    pub fn spend_retry(&self) -> bool {
        self.binder_state.lock().pool.retries.spend()
    }

    /// Whether the retry budget has a token.
    #[must_use]
    pub fn retry_left(&self) -> bool {
        self.binder_state.lock().pool.retries.left()
    }

    /// When an idempotent attempt is joined by a second one.
    #[must_use]
    pub fn hedge_delay(&self, idempotent: bool) -> Option<Duration> {
        let binder_state = self.binder_state.lock();
        let delay_us = hedge_delay_us(
            binder_state.preference,
            idempotent,
            binder_state.pool.typical_us(),
            binder_state.pool.high_us(),
        );
        delay_us.map(Duration::from_micros)
    }

    /// Median service time in microseconds; 0 before the first answer.
    #[must_use]
    pub fn typical_us(&self) -> f32 {
        self.binder_state.lock().pool.typical_us()
    }

    /// Whether any server within reach may be used at all now.
    #[must_use]
    pub fn usable(&self, reach: Reach) -> bool {
        self.binder_state.lock().pool.slots(reach, &[], now_us()) > 0
    }

    /// Slots free now, and requests that wait.
    #[must_use]
    pub fn free_and_waiting(&self) -> (u32, usize) {
        let binder_state = self.binder_state.lock();
        let waiting =
            binder_state.waiting.iter().filter(|waiter| !waiter.sender.is_closed()).count();
        (binder_state.pool.free(now_us()), waiting)
    }

    /// Offers slots that came free by time alone: an ejection that ended, a ramp that rose.
    /// Tells whether anybody waited.
    #[must_use]
    pub fn tick(&self) -> bool {
        let binder_state = self.binder_state.lock();
        let waits = binder_state.waiting.iter().any(|waiter| !waiter.sender.is_closed());
        if waits {
            self.hand_out_from(binder_state);
        }
        waits
    }

    /// Sets or lifts one reason for a server; tells whether that was news.
    #[must_use]
    pub fn close(&self, server_id: &str, reason: CloseReason, closed: bool) -> bool {
        let mut binder_state = self.binder_state.lock();
        let found = binder_state.servers.iter().position(|server| server.upstream.id == server_id);
        let news = found.is_some_and(|at| binder_state.mark(at, reason, closed));
        self.hand_out_from(binder_state);
        news
    }

    /// Takes note of the load that a server told.
    pub fn report(&self, index: usize, in_flight: u32) {
        let mut binder_state = self.binder_state.lock();
        if let Some(load) = binder_state.pool.loads_mut().get_mut(index) {
            load.report(in_flight, now_us());
        }
    }

    /// The declared servers, for probes.
    #[must_use]
    pub fn servers(&self) -> Vec<ServerView> {
        let now = now_us();
        let binder_state = self.binder_state.lock();
        let rows = binder_state.servers.iter().zip(binder_state.pool.loads());
        let declared = rows.filter(|(server, _)| server.closed & CloseReason::Removed.bit() == 0);
        let views = declared.map(|(server, load)| ServerView {
            upstream: Arc::clone(&server.upstream),
            kept: load.kept,
            told: server.closed & CloseReason::Told.bit() != 0,
            usable: load.usable(now),
            silent_us: load.silent_us(now),
        });
        views.collect()
    }

    fn slot(&self, binder_state: &BinderState, index: usize, now_us: u64) -> Slot {
        Slot {
            binder: self.clone(),
            index,
            upstream: Arc::clone(&binder_state.servers[index].upstream),
            started_us: now_us,
            finished: false,
        }
    }

    pub(super) fn finish(&self, index: usize, finish: Finish) {
        let mut binder_state = self.binder_state.lock();
        binder_state.pool.finish(index, finish, now_us());
        self.hand_out_from(binder_state);
    }

    /// Gives free slots to those who wait longest.
    ///
    /// The slots are sent after the lock is let go: a receiver that is gone drops its slot at
    /// once, and the slot's drop takes the lock.
    fn hand_out_from(&self, mut binder_state: MutexGuard<'_, BinderState>) {
        if binder_state.waiting.is_empty() {
            return;
        }
        let now = now_us();
        let mut ready: SmallVec<[(oneshot::Sender<Offer>, Slot); 4]> = SmallVec::new();
        let mut at = 0;
        while at < binder_state.waiting.len().min(OFFERS_MAX) {
            if binder_state.waiting[at].sender.is_closed() {
                binder_state.waiting.remove(at);
                continue;
            }
            let BinderState { pool, waiting, .. } = &mut *binder_state;
            let Some(index) = pool.take(waiting[at].reach, &waiting[at].avoid, now) else {
                at += 1;
                continue;
            };
            let slot = self.slot(&binder_state, index, now);
            if let Some(waiter) = binder_state.waiting.remove(at) {
                ready.push((waiter.sender, slot));
            }
        }
        drop(binder_state);
        for (sender, slot) in ready {
            // A receiver that is gone gives the slot back by dropping it.
            let _ = sender.send(Offer::Slot(slot));
        }
    }
}
