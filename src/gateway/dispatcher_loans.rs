//! Loans of the retry budget between instances.

use std::sync::Arc;

use super::dispatcher::Dispatcher;
use crate::clock::boot_us;
use crate::retry::RetryUsage;

/// Retries that this instance needs beyond its own budget for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryShortage {
    pub service: Arc<str>,
    pub wanted: u32,
    /// Use of the own budget.
    pub usage: RetryUsage,
}

/// Retries that this instance lends, and what it then has itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLoan {
    pub granted: u32,
    pub usage: RetryUsage,
}

impl Dispatcher {
    /// The services whose own budget denied last attempts since the last call.
    #[must_use]
    pub fn take_retry_shortages(&self) -> Vec<RetryShortage> {
        let allowance = self.own_retry_allowance();
        let now_us = boot_us();
        let mut shortages = Vec::new();
        for (service, pool) in &mut self.state.lock().pools {
            let wanted = pool.retry_budget.loans.take_wanted(now_us);
            if wanted > 0 {
                let usage = pool.retry_budget.usage(&allowance, now_us);
                shortages.push(RetryShortage { service: Arc::clone(service), wanted, usage });
            }
        }
        shortages
    }

    /// Lends up to `wanted` retries of a service's budget to another instance.
    #[must_use]
    pub fn lend_retries(&self, service: &str, wanted: u32) -> RetryLoan {
        let allowance = self.own_retry_allowance();
        let now_us = boot_us();
        let mut state = self.state.lock();
        let Some(pool) = state.pools.get_mut(service) else {
            return RetryLoan { granted: 0, usage: RetryUsage { allowed: 0.0, spent: 0 } };
        };
        let granted = pool.retry_budget.lend(&allowance, wanted, now_us);
        RetryLoan { granted, usage: pool.retry_budget.usage(&allowance, now_us) }
    }

    /// Adds retries that another instance lent on a question sent at `asked_us`, on the clock of
    /// [`boot_us`].
    pub fn add_borrowed_retries(&self, service: &str, retries: u32, asked_us: u64) {
        if let Some(pool) = self.state.lock().pools.get_mut(service) {
            let loans = &mut pool.retry_budget.loans;
            loans.add_borrowed(retries, self.retry_allowance.window_us, asked_us, boot_us());
        }
    }
}
