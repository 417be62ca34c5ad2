//! Lets requests pass within the quota of their workspace.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::Instant;

use super::Caller;
use super::caller_handler::TableInForce;
use super::reply::OwnReply;
use crate::board::Blackboard;
use crate::board::Counter;
use crate::clock::now_us;
use crate::peer::PeerCalls;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::quota::OutOfTokens;
use crate::quota::Quotas;
use crate::workspace::Workspace;

/// How long one instance is given to lend tokens, and all that are asked together.
const LEND_TIMEOUT: Duration = Duration::from_millis(50);
const BORROW_TIMEOUT: Duration = Duration::from_millis(120);
/// How long a request waits for this instance to find the others, and how often it looks.
const ALONE_MAX: Duration = Duration::from_millis(400);
const ALONE_TURN: Duration = Duration::from_millis(20);
const MILLI: f64 = 1000.0;

/// A token of a workspace's quota; spent unless it is given back.
#[derive(Debug, Default)]
pub struct QuotaTicket(Option<(Arc<Quotas>, Arc<Workspace>)>);

impl QuotaTicket {
    /// The request did not run.
    pub fn give_back(&self) {
        if let Some((quotas, workspace)) = &self.0 {
            quotas.refund(workspace);
        }
    }
}

/// Gives out tokens of quotas, and borrows them from other instances.
#[derive(Clone, Debug)]
pub struct QuotaGate<L> {
    pub board: Arc<Blackboard>,
    pub links: L,
    pub table: TableInForce,
    pub quotas: Arc<Quotas>,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rounded down, so that no token is made"
)]
fn to_milli(tokens: f64) -> u32 {
    (tokens * MILLI).clamp(0.0, f64::from(u32::MAX)) as u32
}

impl<L: PeerCalls> QuotaGate<L> {
    /// A token for a request; where there is no quota, none is needed.
    ///
    /// # Errors
    /// The answer to a request above the quota.
    pub async fn pass(&self, caller: Option<&Caller>) -> Result<QuotaTicket, OwnReply> {
        let Some(caller) = caller.filter(|caller| caller.workspace.is_limited()) else {
            return Ok(QuotaTicket::default());
        };
        let workspace = &caller.workspace;
        self.others_known().await;
        let dry = match self.quotas.take(workspace, now_us()) {
            Ok(()) => return Ok(self.ticket(workspace)),
            Err(dry) => dry,
        };
        let asked = dry.lenders.len();
        let borrowed = tokio::time::timeout(BORROW_TIMEOUT, self.borrow(workspace, &dry)).await;
        if borrowed == Ok(true) {
            return Ok(self.ticket(workspace));
        }
        if asked > 0 {
            self.quotas.note_no_lender(workspace, now_us());
        }
        self.board.counters.add(Counter::OverQuota);
        info!(
            event = "over-quota", workspace = &*workspace.name, rate_per_s = workspace.rate_per_s,
            burst = workspace.burst, retry_after_ms = dry.retry_after_ms, asked = asked;
            "no token in time"
        );
        Err(OwnReply::over_quota(dry.retry_after_ms))
    }

    fn ticket(&self, workspace: &Arc<Workspace>) -> QuotaTicket {
        QuotaTicket(Some((Arc::clone(&self.quotas), Arc::clone(workspace))))
    }

    /// An instance that knows nobody may be one of hundreds that start: it holds no tokens until it knows
    /// who does.
    async fn others_known(&self) {
        let began = Instant::now();
        while !self.quotas.placement_known() && began.elapsed() < ALONE_MAX {
            tokio::time::sleep(ALONE_TURN).await;
        }
    }

    /// Asks those who hold tokens, one after the other, until one is there.
    async fn borrow(&self, workspace: &Workspace, dry: &OutOfTokens) -> bool {
        for lender in &dry.lenders {
            let tokens = self.ask(*lender, workspace, dry.tokens_wanted).await;
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

    /// Tokens that one instance lends.
    async fn ask(&self, lender: SocketAddr, workspace: &Workspace, wanted: f64) -> f64 {
        let workspace = workspace.name.to_string();
        let request = PeerRequest::QuotaTokens { workspace, wanted_milli: to_milli(wanted) };
        // One that does not answer lends nothing; the next is asked.
        match self.links.call(lender, &request, LEND_TIMEOUT).await {
            Ok(PeerReply::QuotaTokens(milli)) => f64::from(milli) / MILLI,
            _ => 0.0,
        }
    }

    /// Tokens for another instance, in thousandths.
    #[must_use]
    pub fn lend(&self, workspace: &str, wanted_milli: u32) -> u32 {
        let table = self.table.load();
        let workspaces = table.as_ref().and_then(|table| table.workspaces.as_ref());
        let Some(workspace) = workspaces.and_then(|workspaces| workspaces.by_name(workspace))
        else {
            return 0;
        };
        to_milli(self.quotas.lend(workspace, f64::from(wanted_milli) / MILLI, now_us()))
    }
}
