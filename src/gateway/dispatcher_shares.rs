//! This instance's parts of what all instances share: the budget of repeats, and the connections
//! that backend servers accept.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::ServiceConfig;
use super::dispatcher::Dispatcher;
use super::dispatcher::DispatcherState;
use crate::balance::RetryAllowance;
use crate::balance::RetryNeed;
use crate::balance::ServerSubset;
use crate::clock::now_us;
use crate::cold::ColdRule;
use crate::starts::HomeShare;

/// This instance's part of the connections that a server accepts; it needs one at least.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a whole number"
)]
fn connection_share(rule: &ServiceConfig, part: f64) -> u32 {
    (f64::from(rule.connections_max) * part).max(1.0) as u32
}

impl DispatcherState {
    /// Tells the pool of a service what holds for its servers in need, and who shares that.
    pub(super) fn update_start_limits(&mut self, service: &Arc<str>) {
        let rule = self.cold_policies.get(service).copied().unwrap_or_default();
        let pool = self.pools.entry(Arc::clone(service)).or_default();
        pool.set_start_limits(rule, &self.home_set);
    }

    fn update_all_start_limits(&mut self) {
        let services: Vec<Arc<str>> = self.pools.keys().cloned().collect();
        for service in services {
            self.update_start_limits(&service);
        }
    }
}

impl Dispatcher {
    /// Counts a request of a caller, on which the budget of repeats depends.
    pub fn count_request(&self, service: &Arc<str>) {
        let mut state = self.state.lock();
        let pool = state.pools.entry(Arc::clone(service)).or_default();
        pool.retry_budget.record_request(&self.retry_allowance, now_us());
    }

    /// Divides the slack of the repeat budget among so many homes, and the slots of all servers if
    /// this instance is one of them.
    #[expect(clippy::cast_precision_loss, reason = "some homes")]
    pub fn set_home_count(&self, homes: usize, own: bool) {
        let homes = homes.max(1);
        self.budget_sharers.store(homes, Ordering::Release);
        let fair_share = if own { 1.0 / homes as f64 } else { 0.0 };
        for pool in self.state.lock().pools.values_mut() {
            pool.fair_share = fair_share;
        }
    }

    /// Looks first at the servers of this part, as they are listed now.
    pub fn set_subset(&self, part: Option<&ServerSubset>) {
        for pool in self.state.lock().pools.values_mut() {
            pool.set_subset(part);
        }
    }

    /// Keeps to a part of the connections that each server of these services accepts.
    pub fn set_connection_share(&self, services: &HashMap<Arc<str>, ServiceConfig>, part: f64) {
        let mut state = self.state.lock();
        let DispatcherState { pools, servers, .. } = &mut *state;
        let own_max = |service: &str| {
            services.get(service).map_or(u32::MAX, |rule| connection_share(rule, part))
        };
        for (service, pool) in pools.iter_mut() {
            // One is left for health checks.
            let for_requests = own_max(service).saturating_sub(1).max(1);
            pool.own_in_flight_max = usize::try_from(for_requests).unwrap_or(usize::MAX);
        }
        for server in servers.values() {
            server.conns.set_open_max(own_max(&server.row.service));
        }
    }

    /// Takes over what holds for the cold servers of each service.
    pub fn set_cold_policies(&self, rules: HashMap<Arc<str>, ColdRule>) {
        let mut state = self.state.lock();
        state.cold_policies = rules;
        state.update_all_start_limits();
    }

    /// Keeps to a part of what servers in need may get.
    pub fn set_home_set(&self, share: HomeShare) {
        let mut state = self.state.lock();
        if *state.home_set != share {
            state.home_set = Arc::new(share);
            state.update_all_start_limits();
        }
    }

    /// What this instance may repeat.
    #[expect(clippy::cast_precision_loss, reason = "a few homes")]
    fn own_retry_allowance(&self) -> RetryAllowance {
        let sharers = self.budget_sharers.load(Ordering::Acquire) as f64;
        RetryAllowance { slack: self.retry_allowance.slack / sharers, ..self.retry_allowance }
    }

    /// Slots of all servers of these services together. An entry may name a service that nobody
    /// declared; its server gets no requests.
    #[must_use]
    pub fn total_slots(&self, services: &HashMap<Arc<str>, ServiceConfig>) -> u32 {
        let state = self.state.lock();
        let declared = state.pools.iter().filter(|(service, _)| services.contains_key(*service));
        let tracks = declared.flat_map(|(_, pool)| &pool.servers);
        let tracks = tracks.filter(|track| track.owns_address());
        tracks.map(|track| track.row.slots).sum()
    }

    /// Takes one repeat out of the budget of the service.
    #[must_use]
    pub fn spend_retry(&self, service: &str, need: RetryNeed) -> bool {
        let mut state = self.state.lock();
        let allowance = self.own_retry_allowance();
        let pool = state.pools.get_mut(service);
        pool.is_some_and(|pool| pool.retry_budget.try_spend(&allowance, need, now_us()))
    }
}
