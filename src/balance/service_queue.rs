//! The queue of requests for the servers of one service: admission, refusal and order of dispatch.

use std::sync::Arc;

use smallvec::SmallVec;

use super::Refusal;
use super::RequestSpec;
use super::ServerChoice;
use super::ServicePool;
use super::TrackedServer;
use super::available_server::AvailableServer;
use super::service_pool::SelectionCriteria;

/// Time reserved for the service of a request, relative to the usual time. If requests started with
/// just the usual time left, half of them would miss their target and their slots would be wasted.
const SERVICE_TIME_MARGIN: f64 = 1.25;
/// A request that will miss its target waits for a spare slot for at most this fraction of the
/// target.
const LATE_WAIT_SHARE: f64 = 0.12;
/// Maximum expected time of a late request on its server, relative to the usual time, while queued
/// requests can still meet their targets.
const LATE_SERVICE_FACTOR: f64 = 2.0;
/// Retry-after time while the service has no server.
const NO_SERVER_RETRY_AFTER_MS: u64 = 500;
/// Minimum retry-after time sent to callers.
const RETRY_AFTER_MIN_MS: u64 = 50;
/// Maximum retry-after time sent to callers.
const RETRY_AFTER_MAX_MS: u64 = 2_000;

/// A queued request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Identifies the request on this instance.
    pub ticket: u64,
    pub spec: RequestSpec,
    /// Latest start: afterwards the request is expected to miss its target or, if `late`, has
    /// waited for as long as it may.
    pub start_by_us: u64,
    /// The request will miss its target anyway and gets only slots that no other request needs.
    pub late: bool,
    /// Order among workspaces: lower tags are dispatched first.
    tag: FairQueueTag,
}

/// Tag for start-time fair queuing between workspaces, in milliseconds of estimated service time.
/// Each workspace with queued requests gets an equal part of the slots, however many requests it
/// sends.
#[derive(Clone, Copy, Debug, Default)]
struct FairQueueTag {
    start_ms: f64,
    finish_ms: f64,
}

/// The slots that this instance may use.
#[derive(Clone, Copy, Debug)]
struct OwnSlots {
    /// Mean number of slots; above zero unless all servers are rate-limited.
    slots: f64,
    /// Whether all usable servers advertise a rate limit, and there is at least one.
    all_rate_limited: bool,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "fraction of a latency target, never negative"
)]
fn late_wait_us(spec: &RequestSpec) -> u64 {
    (spec.target_ms * 1000.0 * LATE_WAIT_SHARE) as u64
}

impl ServicePool {
    /// Number of queued requests.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Queues a request, or refuses it if it would wait in vain.
    ///
    /// # Errors
    /// If the queue ahead takes longer than the request's target allows, or no usable server is
    /// left that the request was not already sent to.
    pub fn enqueue(&mut self, ticket: u64, spec: RequestSpec, now_us: u64) -> Result<(), Refusal> {
        let may_serve = |server: &TrackedServer| {
            server.in_service(now_us) && !spec.tried_servers.contains(&server.row.id)
        };
        if !self.servers.iter().any(may_serve) {
            return Err(self.no_server_refusal());
        }
        let for_target_us = self.start_by_us(&spec);
        let late = for_target_us < now_us;
        let start_by_us = if late { now_us + late_wait_us(&spec) } else { for_target_us };
        let urgency = if late { u32::MAX } else { spec.priority };
        let tag = self.next_tag(&spec);
        let wait_us = self.expected_wait_us(urgency, tag.start_ms, now_us);
        let earliest_us = self.earliest_start_us(&spec.tried_servers, now_us);
        if earliest_us.is_none_or(|earliest_us| earliest_us.saturating_add(wait_us) > start_by_us) {
            return Err(self.refusal(now_us));
        }
        self.queue.push(QueuedRequest { ticket, spec, start_by_us, late, tag });
        self.sort_queue();
        Ok(())
    }

    /// The tag of a new request: after the queued requests of its workspace, if any.
    fn next_tag(&self, spec: &RequestSpec) -> FairQueueTag {
        if spec.workspace.is_none() {
            return FairQueueTag::default();
        }
        let of_same = self.queue.iter().filter(|other| {
            other.spec.workspace == spec.workspace && other.spec.priority == spec.priority
        });
        let start_ms =
            of_same.map(|other| other.tag.finish_ms).fold(self.virtual_time_ms, f64::max);
        FairQueueTag { start_ms, finish_ms: start_ms + self.typical_ms(spec) }
    }

    /// Slots of all usable servers, within the concurrency limit.
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

