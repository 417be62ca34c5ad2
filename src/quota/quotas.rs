//! The tokens of all workspaces at one instance; no I/O.

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

/// Tokens that are borrowed at once, as time of their rate: fewer questions, and little that lies idle here.
const BORROW_SPAN_S: f64 = 0.2;
/// Pause after all who hold tokens had none, or none to spare.
const NO_LENDER_BACKOFF_US: u64 = 100_000;
/// Bounds of the time told to refused callers.
const RETRY_AFTER_MIN_MS: f64 = 50.0;
const RETRY_AFTER_MAX_MS: f64 = 2_000.0;

/// No token is here.
#[derive(Clone, Debug, PartialEq)]
pub struct OutOfTokens {
    /// When the next may be.
    pub retry_after_ms: u64,
    /// Who may lend some; none while they said that they have none.
    pub lenders: SmallVec<[SocketAddr; 2]>,
    /// Tokens to ask for.
    pub tokens_wanted: f64,
}

/// Tokens of workspaces.
#[derive(Debug)]
pub struct Quotas {
    tolerance: QuotaTolerance,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    placement: QuotaPlacement,
    /// When the share last changed.
    placement_changed_us: u64,
    buckets: HashMap<Arc<str>, QuotaBucket>,
}

impl State {
    /// The bucket of a workspace, filled, and the rule by which it is.
    fn refilled_bucket(
        &mut self,
        workspace: &Workspace,
        tolerance: &QuotaTolerance,
        now_us: u64,
    ) -> (&mut QuotaBucket, BucketLimits) {
        let tokens_max = tolerance.tokens_max(workspace);
        let part = self.placement.own_fraction(&workspace.name, tokens_max);
        let tokens_per_s = tolerance.tokens_per_s(workspace);
        let rule = BucketLimits { fraction: part, tokens_per_s, tokens_max };
        let since_us = self.placement_changed_us;
        let bucket = self.buckets.entry(Arc::clone(&workspace.name)).or_insert_with(|| {
            QuotaBucket::new(tolerance.initial_tokens(workspace) * part, part, since_us)
        });
        bucket.refill(rule, now_us);
        (bucket, rule)
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded milliseconds")]
fn bounded_retry_after_ms(ms: f64) -> u64 {
    ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS) as u64
}

impl Quotas {
    /// Without tokens, until a share is known.
    #[must_use]
    pub fn new(tolerance: QuotaTolerance) -> Self {
        Self { tolerance, state: Mutex::default() }
    }

    /// Takes over which instances hold tokens.
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
    /// When none is here: who may lend one, and when the next may be.
    pub fn take(&self, workspace: &Workspace, now_us: u64) -> Result<(), OutOfTokens> {
        let mut state = self.state.lock();
        let (bucket, rule) = state.refilled_bucket(workspace, &self.tolerance, now_us);
        if bucket.take() {
            return Ok(());
        }
        let next_ms = bucket.next_token_ms(rule).unwrap_or(RETRY_AFTER_MIN_MS);
        let dry = now_us < bucket.no_lender_until_us;
        let lenders = if dry {
            SmallVec::new()
        } else {
            state.placement.lenders(&workspace.name, rule.tokens_max)
        };
        let own_max = rule.tokens_max * rule.fraction;
        let wanted = (rule.tokens_per_s * BORROW_SPAN_S).min(own_max).max(1.0);
        Err(OutOfTokens {
            retry_after_ms: bounded_retry_after_ms(next_ms),
            lenders,
            tokens_wanted: wanted,
        })
    }

    /// Gives back the token of a request that did not run.
    pub fn refund(&self, workspace: &Workspace) {
        if let Some(bucket) = self.state.lock().buckets.get_mut(&workspace.name) {
            bucket.add(1.0);
        }
    }

    /// Gives up to `wanted` tokens to another instance.
    pub fn lend(&self, workspace: &Workspace, wanted: f64, now_us: u64) -> f64 {
        let mut state = self.state.lock();
        let (bucket, _) = state.refilled_bucket(workspace, &self.tolerance, now_us);
        bucket.lend(wanted)
    }

    /// Takes in tokens that another instance lent.
    pub fn add_borrowed(&self, workspace: &Workspace, tokens: f64, now_us: u64) {
        let mut state = self.state.lock();
        let (bucket, _) = state.refilled_bucket(workspace, &self.tolerance, now_us);
        bucket.add(tokens);
    }

    /// Takes note that all who were asked had none to spare.
    pub fn note_no_lender(&self, workspace: &Workspace, now_us: u64) {
        if let Some(bucket) = self.state.lock().buckets.get_mut(&workspace.name) {
            bucket.no_lender_until_us = now_us + NO_LENDER_BACKOFF_US;
        }
    }
}
