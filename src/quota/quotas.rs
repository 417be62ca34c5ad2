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

/// How long a request waits for a token.
const TOKEN_WAIT_MS: u64 = 60;
/// How long a request waits for a token soon after the first placement, when those requests arrive
/// together that came while no instance served.
const STARTUP_TOKEN_WAIT_MS: u64 = 250;
/// Time after the first placement in which requests wait longer.
const STARTUP_US: u64 = 1_000_000;
/// Longest time between the start and the first placement for which a bucket is refilled. No other
/// instance spends the tokens of that time, as the others take this one for their holder.
const REFILL_BEFORE_PLACEMENT_MAX_US: u64 = 250_000;
/// Time after the start in which new buckets have initial tokens. It is shorter than the time after
/// which a bucket is dropped, or one that is dropped and created again would gain tokens.
const INITIAL_TOKENS_US: u64 = 4_000_000;
/// Requests of a workspace that may wait for a token at one instance, whatever its rate; a higher
/// rate allows more.
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
    /// How long the request may wait for a token here; `None` if too many wait. It counts as
    /// waiting until `Quotas::end_wait`.
    pub wait_ms: Option<u64>,
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
    /// Start of this instance.
    started_us: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    placement: QuotaPlacement,
    /// Since when new buckets are refilled: the last change of the placement, or earlier if it is
    /// the first one.
    refilled_since_us: u64,
    /// When the first placement was set.
    placed_us: Option<u64>,
    /// By name of the workspace; those not in use are dropped.
    buckets: HashMap<Arc<str>, QuotaBucket>,
    idle_checked_us: u64,
}

impl State {
    /// Whether the first placement was set recently.
    fn was_first_placed_recently(&self, now_us: u64) -> bool {
        self.placed_us.is_some_and(|placed_us| now_us.saturating_sub(placed_us) < STARTUP_US)
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
    pub fn new(tolerance: QuotaTolerance, started_us: u64) -> Self {
        Self { tolerance, started_us, state: Mutex::default() }
    }

    /// Refills the bucket of a workspace, and returns it.
    fn refilled_bucket<'a>(
        &self,
        state: &'a mut State,
        workspace: &Workspace,
        now_us: u64,
    ) -> &'a mut QuotaBucket {
        let tokens_max = self.tolerance.tokens_max(workspace);
        let fraction = state.placement.own_fraction(&workspace.name, tokens_max);
        let tokens_per_s = self.tolerance.tokens_per_s(workspace);
        let limits = BucketLimits { fraction, tokens_per_s, tokens_max };
        let has_initial = now_us.saturating_sub(self.started_us) < INITIAL_TOKENS_US;
        let initial =
            if has_initial { self.tolerance.initial_tokens(workspace) * fraction } else { 0.0 };
        let since_us = state.refilled_since_us;
        let bucket = state
            .buckets
            .entry(Arc::clone(&workspace.name))
            .or_insert_with(|| QuotaBucket::new(initial, limits, since_us));
        bucket.refill(limits, now_us);
        bucket
    }

    /// Sets which instances hold tokens, and drops buckets that are not in use.
    pub fn set_placement(&self, placement: QuotaPlacement, now_us: u64) {
        let mut state = self.state.lock();
        state.drop_idle(now_us);
        if state.placement != placement {
            let is_first = state.placed_us.is_none() && !placement.homes.is_empty();
            if is_first {
                state.placed_us = Some(now_us);
            }
            let before_us = if is_first { REFILL_BEFORE_PLACEMENT_MAX_US } else { 0 };
            state.refilled_since_us = now_us.saturating_sub(before_us).max(self.started_us);
            state.placement = placement;
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
        let started_lately = state.was_first_placed_recently(now_us);
        let wait_ms = if started_lately { STARTUP_TOKEN_WAIT_MS } else { TOKEN_WAIT_MS };
        let bucket = self.refilled_bucket(&mut state, workspace, now_us);
        bucket.record_demand(now_us);
        if bucket.take(now_us) {
            return Ok(());
        }
        let next_ms = bucket.next_token_ms().unwrap_or(RETRY_AFTER_MIN_MS);
        let supply_per_s = if started_lately {
            self.tolerance.tokens_per_s(workspace)
        } else {
            bucket.supply_per_s(now_us)
        };
        let has_room = f64::from(bucket.waiting) < waiting_max(supply_per_s, wait_ms);
        bucket.waiting += u32::from(has_room);
        Err(OutOfTokens {
            retry_after_ms: bounded_retry_after_ms(next_ms),
            wait_ms: has_room.then_some(wait_ms),
        })
    }

    /// Takes a token for a request that waits; returns whether there was one.
    pub fn take_waiting(&self, workspace: &Workspace, now_us: u64) -> bool {
        let mut state = self.state.lock();
        self.refilled_bucket(&mut state, workspace, now_us).take(now_us)
    }

    /// Records that a request waits no longer, whether it got a token or not.
    pub fn end_wait(&self, workspace: &Workspace) {
        if let Some(bucket) = self.state.lock().buckets.get_mut(&workspace.name) {
            bucket.waiting = bucket.waiting.saturating_sub(1);
        }
    }

    /// Returns the token of a request that did not run.
    pub fn refund(&self, workspace: &Workspace, now_us: u64) {
        if let Some(bucket) = self.state.lock().buckets.get_mut(&workspace.name) {
            bucket.add_expiring(1.0, now_us);
        }
    }

    /// Whom to ask for tokens of a workspace now; records that they are asked. To be called at a
    /// steady pace while the instance is short of them, not for each request.
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
        let bucket = self.refilled_bucket(&mut state, workspace, now_us);
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
        let bucket = self.refilled_bucket(&mut state, workspace, now_us);
        bucket.lenders.record_answer(lender, tokens);
        bucket.add_expiring(tokens, now_us);
    }

    /// Removes up to `wanted` tokens for another instance to use, and returns how many.
    pub fn lend(&self, workspace: &Workspace, wanted: f64, now_us: u64) -> f64 {
        let mut state = self.state.lock();
        self.refilled_bucket(&mut state, workspace, now_us).lend(wanted, now_us)
    }

    /// Number of workspaces whose tokens are counted here.
    #[must_use]
    pub fn bucket_count(&self) -> usize {
        self.state.lock().buckets.len()
    }
}

/// Requests that may wait at one instance: as many as it has tokens for in that time. How many that
/// will be is not known soon after the start; the whole fleet's rate bounds it then.
#[expect(clippy::cast_precision_loss, reason = "a few milliseconds")]
fn waiting_max(supply_per_s: f64, wait_ms: u64) -> f64 {
    supply_per_s.mul_add(wait_ms as f64 / 1000.0, WAITING_MIN)
}
