//! This instance's shares of limits that apply to all instances together: the retry budget and the
//! connections that backend servers accept.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::ServiceConfig;
use super::dispatcher::Dispatcher;
use super::dispatcher::DispatcherState;
use crate::balance::ServerSubset;
use crate::clock::boot_us;
use crate::cold::ColdPolicy;
use crate::retry::RetryAllowance;
use crate::retry::RetryDenial;
use crate::retry::RetryRank;
use crate::starts::HomeSet;

/// This instance's share of the connections that a server accepts; at least one.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of an integer"
)]
fn own_connections_max(config: &ServiceConfig, share: f64) -> u32 {
    (f64::from(config.connections_max) * share).max(1.0) as u32
}

impl DispatcherState {
    /// Passes the limits for servers that warm up or recover, and this instance's share of them, to
    /// the pool of a service.
    pub(super) fn update_start_limits(&mut self, service: &Arc<str>) {
        let policy = self.cold_policies.get(service).copied().unwrap_or_default();
        let pool = self.pools.entry(Arc::clone(service)).or_default();
        pool.set_start_limits(policy, &self.home_set);
    }

    fn update_all_start_limits(&mut self) {
        let services: Vec<Arc<str>> = self.pools.keys().cloned().collect();
        for service in services {
            self.update_start_limits(&service);
        }
    }
}

impl Dispatcher {
    /// Counts a caller's request, which adds to the retry budget.
    pub fn count_request(&self, service: &Arc<str>) {
        let mut state = self.state.lock();
        let pool = state.pools.entry(Arc::clone(service)).or_default();
        pool.retry_budget.record_request(&self.retry_allowance, boot_us());
    }

    /// Divides the slack of the retry budget among the homes and the other instances, and the slots
    /// of all servers among the homes.
    #[expect(clippy::cast_precision_loss, reason = "a small number of homes")]
    pub fn set_instance_counts(&self, homes: usize, others: usize, is_home: bool) {
        let homes = homes.max(1);
        let slack_share = RetryAllowance::slack_share(homes, others, is_home);
        self.retry_slack_share.store(slack_share.to_bits(), Ordering::Release);
        let fair_share = if is_home { 1.0 / homes as f64 } else { 0.0 };
        for pool in self.state.lock().pools.values_mut() {
            pool.fair_share = fair_share;
        }
    }

    /// Leaves this instance without a part of the slack of the retry budget until the homes are
    /// known: if hundreds start at once, each would take itself for the only one.
    pub fn withhold_retry_slack(&self) {
        self.retry_slack_share.store(0.0_f64.to_bits(), Ordering::Release);
    }

    /// Makes each pool prefer the servers of this subset, as currently listed.
    pub fn set_subset(&self, subset: Option<&ServerSubset>) {
        for pool in self.state.lock().pools.values_mut() {
            pool.set_subset(subset);
        }
    }

    /// Limits this instance to its share of the connections that each server of these services
    /// accepts.
    pub fn set_connection_share(&self, services: &HashMap<Arc<str>, ServiceConfig>, share: f64) {
        let mut state = self.state.lock();
        let DispatcherState { pools, servers, .. } = &mut *state;
        let own_max = |service: &str| {
            services.get(service).map_or(u32::MAX, |config| own_connections_max(config, share))
        };
        for (service, pool) in pools.iter_mut() {
            // One connection is reserved for health checks.
            let for_requests = own_max(service).saturating_sub(1).max(1);
            pool.own_in_flight_max = usize::try_from(for_requests).unwrap_or(usize::MAX);
        }
        for server in servers.values() {
            server.conns.set_open_max(own_max(&server.row.service));
        }
    }

    /// Replaces the limits for servers that warm up, by service.
    pub fn set_cold_policies(&self, policies: HashMap<Arc<str>, ColdPolicy>) {
        let mut state = self.state.lock();
        state.cold_policies = policies;
        state.update_all_start_limits();
    }

    /// Sets the homes that share the limits for servers that warm up or recover.
    pub fn set_home_set(&self, home_set: HomeSet) {
        let mut state = self.state.lock();
        if *state.home_set != home_set {
            state.home_set = Arc::new(home_set);
            state.update_all_start_limits();
        }
    }

    /// This instance's share of the retry budget.
    pub(super) fn own_retry_allowance(&self) -> RetryAllowance {
        let share = f64::from_bits(self.retry_slack_share.load(Ordering::Acquire));
        RetryAllowance {
            slack_retries: self.retry_allowance.slack_retries * share,
            ..self.retry_allowance
        }
    }

    /// Total slots of all servers of these services. An entry may name an undeclared service, whose
    /// servers receive no requests.
    #[must_use]
    pub fn total_slots(&self, services: &HashMap<Arc<str>, ServiceConfig>) -> u32 {
        let state = self.state.lock();
        let declared = state.pools.iter().filter(|(service, _)| services.contains_key(*service));
        let servers = declared.flat_map(|(_, pool)| &pool.servers);
        let servers = servers.filter(|tracked| tracked.owns_address());
        servers.map(|tracked| tracked.row.slots).sum()
    }

    /// Sets which part of the refused callers come back.
    pub fn set_return_share(&self, share: f64) {
        self.return_share.store(share.to_bits(), Ordering::Release);
    }

    /// Records, for the retry budget, a response of a service's server, and whether it was a
    /// refusal.
    pub fn record_response(&self, service: &str, refused: bool) {
        if let Some(pool) = self.state.lock().pools.get_mut(service) {
            pool.retry_budget.record_send(refused, boot_us());
        }
    }

    /// Takes one retry from the budget of a service.
    ///
    /// # Errors
    /// If none is left for requests of this rank.
    pub fn spend_retry(&self, service: &Arc<str>, rank: RetryRank) -> Result<(), RetryDenial> {
        let mut state = self.state.lock();
        let allowance = self.own_retry_allowance();
        let pool = state.pools.entry(Arc::clone(service)).or_default();
        pool.retry_budget
            .set_return_share(f64::from_bits(self.return_share.load(Ordering::Acquire)));
        pool.retry_budget.try_spend(&allowance, rank, boot_us())
    }
}
