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

/// How long a request waits for a token, in milliseconds.
pub const TOKEN_WAIT_MS: u64 = 60;
/// Requests of a workspace that may wait for a token at one instance, whatever its rate.
const WAITING_MIN: f64 = 2.0;
/// Interval between two searches for buckets that are not in use.
const IDLE_CHECK_INTERVAL_US: u64 = 1_000_000;
/// Minimum retry-after time sent to callers.
const RETRY_AFTER_MIN_MS: f64 = 50.0;
/// Maximum retry-after time sent to callers.
const RETRY_AFTER_MAX_MS: f64 = 2_000.0;

/// No token is left at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfTokens {
    /// Time until the next token may be available.
    pub retry_after_ms: u64,
    /// Whether the request may wait for a token here. It counts as waiting until `Quotas::end_wait`.
    pub waits: bool,
}

/// A question to another instance for tokens of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenQuestion {
    /// Peer address of the lender.
    pub lender: SocketAddr,
    pub wanted: f64,
}

/// What an instance does next for the requests of a workspace that it has too few tokens for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BorrowRound {
    /// Whether the instance is short of tokens; if not, there is nothing more to do.
    pub short: bool,
    /// Whether a waiting request could take a token.
    pub has_token: bool,
    /// Questions to send now.
    pub questions: SmallVec<[TokenQuestion; 4]>,
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
    /// By name of the workspace; those not in use are dropped.
    buckets: HashMap<Arc<str>, QuotaBucket>,
    idle_checked_us: u64,
    /// Whether instances have held tokens before: later placements start with empty buckets, or
    /// those dropped and made anew would gain tokens.
    placed_before: bool,
}

impl State {
    /// Refills the bucket of a workspace, and returns it.
    fn refilled_bucket(
        &mut self,
        workspace: &Workspace,
        tolerance: &QuotaTolerance,
        now_us: u64,
    ) -> &mut QuotaBucket {
        let tokens_max = tolerance.tokens_max(workspace);
        let fraction = self.placement.own_fraction(&workspace.name, tokens_max);
        let tokens_per_s = tolerance.tokens_per_s(workspace);
        let limits = BucketLimits { fraction, tokens_per_s, tokens_max };
        let since_us = self.placement_changed_us;
        let initial =
            if self.placed_before { 0.0 } else { tolerance.initial_tokens(workspace) * fraction };
        let bucket = self
            .buckets
            .entry(Arc::clone(&workspace.name))
            .or_insert_with(|| QuotaBucket::new(initial, limits, since_us));
        bucket.refill(limits, now_us);
        bucket
    }

    fn drop_idle(&mut self, now_us: u64) {
        if now_us.saturating_sub(self.idle_checked_us) < IDLE_CHECK_INTERVAL_US {
            return;
        }
        self.idle_checked_us = now_us;
        self.buckets.retain(|_, bucket| !bucket.is_idle(now_us));
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

    /// Sets which instances hold tokens, and drops buckets that are not in use.
    pub fn set_placement(&self, placement: QuotaPlacement, now_us: u64) {
        let mut state = self.state.lock();
        state.drop_idle(now_us);
        if state.placement != placement {
            state.placed_before |= !state.placement.homes.is_empty();
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
    /// If there is none at this instance: whether the request may wait for one, and when the next
    /// may be available.
    pub fn take(&self, workspace: &Workspace, now_us: u64) -> Result<(), OutOfTokens> {
        let mut state = self.state.lock();
        let bucket = state.refilled_bucket(workspace, &self.tolerance, now_us);
        bucket.record_demand(now_us);
        if bucket.take(now_us) {
            return Ok(());
        }
        let next_ms = bucket.next_token_ms().unwrap_or(RETRY_AFTER_MIN_MS);
        let waits = f64::from(bucket.waiting) < waiting_max(&self.tolerance, workspace);
        bucket.waiting += u32::from(waits);
        Err(OutOfTokens { retry_after_ms: bounded_retry_after_ms(next_ms), waits })
    }

    /// Takes a token for a request that waits; whether there was one.
    pub fn take_waiting(&self, workspace: &Workspace, now_us: u64) -> bool {
        let mut state = self.state.lock();
        state.refilled_bucket(workspace, &self.tolerance, now_us).take(now_us)
    }

    /// A request waits no longer, with or without a token.
    pub fn end_wait(&self, workspace: &Workspace) {
        if let Some(bucket) = self.state.lock().buckets.get_mut(&workspace.name) {
            bucket.waiting = bucket.waiting.saturating_sub(1);
        }
    }

    /// Returns the token of a request that did not run.
    pub fn refund(&self, workspace: &Workspace, now_us: u64) {
        if let Some(bucket) = self.state.lock().buckets.get_mut(&workspace.name) {
            bucket.add_borrowed(1.0, now_us);
        }
    }

    /// Whom to ask for tokens of a workspace now. To be called at a steady pace while the instance
    /// is short of them, not for each request.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a few lenders, never negative"
    )]
    pub fn borrow_round(&self, workspace: &Workspace, now_us: u64) -> BorrowRound {
        let mut state = self.state.lock();
        let tokens_max = self.tolerance.tokens_max(workspace);
        let lenders = state.placement.lenders(&workspace.name, tokens_max);
        let bucket = state.refilled_bucket(workspace, &self.tolerance, now_us);
        if !bucket.is_short(now_us) {
            return BorrowRound::default();
        }
        let missing = bucket.missing(now_us);
        let mut due = bucket.lenders.due(&lenders, now_us);
        due.truncate(missing as usize);
        let wanted = (missing / due.len() as f64).ceil();
        for lender in &due {
            bucket.lenders.record_question(*lender, now_us);
        }
        let questions = due.into_iter().map(|lender| TokenQuestion { lender, wanted }).collect();
        BorrowRound { short: true, has_token: bucket.has_token(), questions }
    }

    /// Adds the tokens that a lender gave; 0 if it had none or did not answer.
    pub fn record_answer(
        &self,
        workspace: &Workspace,
        lender: SocketAddr,
        tokens: f64,
        now_us: u64,
    ) {
        let mut state = self.state.lock();
        let bucket = state.refilled_bucket(workspace, &self.tolerance, now_us);
        bucket.lenders.record_answer(lender, tokens);
        bucket.add_borrowed(tokens, now_us);
    }

    /// Removes up to `wanted` tokens for another instance to use, and returns how many.
    pub fn lend(&self, workspace: &Workspace, wanted: f64, now_us: u64) -> f64 {
        let mut state = self.state.lock();
        state.refilled_bucket(workspace, &self.tolerance, now_us).lend(wanted, now_us)
    }

    /// Number of workspaces whose tokens are counted here.
    #[must_use]
    pub fn bucket_count(&self) -> usize {
        self.state.lock().buckets.len()
    }
}

/// Requests of a workspace that may wait at one instance: as many as the whole fleet may serve in
/// that time.
#[expect(clippy::cast_precision_loss, reason = "a few milliseconds")]
fn waiting_max(tolerance: &QuotaTolerance, workspace: &Workspace) -> f64 {
    let wait_s = TOKEN_WAIT_MS as f64 / 1000.0;
    tolerance.tokens_per_s(workspace).mul_add(wait_s, WAITING_MIN)
}
