//! The requests that wait for the servers of one service: who waits, who is refused, who is next.

use std::sync::Arc;

use smallvec::SmallVec;

use super::Refusal;
use super::RequestSpec;
use super::ServerChoice;
use super::ServicePool;
use super::TrackedServer;
use super::available_server::AvailableServer;
use super::service_pool::SelectionCriteria;

/// Time that an answer needs, against the usual: started with just the usual time left, half of
/// the requests would be late, and their slots lost for others.
const SERVICE_TIME_MARGIN: f64 = 1.25;
/// A request that will be late waits for spare slots for at most this part of its aim.
const LATE_WAIT_SHARE: f64 = 0.12;
/// Times the usual that a late request may take on its server while others can be in time.
const LATE_SERVICE_FACTOR: f64 = 2.0;
/// When to come back while a service has no server at all.
const NO_SERVER_RETRY_AFTER_MS: u64 = 500;
/// Bounds of the time told to refused callers.
const RETRY_AFTER_MIN_MS: u64 = 50;
const RETRY_AFTER_MAX_MS: u64 = 2_000;

/// A request that waits for a server.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    pub ticket: u64,
    pub spec: RequestSpec,
    /// Started later, it is not expected to be answered in time.
    pub start_by_us: u64,
    /// It will miss its aim anyway: it gets only what no other request needs.
    pub late: bool,
    /// Its place among the workspaces that wait; of several the least is served first.
    tag: FairQueueTag,
}

/// Milliseconds of reckoned work by which a workspace is served, from the one that is served now: each of
/// those that wait gets as much of the slots as the others, whichever sends more.
#[derive(Clone, Copy, Debug, Default)]
struct FairQueueTag {
    start_ms: f64,
    finish_ms: f64,
}

/// What an instance may use of the slots of a service.
#[derive(Clone, Copy, Debug)]
struct OwnSlots {
    /// In the mean; above zero unless all servers are in need.
    slots: f64,
    /// Whether all usable servers name limits, and there is any.
    all_rate_limited: bool,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "part of an aim, never below zero"
)]
fn late_wait_us(ask: &RequestSpec) -> u64 {
    (ask.target_ms * 1000.0 * LATE_WAIT_SHARE) as u64
}

impl ServicePool {
    /// Requests that wait.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Lets a request wait, or tells that it would wait in vain.
    ///
    /// # Errors
    /// When the queue before it needs longer than its aim leaves, or no server may be used that it
    /// was not sent to already.
    pub fn enqueue(&mut self, ticket: u64, ask: RequestSpec, now_us: u64) -> Result<(), Refusal> {
        let may_serve = |server: &TrackedServer| {
            server.in_service(now_us) && !ask.tried_servers.contains(&server.row.id)
        };
        if !self.servers.iter().any(may_serve) {
            return Err(self.no_server_refusal());
        }
        let for_aim_us = self.start_by_us(&ask);
        let late = for_aim_us < now_us;
        let start_by_us = if late { now_us + late_wait_us(&ask) } else { for_aim_us };
        let urgency = if late { u32::MAX } else { ask.priority };
        let turn = self.next_tag(&ask);
        let wait_us = self.expected_wait_us(urgency, turn.start_ms, now_us);
        let first_us = self.earliest_start_us(&ask.tried_servers, now_us);
        if first_us.is_none_or(|first_us| first_us.saturating_add(wait_us) > start_by_us) {
            return Err(self.refusal(now_us));
        }
        self.queue.push(QueuedRequest { ticket, spec: ask, start_by_us, late, tag: turn });
        self.sort_queue();
        Ok(())
    }

    /// The turn of a newcomer: after those of its workspace that wait, if any.
    fn next_tag(&self, ask: &RequestSpec) -> FairQueueTag {
        if ask.workspace.is_none() {
            return FairQueueTag::default();
        }
        let of_same = self.queue.iter().filter(|other| {
            other.spec.workspace == ask.workspace && other.spec.priority == ask.priority
        });
        let from_ms = of_same.map(|other| other.tag.finish_ms).fold(self.virtual_time_ms, f64::max);
        FairQueueTag { start_ms: from_ms, finish_ms: from_ms + self.typical_ms(ask) }
    }

