//! The backend servers of one service, and the requests that wait for them.

use std::collections::HashMap;
use std::sync::Arc;

use super::ConcurrencyLimit;
use super::RequestSpec;
use super::RetryBudget;
use super::SendOutcome;
use super::ServerChoice;
use super::ServerSubset;
use super::ServiceTimes;
use super::TrackedServer;
use super::available_server::AvailableServer;
use super::service_queue::QueuedRequest;
use crate::cold::ColdRule;
use crate::model::ServerRow;
use crate::model::ServerState;
use crate::peer::zone_hash;
use crate::starts::HomeShare;

/// What an answer from another zone costs beyond its own time. Its bytes cost money there, and
/// its way is longer; 90 ms is some third of the usual work.
const CROSS_ZONE_COST_MS: f64 = 90.0;
/// What a new connection costs beyond its handshake: servers bound their number, and each takes a
/// slot for a moment. A third of what an answer from another zone costs.
const NEW_CONNECTION_COST_MS: f64 = 30.0;
/// How much longer work is expected on a server whose slots are all in use, against an idle one:
/// evens the load out between servers that look alike.
const OCCUPANCY_COST_FACTOR: f64 = 0.3;
/// Expected times closer than this share of the usual one are told apart by chance, so that
/// instances that know the same do not all choose the same server.
const JITTER_FACTOR: f64 = 0.05;
/// What a request more than it takes costs at a server in need, in parts of the usual time: others go
/// first, also in other zones.
const OVER_LIMIT_COST_FACTOR: f64 = 1.0;
/// A server that is expected to take longer by this part of the usual time than when it was chosen
/// is chosen anew.
const RESELECT_SLOWDOWN_SHARE: f64 = 0.7;

/// Where a server is looked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectionCriteria<'a> {
    /// The zone of this instance.
    pub(super) zone: &'a str,
    /// Only servers that are expected to answer within this.
    pub(super) expected_max_ms: f64,
    /// For a late request, failures and health do not count: it is begun on a bad server rather
    /// than not at all.
    pub(super) late: bool,
}

/// Servers, queue and measures of one service.
#[derive(Debug)]
pub struct ServicePool {
    pub servers: Vec<TrackedServer>,
    /// Place of each server in `servers`, by id.
    index_by_id: HashMap<Arc<str>, usize>,
    pub retry_budget: RetryBudget,
    /// Requests of this instance that each server may have, by the connections it accepts; 0 where
    /// that is not known.
    pub own_in_flight_max: usize,
    /// Part of the slots that this instance gets in the long run: one of so many homes.
    pub fair_share: f64,
    /// The most urgent first.
    pub(super) queue: Vec<QueuedRequest>,
    /// The turn of the last request that was served after waiting.
    pub(super) virtual_time_ms: f64,
    pub(super) concurrency_limit: ConcurrencyLimit,
    service_times: ServiceTimes,
    /// Of requests on servers that had a slot left for nearly all of their time. The usual times
    /// rise with the load, and what slows all requests would not show against them.
    unsaturated_times: ServiceTimes,
    /// Mean time of all requests; 0 before the first.
    pub(super) mean_ms: f64,
    cold_rule: ColdRule,
    home_share: Arc<HomeShare>,
    subset: Option<ServerSubset>,
    /// Places in `servers` of those that are looked at first; `None` where all are.
    pub(super) subset_indexes: Option<Vec<usize>>,
    /// The others are not looked at again before this.
    pub(super) next_full_scan_us: u64,
}

impl Default for ServicePool {
    /// A pool without servers, of an instance that is alone.
    fn default() -> Self {
        Self {
            servers: Vec::new(),
            index_by_id: HashMap::new(),
            retry_budget: RetryBudget::default(),
            own_in_flight_max: 0,
            fair_share: 1.0,
            queue: Vec::new(),
            virtual_time_ms: 0.0,
            concurrency_limit: ConcurrencyLimit::default(),
            service_times: ServiceTimes::default(),
            unsaturated_times: ServiceTimes::default(),
            mean_ms: 0.0,
            cold_rule: ColdRule::default(),
            home_share: Arc::default(),
            subset: None,
            subset_indexes: None,
            next_full_scan_us: 0,
        }
    }
}

