//! Borrows retries from other instances for services whose own budget is used up.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::task::JoinSet;

use super::dispatcher::Dispatcher;
use super::dispatcher_loans::RetryShortage;
use super::homes::HomesPlan;
use super::homes::all_homes;
use crate::board::Blackboard;
use crate::board::Counter;
use crate::clock::boot_us;
use crate::member::MemberRow;
use crate::peer::PeerClient;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::retry::LenderTurn;

/// Interval of the rounds in which an instance that is short asks others.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Number of instances that are asked in a round for one service, whatever the size of the fleet.
const ASKED_PER_ROUND: usize = 3;
/// Timeout for one instance to lend retries.
const LENDER_TIMEOUT: Duration = Duration::from_millis(50);

/// Asks other homes for retries, beside the request path. Nobody is asked while the own budget
/// denies no last attempt.
#[derive(Clone, Debug)]
pub struct RetryBorrower<L> {
    pub board: Arc<Blackboard>,
    pub links: L,
    pub dispatcher: Dispatcher,
}

impl<L: PeerClient> RetryBorrower<L> {
    /// Runs until the process ends.
    pub async fn run(self) {
        let mut turns: HashMap<Arc<str>, LenderTurn> = HashMap::new();
        loop {
            tokio::time::sleep(ROUND_INTERVAL).await;
            let shortages = self.dispatcher.take_retry_shortages();
            if shortages.is_empty() {
                continue;
            }
            let lenders: Arc<[SocketAddr]> = self.lenders().into();
            let mut asking = JoinSet::new();
            for shortage in shortages {
                let turn = turns.get(&shortage.service).copied().unwrap_or_default();
                asking.spawn(self.clone().borrow(shortage, turn, Arc::clone(&lenders)));
            }
            turns.extend(asking.join_all().await);
        }
    }

    /// The homes that may lend: first those of the own zone, then the others, from a place on that
    /// differs between instances.
    fn lenders(&self) -> Vec<SocketAddr> {
        let view = self.board.members_view();
        let own_zone = &self.board.settings.instance.zone;
        let homes = all_homes(&view, HomesPlan::of(&self.board));
        let others = homes.into_iter().filter(|row| row.incarnation != self.board.incarnation);
        let (mut lenders, mut elsewhere): (Vec<Arc<MemberRow>>, Vec<Arc<MemberRow>>) =
            others.partition(|row| row.zone == *own_zone);
        let first = elsewhere.partition_point(|row| row.incarnation < self.board.incarnation);
        elsewhere.rotate_left(first);
        lenders.append(&mut elsewhere);
        lenders.iter().map(|row| row.peer_address).collect()
    }

    /// Asks a few of the lenders, until one has given what is wanted. Returns whose turn it is next.
    async fn borrow(
        self,
        shortage: RetryShortage,
        mut turn: LenderTurn,
        lenders: Arc<[SocketAddr]>,
    ) -> (Arc<str>, LenderTurn) {
        let mut wanted = shortage.wanted;
        for _ in 0..lenders.len().min(ASKED_PER_ROUND) {
            if wanted == 0 || !turn.may_ask(boot_us()) {
                break;
            }
            let lender = lenders[turn.position(lenders.len())];
            let granted = self.ask(lender, &shortage, wanted).await;
            turn.record(wanted, granted, boot_us());
            wanted -= granted;
        }
        (shortage.service, turn)
    }

    /// Asks one instance, and returns how many retries it lent. After a lost answer they stay counted
    /// at the lender, and nobody uses them.
    async fn ask(&self, lender: SocketAddr, shortage: &RetryShortage, wanted: u32) -> u32 {
        let service = &*shortage.service;
        self.board.counters.add(Counter::RetryLoanQuestions);
        let request = PeerRequest::RetryLoan { service: service.to_owned(), wanted };
        let asked_us = boot_us();
        let reply = self.links.call(lender, &request, LENDER_TIMEOUT).await;
        let Ok(PeerReply::RetryLoan(granted)) = reply else {
            return 0;
        };
        let granted = granted.min(wanted);
        if granted > 0 {
            self.dispatcher.add_borrowed_retries(service, granted, asked_us);
            self.board.counters.add_many(Counter::RetriesBorrowed, granted.into());
            info!(
                event = "retries-borrowed", service = service, wanted = wanted, granted = granted,
                allowed = shortage.usage.allowed, spent = shortage.usage.spent,
                from = lender.to_string().as_str();
                ""
            );
        }
        granted
    }
}
