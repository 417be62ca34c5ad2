//! Requests that are not idempotent and carry an idempotency key: each runs at most once.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::Answer;
use super::ProxyRequest;
use super::Router;
use super::ServiceState;
use crate::board::Counter;
use crate::errors::Code;
use crate::member::WitnessReply;
use crate::member::WitnessRequest;
use crate::member::ask_witnesses;
use crate::outcome::IdempotencyKey;
use crate::outcome::KeyDecision;
use crate::outcome::KeyPrefix;
use crate::outcome::RecordedOutcome;
use crate::outcome::RunGuard;
use crate::outcome::claim;
use crate::outcome::claim_hash;
use crate::peer::ForwardStage;

/// Retry delay for the caller, in milliseconds, if the owner's outcome table is full.
const TABLE_FULL_RETRY_AFTER_MS: u64 = 1_000;
/// Retry delay for the caller, in milliseconds, if the key's owner is unknown or cannot be reached.
const OWNER_RETRY_AFTER_MS: u64 = 1_000;

fn owner_unreachable() -> Answer {
    Answer { retry_after_ms: OWNER_RETRY_AFTER_MS, ..Answer::unknown(Code::KeyOwnerUnreachable) }
}

impl Router {
    /// Finds the owner of the key and lets it decide; only the owner may run the request.
    pub(super) async fn run_keyed(
        &self,
        state: &Arc<ServiceState>,
        proxy_request: ProxyRequest,
        key: IdempotencyKey,
    ) -> Answer {
        let prefix = match key.prefix {
            Some(prefix) => Some(prefix),
            None => self.claim_key(&proxy_request, &key).await,
        };
        let Some(prefix) = prefix else {
            // The key may have run before, so the answer is not `not-run`.
            let answer = Answer::unknown(Code::ClaimUnavailable);
            return Answer { retry_after_ms: OWNER_RETRY_AFTER_MS, ..answer };
        };
        if self.board.outcomes.owns(prefix.incarnation) {
            return self.run_as_owner(state, proxy_request, &key, prefix).await;
        }
        self.forward_to_owner(&proxy_request, prefix.incarnation).await
    }

    /// The prefix of the instance that owns a plain key, after a claim for this instance; `None`
    /// if the store does not answer before the deadline.
    async fn claim_key(
        &self,
        proxy_request: &ProxyRequest,
        key: &IdempotencyKey,
    ) -> Option<KeyPrefix> {
        let incarnation = self.board.incarnation;
        let epoch = self.board.outcomes.epoch_of(incarnation)?;
        let own = KeyPrefix { incarnation, epoch };
        let remaining = Duration::from_micros(proxy_request.remaining_us());
        let claimed = claim(&self.store, &proxy_request.service, &key.text, own);
        let owner = tokio::time::timeout(remaining, claimed).await.ok().flatten()?;
        if owner != own {
            return Some(owner);
        }
        let within = Duration::from_micros(proxy_request.remaining_us());
        let claim = claim_hash(&proxy_request.service, &key.text);
        Some(self.first_claimant(claim, own, within).await)
    }

    /// Tells the witnesses of a new claim; returns its first owner as they know it.
    async fn first_claimant(&self, claim: u128, own: KeyPrefix, within: Duration) -> KeyPrefix {
        let place = u64::try_from(claim >> 64).unwrap_or(0);
        let request = WitnessRequest::Claim { claim, owner: own };
        let replies = ask_witnesses(&self.board, &self.links, place, request, within).await;
        let earlier = replies.into_iter().find_map(|reply| match reply {
            WitnessReply::Owner(owner) => {
                Some(owner).filter(|owner| owner.incarnation != own.incarnation)
            }
            WitnessReply::ShardConfirmed(_) => None,
        });
        if let Some(owner) = earlier {
            warn!(event = "claim-lost-by-store", owner = owner.to_string().as_str();
                "the key belongs to the instance that claimed it before the store was restored");
        }
        earlier.unwrap_or(own)
    }

