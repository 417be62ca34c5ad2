//! Limits requests to the quota of their workspace.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use parking_lot::Mutex;
use tokio::sync::Notify;
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
use crate::quota::BorrowRound;
use crate::quota::OutOfTokens;
use crate::quota::Quotas;
use crate::quota::TokenQuestion;
use crate::workspace::Workspace;

/// Timeout for one instance to lend tokens.
const LENDER_TIMEOUT: Duration = Duration::from_millis(50);
/// Interval between two rounds of questions while this instance is short of tokens. Each lender is
/// asked less often.
const BORROW_ROUND_INTERVAL: Duration = Duration::from_millis(10);
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
            quotas.refund(workspace, now_us());
        }
    }
}

/// The workspaces for which a task borrows tokens, by name; each notifies the requests that wait
/// for one.
#[derive(Clone, Debug, Default)]
pub struct Borrowers(Arc<Mutex<HashMap<Arc<str>, Arc<Notify>>>>);

/// A request that waits for a token. Counted until it is dropped, as its caller may leave.
struct Wait<'a> {
    quotas: &'a Quotas,
    workspace: &'a Workspace,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.quotas.end_wait(self.workspace);
    }
}

/// Takes tokens from workspace quotas, and borrows them from other instances.
#[derive(Clone, Debug)]
pub struct QuotaLimiter<L> {
    pub board: Arc<Blackboard>,
    pub links: L,
    pub table: CurrentRouteTable,
    pub quotas: Arc<Quotas>,
    pub borrowers: Borrowers,
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
        if self.wait_for_token(workspace, out_of_tokens).await {
            return Ok(self.token(workspace));
        }
        self.board.counters.add(Counter::OverQuota);
        info!(
            event = "over-quota", workspace = &*workspace.name, rate_per_s = workspace.rate_per_s,
            burst = workspace.burst, retry_after_ms = out_of_tokens.retry_after_ms,
            waited_ms = out_of_tokens.wait_ms.unwrap_or(0);
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

    /// Starts to borrow tokens, and waits for one if the request may; returns whether it got one.
    async fn wait_for_token(&self, workspace: &Arc<Workspace>, out_of_tokens: OutOfTokens) -> bool {
        let arrivals = self.start_borrowing(workspace);
        let Some(wait_ms) = out_of_tokens.wait_ms else {
            return false;
        };
        let _wait = Wait { quotas: &self.quotas, workspace };
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let arrival = arrivals.notified();
            if self.quotas.take_waiting(workspace, now_us()) {
                return true;
            }
            if tokio::time::timeout_at(deadline, arrival).await.is_err() {
                return false;
            }
        }
    }

    /// Starts the task that borrows tokens of a workspace, unless it runs. Returns what it notifies
    /// when there are tokens.
    fn start_borrowing(&self, workspace: &Arc<Workspace>) -> Arc<Notify> {
        let mut borrowers = self.borrowers.0.lock();
        if let Some(arrivals) = borrowers.get(&workspace.name) {
            return Arc::clone(arrivals);
        }
        let arrivals = Arc::new(Notify::new());
        borrowers.insert(Arc::clone(&workspace.name), Arc::clone(&arrivals));
        tokio::spawn(self.clone().borrow(Arc::clone(&workspace.name), Arc::clone(&arrivals)));
        arrivals
    }

    /// Borrows tokens until this instance is no longer short of them.
    async fn borrow(self, name: Arc<str>, arrivals: Arc<Notify>) {
        while let Some((workspace, round)) = self.next_round(&name) {
            if round.has_token {
                arrivals.notify_waiters();
            }
            for question in round.questions {
                let asked = self.clone().ask(Arc::clone(&workspace), question);
                let arrivals = Arc::clone(&arrivals);
                tokio::spawn(async move {
                    if asked.await {
                        arrivals.notify_waiters();
                    }
                });
            }
            tokio::time::sleep(BORROW_ROUND_INTERVAL).await;
        }
    }

    /// The next round of questions for a workspace as it is configured now; `None` if no more
    /// tokens are needed.
    fn next_round(&self, name: &Arc<str>) -> Option<(Arc<Workspace>, BorrowRound)> {
        // Under the lock, so that no request relies on a task that has just ended.
        let mut borrowers = self.borrowers.0.lock();
        let next = self.workspace(name).and_then(|workspace| {
            let round = self.quotas.borrow_round(&workspace, now_us());
            round.short.then_some((workspace, round))
        });
        if next.is_none() {
            borrowers.remove(name);
        }
        next
    }

    /// A workspace as it is configured now; `None` if it has no quota.
    fn workspace(&self, name: &str) -> Option<Arc<Workspace>> {
        let table = self.table.load();
        let workspace = table.as_ref()?.workspaces.as_ref()?.by_name(name)?;
        workspace.is_limited().then(|| Arc::clone(workspace))
    }

    /// Asks a lender for tokens; returns whether it gave some.
    async fn ask(self, workspace: Arc<Workspace>, question: TokenQuestion) -> bool {
        let TokenQuestion { lender, wanted } = question;
        let tokens = self.request_tokens(lender, &workspace, wanted).await;
        self.quotas.record_answer(&workspace, lender, tokens, now_us());
        tokens > 0.0
    }

    /// Asks an instance for tokens and returns those that it lends, 0 if there is no response.
    async fn request_tokens(&self, lender: SocketAddr, workspace: &Workspace, wanted: f64) -> f64 {
        let workspace = workspace.name.to_string();
        let request =
            PeerRequest::QuotaTokens { workspace, wanted_millitokens: to_millitokens(wanted) };
        // If there is no response, the tokens are lost.
        match self.links.call(lender, &request, LENDER_TIMEOUT).await {
            Ok(PeerReply::QuotaTokens(milli)) => f64::from(milli) / MILLITOKENS_PER_TOKEN,
            _ => 0.0,
        }
    }

    /// Lends tokens to another instance, in thousandths of a token.
    #[must_use]
    pub fn lend(&self, workspace: &str, wanted_milli: u32) -> u32 {
        let Some(workspace) = self.workspace(workspace) else {
            return 0;
        };
        to_millitokens(self.quotas.lend(
            &workspace,
            f64::from(wanted_milli) / MILLITOKENS_PER_TOKEN,
            now_us(),
        ))
    }
}