impl ServicePool {
    /// The server of this id.
    #[must_use]
    pub fn server_mut(&mut self, id: &str) -> Option<&mut TrackedServer> {
        self.servers.get_mut(*self.index_by_id.get(id)?)
    }

    /// Lists a server, and returns what is believed of it. Nothing that is believed of an earlier
    /// start holds for a later one.
    pub fn upsert_server(&mut self, row: ServerRow, now_us: u64) -> &mut TrackedServer {
        let place = self.index_by_id.get(&row.id).copied().unwrap_or(self.servers.len());
        match self.servers.get_mut(place) {
            Some(server) if server.row.same_start(&row) => server.relist(row, now_us),
            Some(_) => self.servers[place] = self.new_tracked_server(row, now_us),
            None => {
                self.index_by_id.insert(Arc::clone(&row.id), place);
                self.servers.push(self.new_tracked_server(row, now_us));
            }
        }
        &mut self.servers[place]
    }

    fn new_tracked_server(&self, row: ServerRow, now_us: u64) -> TrackedServer {
        let mut server = TrackedServer::new(row, now_us);
        server
            .start_limits
            .set_share(self.home_share.start_share(server.key), self.cold_rule.limit.as_ref());
        server
    }

    /// Takes over what cold servers of the service may get, and who shares what servers in need get.
    pub fn set_start_limits(&mut self, rule: ColdRule, share: &Arc<HomeShare>) {
        self.cold_rule = rule;
        self.home_share = Arc::clone(share);
        for server in &mut self.servers {
            server.start_limits.set_share(share.start_share(server.key), rule.limit.as_ref());
        }
    }

    /// Uses the servers of an availability zone again; returns how many there are.
    pub fn readmit_zone(&mut self, zone: &str, now_us: u64) -> usize {
        let of_zone = self.servers.iter_mut().filter(|server| *server.row.zone == *zone);
        let readmitted = of_zone.map(|server| server.readmit(self.cold_rule.warmup_us, now_us));
        readmitted.count()
    }

    /// Forgets servers that are neither listed nor in use.
    pub fn remove_unlisted(&mut self, now_us: u64) {
        self.retain_servers(|server| server.listed(now_us) || !server.idle());
    }

    /// Up to `most` servers that may be used, of this zone if it has any; the same while others come and go.
    #[must_use]
    pub fn sample(&self, zone: u64, most: usize, now_us: u64) -> Vec<Arc<str>> {
        let usable = |server: &&TrackedServer| {
            server.row.state == ServerState::Ready && server.in_service(now_us)
        };
        let usable = || self.servers.iter().filter(usable);
        let in_zone = usable().filter(|server| zone_hash(&server.row.zone) == zone);
        let mut sample: Vec<&TrackedServer> = in_zone.collect();
        if sample.is_empty() {
            sample = usable().collect();
        }
        if sample.len() > most {
            sample.select_nth_unstable_by_key(most, |server| server.key);
            sample.truncate(most);
        }
        sample.sort_unstable_by_key(|server| server.key);
        sample.iter().map(|server| Arc::clone(&server.row.id)).collect()
    }

    /// Looks first at the servers of this part, as they are listed now.
    pub fn set_subset(&mut self, part: Option<&ServerSubset>) {
        self.subset = part.cloned();
        self.subset_indexes = part.and_then(|part| part.select_if_larger(&self.servers));
    }

    /// Forgets a server that belongs to another service now.
    pub fn remove_server(&mut self, id: &str) {
        self.retain_servers(|server| *server.row.id != *id);
    }