    /// Forwards the request to the process that answers for the keys of `incarnation`: the owner
    /// or its successor.
    async fn forward_to_owner(&self, proxy_request: &ProxyRequest, incarnation: u64) -> Answer {
        if proxy_request.stage >= ForwardStage::Owner {
            // The sender took this instance for the owner or its successor, but it is not, or no
            // longer. Forwarding once more could form a loop.
            return owner_unreachable();
        }
        let view = self.board.members_view();
        let Some(owner) = view.owner_for(incarnation) else {
            self.board.counters.add(Counter::OwnerUnreachable);
            return owner_unreachable();
        };
        if let Ok(answer) = self.forward(&owner, proxy_request, ForwardStage::Owner).await {
            answer
        } else {
            self.board.counters.add(Counter::OwnerUnreachable);
            owner_unreachable()
        }
    }

    /// Runs the request, or answers it from the outcome table.
    async fn run_as_owner(
        &self,
        state: &Arc<ServiceState>,
        proxy_request: ProxyRequest,
        key: &IdempotencyKey,
        prefix: KeyPrefix,
    ) -> Answer {
        let outcomes = &self.board.outcomes;
        match outcomes.begin(prefix.incarnation, prefix.epoch, &proxy_request.service, &key.text) {
            KeyDecision::Run(guard) => self.run_guarded(state, proxy_request, guard).await,
            KeyDecision::Follow(result) => self.wait_for_first_run(&proxy_request, result).await,
            KeyDecision::Replay(outcome) => {
                self.board.counters.add(Counter::Replayed);
                Answer::replay(&outcome)
            }
            KeyDecision::Expired => Answer::unknown(Code::KeyExpired),
            KeyDecision::Full => Answer::not_run(Code::OutcomesFull, TABLE_FULL_RETRY_AFTER_MS),
            KeyDecision::Closed | KeyDecision::NotOwner => {
                self.forward_to_owner(&proxy_request, prefix.incarnation).await
            }
        }
    }

    /// Runs the request in its own task: if a disconnecting caller cut it short, the repeat that
    /// the caller is about to send would find its outcome unknown.
    async fn run_guarded(
        &self,
        state: &Arc<ServiceState>,
        proxy_request: ProxyRequest,
        guard: RunGuard,
    ) -> Answer {
        let router = self.clone();
        let state = Arc::clone(state);
        let (sender, receiver) = oneshot::channel();
        // Counted separately, so that a planned stop waits for it even if its caller has left.
        let in_flight = self.board.start_request();
        tokio::spawn(async move {
            let answer = router.run(&state, &proxy_request).await;
            match answer.to_record() {
                Some(outcome) => guard.finish(outcome),
                None => guard.not_run(),
            }
            drop(in_flight);
            // The caller may have left; the outcome is recorded regardless.
            let _ = sender.send(answer);
        });
        receiver.await.unwrap_or_else(|_| Answer::unknown(Code::AnswerLost))
    }

    /// Waits until the deadline for the outcome of the first request with this key, which still
    /// runs.
    async fn wait_for_first_run(
        &self,
        proxy_request: &ProxyRequest,
        mut result: watch::Receiver<Option<RecordedOutcome>>,
    ) -> Answer {
        self.board.counters.add(Counter::Followed);
        let remaining = Duration::from_micros(proxy_request.remaining_us());
        let ended = tokio::time::timeout(remaining, result.wait_for(Option::is_some)).await;
        match ended {
            Ok(Ok(outcome)) => outcome
                .as_ref()
                .map_or_else(|| Answer::unknown(Code::KeyInProgress), Answer::replay),
            // The channel closed without a result: the first request did not run.
            Ok(Err(_)) => Answer::not_run(Code::Refused, 100),
            Err(_) => Answer::unknown(Code::KeyInProgress),
        }
    }
}
