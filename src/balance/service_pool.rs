//! The backend servers of one service, and the requests queued for them.

use std::collections::HashMap;
use std::sync::Arc;

use super::ConcurrencyLimit;
use super::RequestSpec;
use super::SendOutcome;
use super::ServerChoice;
use super::ServerSubset;
use super::ServiceTimes;
use super::TrackedServer;
use super::available_server::AvailableServer;
use super::service_queue::QueuedRequest;
use crate::cold::ColdPolicy;
use crate::model::ServerRow;
use crate::model::ServerState;
use crate::peer::zone_hash;
use crate::retry::RetryBudget;
use crate::starts::HomeSet;

/// Added cost of a server in another zone: traffic between zones costs money, and the route is
/// longer. 90 ms is about a third of the usual service time.
const CROSS_ZONE_COST_MS: f64 = 90.0;
/// Added cost of a new connection beyond its handshake: servers limit their connections, and
/// opening one occupies a slot for a moment. A third of the cost of another zone.
const NEW_CONNECTION_COST_MS: f64 = 30.0;
/// Added cost of a server with all slots in use, as a fraction of the usual service time;
/// proportionally less for fewer slots in use. Spreads requests over servers that are otherwise
/// alike.
const OCCUPANCY_COST_FACTOR: f64 = 0.3;
/// Random cost as a fraction of the usual service time, so that instances with the same information
/// do not all select the same server.
const JITTER_FACTOR: f64 = 0.05;
/// Added cost of exceeding a server's rate limit, as a fraction of the usual service time: servers
/// without a limit are preferred, even in other zones.
const OVER_LIMIT_COST_FACTOR: f64 = 1.0;
/// Another server is selected if the expected time has grown by more than this fraction of the
/// usual service time since the selection.
const RESELECT_SLOWDOWN_SHARE: f64 = 0.7;

/// Criteria for selecting a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectionCriteria<'a> {
    /// The zone of this instance.
    pub(super) zone: &'a str,
    /// Only servers that are expected to answer within this time are considered.
    pub(super) expected_max_ms: f64,
    /// The request will miss its latency target. Failures and health are then ignored, as starting
    /// on a bad server is better than not starting at all.
    pub(super) late: bool,
}

/// Servers, queue and statistics of one service.
#[derive(Debug)]
pub struct ServicePool {
    /// Servers that are listed or still in use.
    pub servers: Vec<TrackedServer>,
    /// Index in `servers` by server ID.
    index_by_id: HashMap<Arc<str>, usize>,
    pub retry_budget: RetryBudget,
    /// Maximum requests of this instance on each server, given by the connections that it accepts;
    /// 0 if unknown.
    pub own_in_flight_max: usize,
    /// This instance's equal fraction of the slots: 1 divided by the number of homes.
    pub fair_share: f64,
    /// Most urgent first.
    pub(super) queue: Vec<QueuedRequest>,
    /// Start tag of the last request dispatched from the queue.
    pub(super) virtual_time_ms: f64,
    pub(super) concurrency_limit: ConcurrencyLimit,
    service_times: ServiceTimes,
    /// Service times of requests that had a free slot beside them for nearly all of their time. The
    /// usual times rise with load, so a slowdown of all requests would not show against them.
    unsaturated_times: ServiceTimes,
    /// Moving mean of the service time of all requests, in milliseconds; 0 before the first sample.
    pub(super) mean_service_ms: f64,
    cold_policy: ColdPolicy,
    home_set: Arc<HomeSet>,
    /// The partition that this instance prefers; `None` if it prefers none.
    subset: Option<ServerSubset>,
    /// Indexes in `servers` of the preferred servers; `None` if all servers are considered.
    pub(super) subset_indexes: Option<Vec<usize>>,
    /// No full scan of the servers before this time.
    pub(super) next_full_scan_us: u64,
}