    /// The latest start at which a request is expected to meet its target and its deadline.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "milliseconds of a deadline, never below zero"
    )]
    fn start_by_us(&self, spec: &RequestSpec) -> u64 {
        let needed_us = (self.typical_ms(spec) * 1000.0 * SERVICE_TIME_MARGIN) as u64;
        let target_us = (spec.target_ms * 1000.0) as u64;
        let for_target_us =
            (spec.arrived_us + target_us).saturating_sub(spec.spent_before_us + needed_us);
        for_target_us.min(spec.deadline_us.saturating_sub(needed_us))
    }

    /// This instance's part of the slots. A rate-limited server takes requests at a rate, which
    /// keeps only some of its slots busy.
    fn own_slots(&self, now_us: u64) -> OwnSlots {
        let share = self.own_share(now_us);
        let mean_s = self.mean_service_ms / 1000.0;
        let (mut unlimited, mut limited) = (0.0, 0.0);
        let mut all_limited = None;
        for server in self.usable_servers(now_us) {
            let slots = f64::from(self.concurrency_limit.steady_limit(server.row.slots)) * share;
            let own_per_s = server.start_limits.own_starts_per_s();
            all_limited = Some(own_per_s.is_some() && all_limited.unwrap_or(true));
            match own_per_s {
                Some(own_per_s) => limited += slots.min(own_per_s * mean_s),
                None => unlimited += slots,
            }
        }
        if all_limited == Some(true) {
            return OwnSlots { slots: limited, all_rate_limited: true };
        }
        // Even with a tiny share, an instance has one slot of its own.
        OwnSlots { slots: f64::max(unlimited, 1.0) + limited, all_rate_limited: false }
    }

    /// Time until a new request of this priority and tag gets a slot, apart from the time for which
    /// the limits of all servers forbid a start: the requests ahead of it divided by the rate at
    /// which this instance's slots become free. The other slots serve the queues of the other
    /// homes.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a queue's length and time"
    )]
    fn expected_wait_us(&self, priority: u32, tag_start_ms: f64, now_us: u64) -> u64 {
        let before = |other: &&QueuedRequest| {
            let by_tag = other.spec.priority < priority || other.tag.start_ms <= tag_start_ms;
            !other.late && other.spec.priority <= priority && by_tag
        };
        let before = self.queue.iter().filter(before).count();
        if self.mean_service_ms == 0.0 {
            return 0;
        }
        let own = self.own_slots(now_us);
        // The new request needs a slot as well, except when it waits for a rate limit.
        let ahead = if own.all_rate_limited { before } else { before + 1 };
        if ahead == 0 {
            return 0;
        }
        (ahead as f64 * self.mean_service_ms * 1000.0 / own.slots) as u64
    }

    /// This instance's fraction of all requests on the servers, but at least its fair share.
    ///
    /// Without that minimum, a home that has just started would have almost no share, as other
    /// homes have all the requests. It would refuse nearly all of its own requests, so its share
    /// would stay low. After a power loss of the whole deployment, this went on for more than a
    /// second while half of the slots were free.
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

    /// The earliest time at which the limits of any server allow a start; `None` if never.
    fn earliest_start_us(&self, tried: &[Arc<str>], now_us: u64) -> Option<u64> {
        let servers = self
            .servers
            .iter()
            .filter(|server| server.in_service(now_us) && !tried.contains(&server.row.id));
        servers.filter_map(|server| server.start_limits.next_start_us(now_us)).min()
    }

    /// The refusal for a request now: its caller should retry once the queued requests are served
    /// and a server may get more.
    #[must_use]
    pub fn refusal(&self, now_us: u64) -> Refusal {
        if !self.any_in_service(now_us) {
            return self.no_server_refusal();
        }
        let slots = self.usable_slots(now_us);
        // If this instance may never start a request there, another one may be able to now.
        let earliest_us =
            self.earliest_start_us(&[], now_us).map_or(0, |earliest_us| earliest_us - now_us);
        let wait_us = self.expected_wait_us(u32::MAX, f64::INFINITY, now_us);
        let retry_after_ms = (earliest_us.saturating_add(wait_us) / 1000)
            .clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        let rate_limited =
            |server: &&TrackedServer| server.start_limits.rate_limit.current().is_some();
        let in_cooldown = |server: &&TrackedServer| server.start_limits.in_cooldown(now_us);
        Refusal {
            no_server: false,
            retry_after_ms,
            waiting: self.queue.len(),
            slots,
            rate_limited: self.servers.iter().filter(rate_limited).count(),
            in_cooldown: self.servers.iter().filter(in_cooldown).count(),
        }
    }

    /// Sorts the queue, most urgent first. It is nearly sorted already, so this takes about one
    /// pass.
    fn sort_queue(&mut self) {
        let compare = |one: &QueuedRequest, other: &QueuedRequest| {
            let urgency = |of: &QueuedRequest| (of.late, of.spec.priority);
            let by_tag = || one.tag.start_ms.total_cmp(&other.tag.start_ms);
            let by_arrival = || one.spec.arrived_us.cmp(&other.spec.arrived_us);
            urgency(one).cmp(&urgency(other)).then_with(by_tag).then_with(by_arrival)
        };
        self.queue.sort_by(compare);
    }

    /// Gives a free slot to the most urgent request that can use it.
    ///
    /// In a burst this runs for each response, with hundreds of queued requests and few available
    /// servers. Trying each request on each server would use all CPU time, and an instance that
    /// stops answering pings is declared dead. So only available servers are considered, and a
    /// request only if the fastest of them could answer its route in time.
    pub fn dispatch_queued(
        &mut self,
        zone: &str,
        now_us: u64,
        random: &mut impl FnMut() -> f64,
    ) -> Option<(QueuedRequest, ServerChoice)> {
        if self.queue.is_empty() {
            return None;
        }
        let preferred = self.available_in_subset(now_us);
        let mut served = self.first_dispatchable(&preferred, zone, now_us, random);
        if served.is_none() && self.may_scan_all(now_us) {
            served = self.first_dispatchable(&self.available_servers(now_us), zone, now_us, random);
        }
        let (at, index) = served?;
        let queued = self.queue.remove(at);
        self.virtual_time_ms = self.virtual_time_ms.max(queued.tag.start_ms);
        let choice = self.start_request(index, queued.ticket, &queued.spec, now_us);
        Some((queued, choice))
    }

    /// The first queued request that one of these servers can serve: its position in the queue, and
    /// the index of the server.
    fn first_dispatchable(
        &self,
        available: &[AvailableServer],
        zone: &str,
        now_us: u64,
        random: &mut impl FnMut() -> f64,
    ) -> Option<(usize, usize)> {
        if available.is_empty() {
            return None;
        }
        let mut least_ms: SmallVec<[(&str, f64); 8]> = SmallVec::new();
        for (at, queued) in self.queue.iter().enumerate() {
            let spec = &queued.spec;
            let expected_max_ms = self.expected_max_ms(spec, queued.late, now_us);
            if !queued.late
                && self.least_expected_of_route(&mut least_ms, spec, available, now_us)
                    > expected_max_ms
            {
                continue;
            }
            let criteria = SelectionCriteria { zone, expected_max_ms, late: queued.late };
            if let Some(index) = self.select_server(spec, available, criteria, now_us, random) {
                return Some((at, index));
            }
        }
        None
    }

    /// The shortest expected time for requests of this route over the available servers, computed
    /// once per route and cached in `known`.
    fn least_expected_of_route<'a>(
        &self,
        known: &mut SmallVec<[(&'a str, f64); 8]>,
        spec: &'a RequestSpec,
        available: &[AvailableServer],
        now_us: u64,
    ) -> f64 {
        if let Some((_, least_ms)) = known.iter().find(|(route, _)| **route == *spec.route) {
            return *least_ms;
        }
        let least_ms = self.least_expected_ms(spec, available, now_us);
        known.push((&spec.route, least_ms));
        least_ms
    }

    /// The longest expected time at which a request may start on a server, in milliseconds.
    ///
    /// A late request still needs its answer before its deadline. On a slower server it would hold
    /// a slot until then, and its caller would learn neither an answer nor that it did not run.
    /// While queued requests can still meet their targets, it must not hold a slot for much longer
    /// than usual either: a slow server may be fast a moment later, and its slot is then needed by
    /// them.
    pub(super) fn expected_max_ms(&self, spec: &RequestSpec, late: bool, now_us: u64) -> f64 {
        if !late {
            return spec.target_left_ms(now_us);
        }
        let left_ms = spec.deadline_left_ms(now_us);
        // Late requests are last in the queue.
        if self.queue.first().is_some_and(|queued| !queued.late) {
            return left_ms.min(LATE_SERVICE_FACTOR * self.typical_ms(spec));
        }
        left_ms
    }

    /// Whether a request that starts now on a server of usual speed meets its target.
    pub(super) fn can_meet_target(&self, spec: &RequestSpec, now_us: u64) -> bool {
        self.typical_ms(spec) <= spec.target_left_ms(now_us)
    }

    /// Recalculates the latest starts that have passed: the answers since a request was queued may
    /// have shown that requests of its route take less time than was expected then.
    fn renew_latest_starts(&mut self, now_us: u64) {
        let mut queue = std::mem::take(&mut self.queue);
        for queued in queue.iter_mut().filter(|queued| !queued.late && now_us > queued.start_by_us)
        {
            queued.start_by_us = self.start_by_us(&queued.spec);
        }
        self.queue = queue;
    }

    /// Removes the requests that cannot be served in time any more, or all if no server is in
    /// service; returns their tickets. A request that waited only because the available servers are
    /// slow is marked as late instead and may use those.
    pub fn expire_queued(&mut self, now_us: u64) -> SmallVec<[u64; 4]> {
        if !self.any_in_service(now_us) {
            return self.queue.drain(..).map(|queued| queued.ticket).collect();
        }
        self.renew_latest_starts(now_us);
        let mut tickets = SmallVec::new();
        let any_available = self.any_available(now_us);
        self.queue.retain_mut(|queued| {
            if now_us <= queued.start_by_us {
                return true;
            }
            if any_available && !queued.late {
                queued.late = true;
                queued.start_by_us = now_us + late_wait_us(&queued.spec);
                return true;
            }
            tickets.push(queued.ticket);
            false
        });
        self.sort_queue();
        tickets
    }

    /// Removes a request from the queue.
    pub fn cancel_queued(&mut self, ticket: u64) {
        self.queue.retain(|queued| queued.ticket != ticket);
    }
}
