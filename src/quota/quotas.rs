//! Token buckets of all workspaces at one instance; no I/O.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use smallvec::SmallVec;

use super::QuotaPlacement;
use super::QuotaTolerance;
use super::quota_bucket::BucketLimits;
use super::quota_bucket::QuotaBucket;
use crate::workspace::Workspace;

/// Seconds of a workspace's rate that are borrowed at once: enough to save calls to lenders, and
/// few enough that little lies idle here.
const BORROW_SPAN_S: f64 = 0.2;
/// Time without borrowing after all lenders had no tokens, or none to spare.
const NO_LENDER_BACKOFF_US: u64 = 100_000;
/// Minimum retry-after time sent to callers.
const RETRY_AFTER_MIN_MS: f64 = 50.0;
/// Maximum retry-after time sent to callers.
const RETRY_AFTER_MAX_MS: f64 = 2_000.0;

/// No token is left at this instance.
#[derive(Clone, Debug, PartialEq)]
pub struct OutOfTokens {
    /// Time until the next token may be available.
    pub retry_after_ms: u64,
    /// Peer addresses of instances that may lend tokens; empty for a while after none had any.
    pub lenders: SmallVec<[SocketAddr; 2]>,
    /// Number of tokens to borrow.
    pub tokens_wanted: f64,
}

/// Token buckets of all workspaces at this instance.
#[derive(Debug)]
pub struct Quotas {
    tolerance: QuotaTolerance,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    placement: QuotaPlacement,
    /// When the placement last changed.
    placement_changed_us: u64,
    /// By name of the workspace.
    buckets: HashMap<Arc<str>, QuotaBucket>,
}

impl State {
    /// Refills the bucket of a workspace; returns it with its limits.
    fn refilled_bucket(
        &mut self,
        workspace: &Workspace,
        tolerance: &QuotaTolerance,
        now_us: u64,
    ) -> (&mut QuotaBucket, BucketLimits) {
        let tokens_max = tolerance.tokens_max(workspace);
        let fraction = self.placement.own_fraction(&workspace.name, tokens_max);
        let tokens_per_s = tolerance.tokens_per_s(workspace);
        let limits = BucketLimits { fraction, tokens_per_s, tokens_max };
        let since_us = self.placement_changed_us;
        let bucket = self.buckets.entry(Arc::clone(&workspace.name)).or_insert_with(|| {
            QuotaBucket::new(tolerance.initial_tokens(workspace) * fraction, fraction, since_us)
        });
        bucket.refill(limits, now_us);
        (bucket, limits)
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded milliseconds")]
fn bounded_retry_after_ms(ms: f64) -> u64 {
    ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS) as u64
}

impl Quotas {
    /// Starts without tokens; there are none until a placement is set.
    #[must_use]
    pub fn new(tolerance: QuotaTolerance) -> Self {
        Self { tolerance, state: Mutex::default() }
    }

    /// Sets which instances hold tokens.
    pub fn set_placement(&self, placement: QuotaPlacement, now_us: u64) {
        let mut state = self.state.lock();
        if state.placement != placement {
            state.placement = placement;
            state.placement_changed_us = now_us;
        }
    }

    /// Whether it is known which instances hold tokens.
    #[must_use]
    pub fn placement_known(&self) -> bool {
        !self.state.lock().placement.homes.is_empty()
    }

    /// Takes a token for a request of a workspace.
    ///
    /// # Errors
    /// If there is none at this instance: who may lend one, and when the next may be available.
    pub fn take(&self, workspace: &Workspace, now_us: u64) -> Result<(), OutOfTokens> {
        let mut state = self.state.lock();
        let (bucket, limits) = state.refilled_bucket(workspace, &self.tolerance, now_us);
        if bucket.take() {
            return Ok(());
        }
        let next_ms = bucket.next_token_ms(limits).unwrap_or(RETRY_AFTER_MIN_MS);
        let backing_off = now_us < bucket.no_lender_until_us;
        let lenders = if backing_off {
            SmallVec::new()
        } else {
            state.placement.lenders(&workspace.name, limits.tokens_max)
        };
        let own_max = limits.tokens_max * limits.fraction;
        let tokens_wanted = (limits.tokens_per_s * BORROW_SPAN_S).min(own_max).max(1.0);
        Err(OutOfTokens { retry_after_ms: bounded_retry_after_ms(next_ms), lenders, tokens_wanted })
    }

    /// Returns the token of a request that did not run.
    pub fn refund(&self, workspace: &Workspace) {
        if let Some(bucket) = self.state.lock().buckets.get_mut(&workspace.name) {
            bucket.add(1.0);
        }
    }

    /// Removes up to `wanted` tokens for another instance to use, and returns how many.
    pub fn lend(&self, workspace: &Workspace, wanted: f64, now_us: u64) -> f64 {
        let mut state = self.state.lock();
        let (bucket, _) = state.refilled_bucket(workspace, &self.tolerance, now_us);
        bucket.lend(wanted)
    }

    /// Adds tokens that another instance lent.
    pub fn add_borrowed(&self, workspace: &Workspace, tokens: f64, now_us: u64) {
        let mut state = self.state.lock();
        let (bucket, _) = state.refilled_bucket(workspace, &self.tolerance, now_us);
        bucket.add(tokens);
    }

    /// Records that none of the lenders had tokens to spare.
    pub fn record_no_lender(&self, workspace: &Workspace, now_us: u64) {
        if let Some(bucket) = self.state.lock().buckets.get_mut(&workspace.name) {
            bucket.no_lender_until_us = now_us + NO_LENDER_BACKOFF_US;
        }
    }
}