    fn retain_servers(&mut self, keep: impl Fn(&TrackedServer) -> bool) {
        let known = self.servers.len();
        self.servers.retain(keep);
        if self.servers.len() == known {
            return;
        }
        let ids = self.servers.iter().map(|server| Arc::clone(&server.row.id));
        self.index_by_id = ids.enumerate().map(|(place, id)| (id, place)).collect();
        self.subset_indexes =
            self.subset.as_ref().and_then(|part| part.select_if_larger(&self.servers));
    }

    /// The usual time of a request of this kind.
    #[must_use]
    pub fn typical_ms(&self, ask: &RequestSpec) -> f64 {
        self.service_times.typical_ms(&ask.route, ask.target_ms)
    }

    /// Requests that a server is given at a time.
    pub(super) fn slots_allowed(&self, server: &TrackedServer, now_us: u64) -> u32 {
        self.concurrency_limit.current_limit(server.row.slots, server.key, now_us)
    }

    /// Whether a server is no place any more for a request that was given a slot of it, the request
    /// counted in: it works much slower than when it was chosen, at `expected_ms`, or others sent it
    /// more than it is given at a time, of which nobody told, or it turned out cold and this instance
    /// has started all there that it may. `key` names the start that it is of; of another one nothing
    /// is said.
    #[must_use]
    pub fn is_worse(
        &self,
        id: &str,
        key: u32,
        ask: &RequestSpec,
        expected_ms: f64,
        now_us: u64,
    ) -> bool {
        let server = self.index_by_id.get(id).map(|place| &self.servers[*place]);
        let Some(server) = server.filter(|server| server.key == key) else {
            return false;
        };
        let usual_ms = self.typical_ms(ask);
        server.expected_ms(usual_ms, now_us) > expected_ms + RESELECT_SLOWDOWN_SHARE * usual_ms
            || server.occupancy(now_us) > self.slots_allowed(server, now_us)
            || server.start_limits.limit_exceeded(now_us)
    }