impl Default for ServicePool {
    /// An empty pool of an instance without peers.
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
            mean_service_ms: 0.0,
            cold_policy: ColdPolicy::default(),
            home_set: Arc::default(),
            subset: None,
            subset_indexes: None,
            next_full_scan_us: 0,
        }
    }
}

impl ServicePool {
    /// The server with this ID.
    #[must_use]
    pub fn server_mut(&mut self, id: &str) -> Option<&mut TrackedServer> {
        self.servers.get_mut(*self.index_by_id.get(id)?)
    }

    /// Adds or updates a server, and returns its state. The state of an earlier start is not
    /// carried over to a new one.
    pub fn upsert_server(&mut self, row: ServerRow, now_us: u64) -> &mut TrackedServer {
        let index = self.index_by_id.get(&row.id).copied().unwrap_or(self.servers.len());
        match self.servers.get_mut(index) {
            Some(server) if server.row.is_same_start(&row) => server.relist(row, now_us),
            Some(_) => self.servers[index] = self.new_tracked_server(row, now_us),
            None => {
                self.index_by_id.insert(Arc::clone(&row.id), index);
                self.servers.push(self.new_tracked_server(row, now_us));
            }
        }
        &mut self.servers[index]
    }

    fn new_tracked_server(&self, row: ServerRow, now_us: u64) -> TrackedServer {
        let mut server = TrackedServer::new(row, now_us);
        server
            .start_limits
            .set_share(self.home_set.start_share(server.key), self.cold_policy.limit.as_ref());
        server
    }

    /// Sets the limits for cold servers, and the homes that share limited servers.
    pub fn set_start_limits(&mut self, policy: ColdPolicy, homes: &Arc<HomeSet>) {
        self.cold_policy = policy;
        self.home_set = Arc::clone(homes);
        for server in &mut self.servers {
            server.start_limits.set_share(homes.start_share(server.key), policy.limit.as_ref());
        }
    }

    /// Ends the evacuation of a zone; returns the number of its servers.
    pub fn readmit_zone(&mut self, zone: &str, now_us: u64) -> usize {
        let of_zone = self.servers.iter_mut().filter(|server| *server.row.zone == *zone);
        let readmitted = of_zone.map(|server| server.readmit(self.cold_policy.warmup_us, now_us));
        readmitted.count()
    }

    /// Removes servers that are neither listed nor in use.
    pub fn remove_unlisted(&mut self, now_us: u64) {
        self.retain_servers(|server| server.listed(now_us) || !server.idle());
    }

    /// IDs of up to `servers_max` usable servers, from the zone with this hash if it has any. The
    /// selection is stable while other servers come and go.
    #[must_use]
    pub fn usable_server_ids(
        &self,
        wanted_zone_hash: u64,
        servers_max: usize,
        now_us: u64,
    ) -> Vec<Arc<str>> {
        let usable = |server: &&TrackedServer| {
            server.row.state == ServerState::Ready && server.in_service(now_us)
        };
        let usable = || self.servers.iter().filter(usable);
        let in_zone = usable().filter(|server| zone_hash(&server.row.zone) == wanted_zone_hash);
        let mut sample: Vec<&TrackedServer> = in_zone.collect();
        if sample.is_empty() {
            sample = usable().collect();
        }
        if sample.len() > servers_max {
            sample.select_nth_unstable_by_key(servers_max, |server| server.key);
            sample.truncate(servers_max);
        }
        sample.sort_unstable_by_key(|server| server.key);
        sample.iter().map(|server| Arc::clone(&server.row.id)).collect()
    }

    /// Sets the preferred partition, and selects from the servers listed now.
    pub fn set_subset(&mut self, subset: Option<&ServerSubset>) {
        self.subset = subset.cloned();
        self.subset_indexes = subset.and_then(|subset| subset.select_if_larger(&self.servers));
    }

    /// Removes a server that moved to another service.
    pub fn remove_server(&mut self, id: &str) {
        self.retain_servers(|server| *server.row.id != *id);
    }

