//! Limits requests to the quota of their workspace.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::Instant;

use super::Caller;
use super::caller_handler::CurrentRouteTable;
use super::reply::LocalReply;
use crate::board::Blackboard;
use crate::board::Counter;
use crate::clock::now_us;
use crate::peer::PeerClient;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::quota::OutOfTokens;
use crate::quota::Quotas;
use crate::workspace::Workspace;

/// Timeout for one instance to lend tokens.
const LENDER_TIMEOUT: Duration = Duration::from_millis(50);
/// Timeout for all instances that a request asks for tokens, one after the other.
const BORROW_TIMEOUT: Duration = Duration::from_millis(120);
/// How long a request waits for this instance to discover its peers.
const PEER_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between two checks whether peers have been discovered.
const PEER_DISCOVERY_POLL_INTERVAL: Duration = Duration::from_millis(20);
const MILLITOKENS_PER_TOKEN: f64 = 1000.0;

/// A token of a workspace's quota; consumed unless refunded.
#[derive(Debug, Default)]
pub struct QuotaToken(Option<(Arc<Quotas>, Arc<Workspace>)>);

impl QuotaToken {
    /// Returns the token of a request that did not run.
    pub fn refund(&self) {
        if let Some((quotas, workspace)) = &self.0 {
            quotas.refund(workspace);
        }
    }
}

/// Takes tokens from workspace quotas, and borrows them from other instances.
#[derive(Clone, Debug)]
pub struct QuotaLimiter<L> {
    pub board: Arc<Blackboard>,
    pub links: L,
    pub table: CurrentRouteTable,
    pub quotas: Arc<Quotas>,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rounded down, so that no tokens are created"
)]
fn to_millitokens(tokens: f64) -> u32 {
    (tokens * MILLITOKENS_PER_TOKEN).clamp(0.0, f64::from(u32::MAX)) as u32
}

impl<L: PeerClient> QuotaLimiter<L> {
    /// Takes a token for a request; none is needed without a quota.
    ///
    /// # Errors
    /// The reply to a request that exceeds the quota.
    pub async fn acquire(&self, caller: Option<&Caller>) -> Result<QuotaToken, LocalReply> {
        let Some(caller) = caller.filter(|caller| caller.workspace.is_limited()) else {
            return Ok(QuotaToken::default());
        };
        let workspace = &caller.workspace;
        self.wait_for_placement().await;
        let out_of_tokens = match self.quotas.take(workspace, now_us()) {
            Ok(()) => return Ok(self.token(workspace)),
            Err(out_of_tokens) => out_of_tokens,
        };
        let asked = out_of_tokens.lenders.len();
        let borrowed =
            tokio::time::timeout(BORROW_TIMEOUT, self.borrow(workspace, &out_of_tokens)).await;
        if borrowed == Ok(true) {
            return Ok(self.token(workspace));
        }
        if asked > 0 {
            self.quotas.record_no_lender(workspace, now_us());
        }
        self.board.counters.add(Counter::OverQuota);
        info!(
            event = "over-quota", workspace = &*workspace.name, rate_per_s = workspace.rate_per_s,
            burst = workspace.burst, retry_after_ms = out_of_tokens.retry_after_ms, asked = asked;
            "no token available in time"
        );
        Err(LocalReply::over_quota(out_of_tokens.retry_after_ms))
    }

    fn token(&self, workspace: &Arc<Workspace>) -> QuotaToken {
        QuotaToken(Some((Arc::clone(&self.quotas), Arc::clone(workspace))))
    }

    /// Waits until other instances are known. An instance without peers may be one of hundreds that
    /// are starting, so it has no tokens until it knows which instances hold them.
    async fn wait_for_placement(&self) {
        let began = Instant::now();
        while !self.quotas.placement_known() && began.elapsed() < PEER_DISCOVERY_TIMEOUT {
            tokio::time::sleep(PEER_DISCOVERY_POLL_INTERVAL).await;
        }
    }

    /// Asks the instances that hold tokens, one after the other, until a token is available.
    async fn borrow(&self, workspace: &Workspace, out_of_tokens: &OutOfTokens) -> bool {
        for lender in &out_of_tokens.lenders {
            let tokens = self.request_tokens(*lender, workspace, out_of_tokens.tokens_wanted).await;
            if tokens <= 0.0 {
                continue;
            }
            self.quotas.add_borrowed(workspace, tokens, now_us());
            if self.quotas.take(workspace, now_us()).is_ok() {
                return true;
            }
        }
        false
    }

    /// Asks an instance for tokens and returns those that it lends, 0 if there is no response.
    async fn request_tokens(&self, lender: SocketAddr, workspace: &Workspace, wanted: f64) -> f64 {
        let workspace = workspace.name.to_string();
        let request =
            PeerRequest::QuotaTokens { workspace, wanted_millitokens: to_millitokens(wanted) };
        // If there is no response, the next lender is asked.
        match self.links.call(lender, &request, LENDER_TIMEOUT).await {
            Ok(PeerReply::QuotaTokens(milli)) => f64::from(milli) / MILLITOKENS_PER_TOKEN,
            _ => 0.0,
        }
    }

    /// Lends tokens to another instance, in thousandths of a token.
    #[must_use]
    pub fn lend(&self, workspace: &str, wanted_milli: u32) -> u32 {
        let table = self.table.load();
        let workspaces = table.as_ref().and_then(|table| table.workspaces.as_ref());
        let Some(workspace) = workspaces.and_then(|workspaces| workspaces.by_name(workspace))
        else {
            return 0;
        };
        to_millitokens(self.quotas.lend(
            workspace,
            f64::from(wanted_milli) / MILLITOKENS_PER_TOKEN,
            now_us(),
        ))
    }
}