    /// Slots that the limit lets be used now.
    fn usable_slots(&self, now_us: u64) -> u32 {
        let usable = self.usable_servers(now_us);
        usable.map(|server| self.concurrency_limit.steady_limit(server.row.slots)).sum()
    }

    fn usable_servers(&self, now_us: u64) -> impl Iterator<Item = &TrackedServer> {
        let usable = move |server: &&TrackedServer| {
            server.usable(now_us) && !server.start_limits.in_cooldown(now_us)
        };
        self.servers.iter().filter(usable)
    }

    /// Started later, a request is expected to miss its aim.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "milliseconds of a deadline, never below zero"
    )]
    fn start_by_us(&self, ask: &RequestSpec) -> u64 {
        let needed_us = (self.typical_ms(ask) * 1000.0 * SERVICE_TIME_MARGIN) as u64;
        let aim_us = (ask.target_ms * 1000.0) as u64;
        let for_aim_us = (ask.arrived_us + aim_us).saturating_sub(ask.spent_before_us + needed_us);
        for_aim_us.min(ask.deadline_us.saturating_sub(needed_us))
    }

    /// This instance's part of the slots, as far as it may use them: a server in need takes requests at
    /// a rate, and so keeps only some of its slots in use.
    fn own_slots(&self, now_us: u64) -> OwnSlots {
        let share = self.own_share(now_us);
        let mean_s = self.mean_ms / 1000.0;
        let (mut well, mut in_need) = (0.0, 0.0);
        let mut all_in_need = None;
        for server in self.usable_servers(now_us) {
            let slots = f64::from(self.concurrency_limit.steady_limit(server.row.slots)) * share;
            let own_per_s = server.start_limits.own_starts_per_s();
            all_in_need = Some(own_per_s.is_some() && all_in_need.unwrap_or(true));
            match own_per_s {
                Some(own_per_s) => in_need += slots.min(own_per_s * mean_s),
                None => well += slots,
            }
        }
        if all_in_need == Some(true) {
            return OwnSlots { slots: in_need, all_rate_limited: true };
        }
        // With next to no share, one slot of all is still its own.
        OwnSlots { slots: f64::max(well, 1.0) + in_need, all_rate_limited: false }
    }

    /// Time until a newcomer of this priority and turn gets a slot, once a server may be given any: those before
    /// it, at the rate at which this instance's part of the slots comes free. Other homes have queues
    /// of their own, which take the rest.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a queue's length and time"
    )]
    fn expected_wait_us(&self, priority: u32, turn_ms: f64, now_us: u64) -> u64 {
        let before = |other: &&QueuedRequest| {
            let in_turn = other.spec.priority < priority || other.tag.start_ms <= turn_ms;
            !other.late && other.spec.priority <= priority && in_turn
        };
        let before = self.queue.iter().filter(before).count();
        if self.mean_ms == 0.0 {
            return 0;
        }
        let own = self.own_slots(now_us);
        // The newcomer needs a slot as well, but not where a rate is what it waits for.
        let ahead = if own.all_rate_limited { before } else { before + 1 };
        if ahead == 0 {
            return 0;
        }
        (ahead as f64 * self.mean_ms * 1000.0 / own.slots) as u64
    }

    /// This instance's part of all requests at the servers, or its fair part if that is more.
    ///
    /// By the former alone, a home that has just started gives itself next to nothing, as others
    /// have all the requests: it refuses nearly all of its own, and so its part stays as it is. Seen
    /// for a second and more after a loss of power of everything, with half of the slots free.
    fn own_share(&self, now_us: u64) -> f64 {
        let own: usize = self.servers.iter().map(TrackedServer::own_in_flight).sum();
        let all: u32 = self.servers.iter().map(|server| server.occupancy(now_us)).sum();
        #[expect(clippy::cast_precision_loss, reason = "some thousand requests")]
        let own = own as f64;
        if all == 0 { 1.0 } else { (own / f64::from(all)).clamp(self.fair_share.min(1.0), 1.0) }
    }

    fn no_server_refusal(&self) -> Refusal {
        let (retry_after_ms, waiting) = (NO_SERVER_RETRY_AFTER_MS, self.queue.len());
        Refusal { no_server: true, retry_after_ms, waiting, ..Refusal::default() }
    }

    fn any_in_service(&self, now_us: u64) -> bool {
        self.servers.iter().any(|server| server.in_service(now_us))
    }

    /// When a request may be started at any of the servers, as far as those in need are concerned;
    /// `None` if never.
    fn earliest_start_us(&self, avoid: &[Arc<str>], now_us: u64) -> Option<u64> {
        let servers = self
            .servers
            .iter()
            .filter(|server| server.in_service(now_us) && !avoid.contains(&server.row.id));
        servers.filter_map(|server| server.start_limits.next_start_us(now_us)).min()
    }

    /// When to come back: once those that wait now are served, and a server may be given more.
    #[must_use]
    pub fn refusal(&self, now_us: u64) -> Refusal {
        if !self.any_in_service(now_us) {
            return self.no_server_refusal();
        }
        let slots = self.usable_slots(now_us);
        // Where this instance may never start any, another one may now.
        let first_us = self.earliest_start_us(&[], now_us).map_or(0, |first_us| first_us - now_us);
        let wait_us = self.expected_wait_us(u32::MAX, f64::INFINITY, now_us);
        let retry_after_ms =
            (first_us.saturating_add(wait_us) / 1000).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        let in_need = |server: &&TrackedServer| server.start_limits.rate_limit.current().is_some();
        let resting = |server: &&TrackedServer| server.start_limits.in_cooldown(now_us);
        Refusal {
            no_server: false,
            retry_after_ms,
            waiting: self.queue.len(),
            slots,
            rate_limited: self.servers.iter().filter(in_need).count(),
            in_cooldown: self.servers.iter().filter(resting).count(),
        }
    }

    /// Puts the most urgent first; nearly sorted already, so this is a walk over the queue.
    fn sort_queue(&mut self) {
        let before = |one: &QueuedRequest, other: &QueuedRequest| {
            let urgency = |of: &QueuedRequest| (of.late, of.spec.priority);
            let by_turn = || one.tag.start_ms.total_cmp(&other.tag.start_ms);
            let by_arrival = || one.spec.arrived_us.cmp(&other.spec.arrived_us);
            urgency(one).cmp(&urgency(other)).then_with(by_turn).then_with(by_arrival)
        };
        self.queue.sort_by(before);
    }

    /// Gives a free slot to the most urgent request that can use one.
    ///
    /// In a burst this runs at each answer, with hundreds waiting and no server free or only slow
    /// ones: trying each request on each server would take all of the processor, and an instance
    /// that answers no pings any more counts as dead. So only servers with room are looked at,
    /// and of requests of one route only those that the fastest of them could answer in time.
    pub fn dispatch_queued(
        &mut self,
        zone: &str,
        now_us: u64,
        random: &mut impl FnMut() -> f64,
    ) -> Option<(QueuedRequest, ServerChoice)> {
        if self.queue.is_empty() {
            return None;
        }
        let near = self.available_in_subset(now_us);
        let mut served = self.first_dispatchable(&near, zone, now_us, random);
        if served.is_none() && self.may_scan_all(now_us) {
            served = self.first_dispatchable(&self.available_servers(now_us), zone, now_us, random);
        }
        let (at, index) = served?;
        let waiting = self.queue.remove(at);
        self.virtual_time_ms = self.virtual_time_ms.max(waiting.tag.start_ms);
        let choice = self.start_request(index, waiting.ticket, &waiting.spec, now_us);
        Some((waiting, choice))
    }

    /// The first waiting request that can be served in these rooms, by its place in the queue, and the
    /// server.
    fn first_dispatchable(
        &self,
        rooms: &[AvailableServer],
        zone: &str,
        now_us: u64,
        random: &mut impl FnMut() -> f64,
    ) -> Option<(usize, usize)> {
        if rooms.is_empty() {
            return None;
        }
        let mut least_ms: SmallVec<[(&str, f64); 8]> = SmallVec::new();
        for (at, waiting) in self.queue.iter().enumerate() {
            let ask = &waiting.spec;
            let within_ms = self.expected_max_ms(ask, waiting.late, now_us);
            if !waiting.late
                && self.least_expected_of_route(&mut least_ms, ask, rooms, now_us) > within_ms
            {
                continue;
            }
            let place = SelectionCriteria { zone, expected_max_ms: within_ms, late: waiting.late };
            if let Some(index) = self.select_server(ask, rooms, place, now_us, random) {
                return Some((at, index));
            }
        }
        None
    }

    /// The least time in which any server with room is expected to answer a request of this route;
    /// worked out once for each route, and kept in `known`.
    fn least_expected_of_route<'a>(
        &self,
        known: &mut SmallVec<[(&'a str, f64); 8]>,
        ask: &'a RequestSpec,
        rooms: &[AvailableServer],
        now_us: u64,
    ) -> f64 {
        if let Some((_, least_ms)) = known.iter().find(|(route, _)| **route == *ask.route) {
            return *least_ms;
        }
        let least_ms = self.least_expected_ms(ask, rooms, now_us);
        known.push((&ask.route, least_ms));
        least_ms
    }

    /// How soon a server must be expected to answer for the request to begin there.
    ///
    /// A late request still needs its answer before its deadline: begun on a server that takes
    /// longer, it holds a slot until then, and its caller is told neither an answer nor that it did
    /// not run. While others wait that can be in time, it must not hold a slot for much longer than
    /// usual either: a slow server is a fast one a moment later, and its slot theirs.
    pub(super) fn expected_max_ms(&self, ask: &RequestSpec, late: bool, now_us: u64) -> f64 {
        if !late {
            return ask.target_left_ms(now_us);
        }
        let left_ms = ask.deadline_left_ms(now_us);
        // The queue is in order: the late ones come last.
        if self.queue.first().is_some_and(|waiting| !waiting.late) {
            return left_ms.min(LATE_SERVICE_FACTOR * self.typical_ms(ask));
        }
        left_ms
    }

    /// Whether a request that starts now on a server of usual pace is answered within its aim.
    pub(super) fn can_meet_target(&self, ask: &RequestSpec, now_us: u64) -> bool {
        self.typical_ms(ask) <= ask.target_left_ms(now_us)
    }

    /// Takes out the requests that cannot be in time any more, and all where no server is left. One
    /// that waited only because the servers with room are slow becomes late instead, and takes one of
    /// those.
    pub fn expire_queued(&mut self, now_us: u64) -> SmallVec<[u64; 4]> {
        if !self.any_in_service(now_us) {
            return self.queue.drain(..).map(|waiting| waiting.ticket).collect();
        }
        let mut tickets = SmallVec::new();
        let room = self.any_available(now_us);
        self.queue.retain_mut(|waiting| {
            if now_us <= waiting.start_by_us {
                return true;
            }
            if room && !waiting.late {
                waiting.late = true;
                waiting.start_by_us = now_us + late_wait_us(&waiting.spec);
                return true;
            }
            tickets.push(waiting.ticket);
            false
        });
        self.sort_queue();
        tickets
    }

    /// Takes out a request that waits no more.
    pub fn cancel_queued(&mut self, ticket: u64) {
        self.queue.retain(|waiting| waiting.ticket != ticket);
    }
}