    fn retain_servers(&mut self, keep: impl Fn(&TrackedServer) -> bool) {
        let count_before = self.servers.len();
        self.servers.retain(keep);
        if self.servers.len() == count_before {
            return;
        }
        let ids = self.servers.iter().map(|server| Arc::clone(&server.row.id));
        self.index_by_id = ids.enumerate().map(|(index, id)| (id, index)).collect();
        self.subset_indexes =
            self.subset.as_ref().and_then(|subset| subset.select_if_larger(&self.servers));
    }

    /// The usual service time of such a request, in milliseconds.
    #[must_use]
    pub fn typical_ms(&self, spec: &RequestSpec) -> f64 {
        self.service_times.typical_ms(&spec.route, spec.target_ms)
    }

    /// Concurrent requests allowed on a server now.
    pub(super) fn slots_allowed(&self, server: &TrackedServer, now_us: u64) -> u32 {
        self.concurrency_limit.current_limit(server.row.slots, server.key, now_us)
    }

    /// Whether a server is no longer suitable for a request that holds one of its slots. That is so
    /// if it is expected to take much longer than `expected_ms`, the expectation at selection; if
    /// it has more requests than allowed, since other instances sent some unannounced; or if this
    /// instance has exceeded its start limits there, since the server turned out cold, advertised a
    /// rate limit or asked for a cooldown. `key` names the start of the server; for another start
    /// the answer is `false`.
    #[must_use]
    pub fn is_worse(
        &self,
        id: &str,
        key: u32,
        spec: &RequestSpec,
        expected_ms: f64,
        now_us: u64,
    ) -> bool {
        let server = self.index_by_id.get(id).map(|index| &self.servers[*index]);
        let Some(server) = server.filter(|server| server.key == key) else {
            return false;
        };
        let typical_ms = self.typical_ms(spec);
        server.expected_ms(typical_ms, now_us) > expected_ms + RESELECT_SLOWDOWN_SHARE * typical_ms
            || server.occupancy(now_us) > self.slots_allowed(server, now_us)
            || server.start_limits.limit_exceeded(now_us)
    }