    /// Of the servers with room the one that is expected to answer first, if that is soon enough.
    ///
    /// The pace of a server when work begins holds for all of it, and shifts some times a second:
    /// waiting for another server is better than beginning on a slow one.
    pub(super) fn select_server(
        &self,
        ask: &RequestSpec,
        rooms: &[AvailableServer],
        place: SelectionCriteria<'_>,
        now_us: u64,
        random: &mut impl FnMut() -> f64,
    ) -> Option<usize> {
        let typical_ms = self.typical_ms(ask);
        let mut best: Option<(f64, usize)> = None;
        for room in rooms {
            let server = &self.servers[room.index];
            if ask.tried_servers.contains(&server.row.id) {
                continue;
            }
            let expected_ms = server.expected_ms(typical_ms, now_us);
            let counted_ms = if place.late {
                server.expected_service_ms(typical_ms, now_us)
            } else {
                expected_ms
            };
            if counted_ms > place.expected_max_ms {
                continue;
            }
            let crowded = f64::from(room.occupancy) / f64::from(server.row.slots);
            let mut cost_ms = expected_ms;
            cost_ms += typical_ms * (OCCUPANCY_COST_FACTOR * crowded + JITTER_FACTOR * random());
            if server.start_limits.own_limit_spent(now_us) {
                cost_ms += OVER_LIMIT_COST_FACTOR * typical_ms;
            }
            if *server.row.zone != *place.zone {
                cost_ms += CROSS_ZONE_COST_MS;
            }
            if !server.likely_connected(now_us) {
                cost_ms += NEW_CONNECTION_COST_MS;
            }
            if best.is_none_or(|(least, _)| cost_ms < least) {
                best = Some((cost_ms, room.index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// The least time in which any of the servers with room is expected to answer.
    pub(super) fn least_expected_ms(
        &self,
        ask: &RequestSpec,
        rooms: &[AvailableServer],
        now_us: u64,
    ) -> f64 {
        let typical_ms = self.typical_ms(ask);
        let expected = rooms.iter().map(|room| &self.servers[room.index]);
        let expected_ms = expected.map(|server| server.expected_ms(typical_ms, now_us));
        expected_ms.fold(f64::INFINITY, f64::min)
    }

    /// Takes a slot of the best server with room.
    pub fn acquire_slot(
        &mut self,
        ticket: u64,
        ask: &RequestSpec,
        zone: &str,
        now_us: u64,
        random: &mut impl FnMut() -> f64,
    ) -> Option<ServerChoice> {
        let late = !self.can_meet_target(ask, now_us);
        let place = SelectionCriteria {
            zone,
            expected_max_ms: self.expected_max_ms(ask, late, now_us),
            late,
        };
        let near = self.available_in_subset(now_us);
        let mut index = self.select_server(ask, &near, place, now_us, random);
        if index.is_none() && self.may_scan_all(now_us) {
            index = self.select_server(ask, &self.available_servers(now_us), place, now_us, random);
        }
        Some(self.start_request(index?, ticket, ask, now_us))
    }

    pub(super) fn start_request(
        &mut self,
        index: usize,
        ticket: u64,
        ask: &RequestSpec,
        now_us: u64,
    ) -> ServerChoice {
        let typical_ms = self.typical_ms(ask);
        let server = &mut self.servers[index];
        let expected_ms = server.expected_ms(typical_ms, now_us);
        server.record_start(ticket, now_us);
        ServerChoice {
            server: Arc::clone(&server.row.id),
            running: server.occupancy(now_us),
            expected_ms,
            slowdown_age_us: server.slowdown_age_us(now_us),
            cold: !server.is_warm(now_us),
            rate_limit: server.start_limits.rate_limit.current(),
            rate_limit_age_us: server.start_limits.rate_limit.age_us(now_us),
        }
    }

    /// Takes note of the end of a send.
    pub fn finish_request(
        &mut self,
        id: &str,
        ticket: u64,
        ask: &RequestSpec,
        end: SendOutcome,
        now_us: u64,
    ) {
        let Some(server) = self.server_mut(id) else {
            return;
        };
        let slots = server.row.slots;
        let Some(sent) = server.finish(ticket, end, now_us) else {
            return;
        };
        let full_part = server.saturated_share(&sent, now_us);
        // One that is still slow from its start says nothing of its slots.
        let warm = server.is_warm(now_us);
        #[expect(clippy::cast_precision_loss, reason = "a time of some milliseconds")]
        let took_ms = now_us.saturating_sub(sent.sent_at_us) as f64 / 1000.0;
        if matches!(end, SendOutcome::Answered | SendOutcome::TimedOut) {
            let nearly_full = sent.running + 1 >= slots;
            if warm {
                self.record_for_concurrency_limit(ask, slots, full_part, nearly_full, took_ms);
            }
        }
        if end != SendOutcome::Answered {
            return;
        }
        // At the pace of that server and moment it took so long; what is usual does not know of it.
        self.service_times.record(
            &ask.route,
            ask.target_ms,
            took_ms / sent.slowdown.max(f64::MIN_POSITIVE),
        );
        let mean_ms = if self.mean_ms == 0.0 { took_ms } else { self.mean_ms };
        self.mean_ms = mean_ms + 0.05 * (took_ms - mean_ms);
    }

    /// What was learned of the last slot of each server.
    #[must_use]
    pub const fn concurrency_limit(&self) -> &ConcurrencyLimit {
        &self.concurrency_limit
    }

    /// A request that timed out took at least so long; left out, the slowest would not count.
    fn record_for_concurrency_limit(
        &mut self,
        ask: &RequestSpec,
        slots: u32,
        full_part: f64,
        nearly_full: bool,
        took_ms: f64,
    ) {
        let unhindered_ms = self.unsaturated_times.typical_ms(&ask.route, ask.target_ms);
        self.concurrency_limit.record(
            slots,
            full_part,
            nearly_full,
            took_ms / unhindered_ms.max(1.0),
        );
        if ConcurrencyLimit::is_unsaturated(full_part) {
            self.unsaturated_times.record(&ask.route, ask.target_ms, took_ms);
        }
    }
}