    /// The available server with the lowest cost among those expected to answer within the allowed
    /// time.
    ///
    /// A request runs at the slowdown that its server has at the start, and slowdowns change
    /// several times per second. So waiting for another server is better than starting on a slow
    /// one.
    pub(super) fn select_server(
        &self,
        spec: &RequestSpec,
        available: &[AvailableServer],
        criteria: SelectionCriteria<'_>,
        now_us: u64,
        random: &mut impl FnMut() -> f64,
    ) -> Option<usize> {
        let typical_ms = self.typical_ms(spec);
        let mut best: Option<(f64, usize)> = None;
        for candidate in available {
            let server = &self.servers[candidate.index];
            if spec.tried_servers.contains(&server.row.id) {
                continue;
            }
            let expected_ms = server.expected_ms(typical_ms, now_us);
            let counted_ms = if criteria.late {
                server.expected_service_ms(typical_ms, now_us)
            } else {
                expected_ms
            };
            if counted_ms > criteria.expected_max_ms {
                continue;
            }
            let occupied_share = f64::from(candidate.occupancy) / f64::from(server.row.slots);
            let mut cost_ms = expected_ms;
            cost_ms +=
                typical_ms * (OCCUPANCY_COST_FACTOR * occupied_share + JITTER_FACTOR * random());
            if server.start_limits.own_limit_spent(now_us) {
                cost_ms += OVER_LIMIT_COST_FACTOR * typical_ms;
            }
            if *server.row.zone != *criteria.zone {
                cost_ms += CROSS_ZONE_COST_MS;
            }
            if !server.likely_connected(now_us) {
                cost_ms += NEW_CONNECTION_COST_MS;
            }
            if best.is_none_or(|(least, _)| cost_ms < least) {
                best = Some((cost_ms, candidate.index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// The shortest expected time over the available servers, in milliseconds.
    pub(super) fn least_expected_ms(
        &self,
        spec: &RequestSpec,
        available: &[AvailableServer],
        now_us: u64,
    ) -> f64 {
        let typical_ms = self.typical_ms(spec);
        let expected = available.iter().map(|candidate| &self.servers[candidate.index]);
        let expected_ms = expected.map(|server| server.expected_ms(typical_ms, now_us));
        expected_ms.fold(f64::INFINITY, f64::min)
    }

    /// Acquires a slot of the best available server.
    pub fn acquire_slot(
        &mut self,
        ticket: u64,
        spec: &RequestSpec,
        zone: &str,
        now_us: u64,
        random: &mut impl FnMut() -> f64,
    ) -> Option<ServerChoice> {
        let late = !self.can_meet_target(spec, now_us);
        let criteria = SelectionCriteria {
            zone,
            expected_max_ms: self.expected_max_ms(spec, late, now_us),
            late,
        };
        let preferred = self.available_in_subset(now_us);
        let mut index = self.select_server(spec, &preferred, criteria, now_us, random);
        if index.is_none() && self.may_scan_all(now_us) {
            index =
                self.select_server(spec, &self.available_servers(now_us), criteria, now_us, random);
        }
        Some(self.start_request(index?, ticket, spec, now_us))
    }

    pub(super) fn start_request(
        &mut self,
        index: usize,
        ticket: u64,
        spec: &RequestSpec,
        now_us: u64,
    ) -> ServerChoice {
        let typical_ms = self.typical_ms(spec);
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

    /// Records the end of a send.
    pub fn finish_request(
        &mut self,
        id: &str,
        ticket: u64,
        spec: &RequestSpec,
        outcome: SendOutcome,
        now_us: u64,
    ) {
        let Some(server) = self.server_mut(id) else {
            return;
        };
        let slots = server.row.slots;
        let Some(sent) = server.finish(ticket, outcome, now_us) else {
            return;
        };
        let saturated_share = server.saturated_share(&sent, now_us);
        // A server that is still warming up says nothing about its slots.
        let warm = server.is_warm(now_us);
        #[expect(clippy::cast_precision_loss, reason = "a time of some milliseconds")]
        let took_ms = now_us.saturating_sub(sent.sent_at_us) as f64 / 1000.0;
        if matches!(outcome, SendOutcome::Answered | SendOutcome::TimedOut) {
            let nearly_full = sent.running + 1 >= slots;
            if warm {
                self.record_for_concurrency_limit(
                    spec,
                    slots,
                    saturated_share,
                    nearly_full,
                    took_ms,
                );
            }
        }
        if outcome != SendOutcome::Answered {
            return;
        }
        // Normalized by the slowdown at the start, as the usual time does not include it.
        self.service_times.record(
            &spec.route,
            spec.target_ms,
            took_ms / sent.slowdown.max(f64::MIN_POSITIVE),
        );
        let mean_ms = if self.mean_service_ms == 0.0 { took_ms } else { self.mean_service_ms };
        self.mean_service_ms = mean_ms + 0.05 * (took_ms - mean_ms);
    }

    /// What was learned about the last slot of the servers.
    #[must_use]
    pub const fn concurrency_limit(&self) -> &ConcurrencyLimit {
        &self.concurrency_limit
    }

    /// Adds a sample to the concurrency limit. Timeouts count with the time they lasted: without
    /// them the slowest requests would be missing.
    fn record_for_concurrency_limit(
        &mut self,
        spec: &RequestSpec,
        slots: u32,
        saturated_share: f64,
        nearly_full: bool,
        took_ms: f64,
    ) {
        let unsaturated_ms = self.unsaturated_times.typical_ms(&spec.route, spec.target_ms);
        self.concurrency_limit.record(
            slots,
            saturated_share,
            nearly_full,
            took_ms / unsaturated_ms.max(1.0),
        );
        if ConcurrencyLimit::is_unsaturated(saturated_share) {
            self.unsaturated_times.record(&spec.route, spec.target_ms, took_ms);
        }
    }
}
