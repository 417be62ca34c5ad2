//! Runs a request: a home uses a slot of its own or of a co-home, any other instance forwards the
//! request to a home.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use smallvec::SmallVec;

use super::Answer;
use super::Outcome;
use super::ProxyRequest;
use super::Router;
use super::ServiceState;
use super::Slot;
use super::Upstream;
use super::attempt::AttemptResult;
use super::attempt::attempt;
use super::attempt::is_server_failure;
use super::slot::Offer;
use super::slot_queue::EnqueueResult;
use super::slot_queue::QueuePosition;
use crate::board::Counter;
use crate::decide::Admission;
use crate::decide::QueueView;
use crate::decide::RetryView;
use crate::decide::ServerScope;
use crate::decide::may_retry;
use crate::errors::Code;
use crate::member::MemberRow;
use crate::peer::ForwardStage;
use crate::peer::PeerError;
use crate::quarantine::CRASH_CHECK_WAIT;
use crate::quarantine::Denial;
use crate::reach::ReachEvidence;

/// Retry delay for the caller, in milliseconds, if nothing better is known.
const DEFAULT_RETRY_AFTER_MS: u64 = 100;

/// Where the next attempt is made.
enum Target {
    /// On a backend server, in this slot.
    Local(Slot),
    /// At this co-home.
    CoHome(Arc<MemberRow>),
    /// Nowhere; this is the answer.
    Rejected(Answer),
}

/// Whether the answer is unusable (not run, unknown, or a server failure), so that another attempt
/// may give a better one.
fn needs_retry(answer: &Answer) -> bool {
    answer.outcome != Outcome::Ran || is_server_failure(answer.status)
}

/// The answer to a request that is not admitted to the queue.
fn rejection(admission: Admission) -> Answer {
    match admission {
        Admission::NoServer { retry_after_ms } => Answer::not_run(Code::NoServer, retry_after_ms),
        Admission::QueueFull { retry_after_ms } => Answer::not_run(Code::QueueFull, retry_after_ms),
        Admission::TooLate { retry_after_ms } => {
            Answer::not_run(Code::DeadlineInQueue, retry_after_ms)
        }
        Admission::Wait { .. } => Answer::not_run(Code::DeadlineInQueue, DEFAULT_RETRY_AFTER_MS),
    }
}

/// Logs why a request is not admitted to the queue.
fn log_rejection(proxy_request: &ProxyRequest, answer: &Answer, view: &QueueView) {
    info!(
        event = "request-rejected", id = proxy_request.id().as_ref(),
        service = proxy_request.service.as_str(), code = answer.code.number(),
        waiting = view.waiting, slots = view.slots, median_us = view.median_service_us,
        remaining_us = view.remaining_us, retry_after_ms = answer.retry_after_ms;
        "no slot would be free in time"
    );
}

/// Logs that no slot became free for a queued request in time.
fn log_wait_timeout(proxy_request: &ProxyRequest, answer: &Answer, waited: Duration) {
    info!(
        event = "request-rejected", id = proxy_request.id().as_ref(),
        service = proxy_request.service.as_str(), code = answer.code.number(),
        waited_ms = waited.as_millis(), remaining_us = proxy_request.remaining_us(),
        retry_after_ms = answer.retry_after_ms;
        "no slot became free in time"
    );
}

/// The answer that came first, or the other attempt's if the first one is unusable.
async fn first_useful(answer: Answer, other: impl Future<Output = Answer>) -> Answer {
    if !needs_retry(&answer) {
        return answer;
    }
    let may_have_run = answer.outcome != Outcome::NotRun;
    other.await.after_earlier_attempts(may_have_run)
}

/// Whether the request is to be retried after this answer; if so, takes a token from the retry
/// budget.
fn try_spend_retry(
    state: &ServiceState,
    proxy_request: &ProxyRequest,
    answer: &Answer,
    attempts: u32,
) -> bool {
    if matches!(answer.code, Code::Quarantined | Code::OnTrial) {
        return false;
    }
    let view = RetryView {
        idempotent: proxy_request.idempotent,
        not_run: answer.outcome == Outcome::NotRun,
        attempts,
        remaining_us: proxy_request.remaining_us(),
        median_service_us: state.runtime.slot_queue.median_service_us(),
        has_budget_left: state.runtime.slot_queue.has_retry_left(),
    };
    may_retry(&view) && state.runtime.slot_queue.spend_retry()
}

impl Router {
    /// Runs a request, with retries where they are safe, and returns its final answer.
    pub(super) async fn run(&self, state: &ServiceState, proxy_request: &ProxyRequest) -> Answer {
        if state.is_home || proxy_request.stage >= ForwardStage::Home {
            return self.run_locally(state, proxy_request).await;
        }
        self.forward_to_home(state, proxy_request).await
    }

    /// Runs a request on the backend servers or at a co-home, with retries.
    pub(super) async fn run_locally(
        &self,
        state: &ServiceState,
        proxy_request: &ProxyRequest,
    ) -> Answer {
        let mut tried: SmallVec<[usize; 4]> = SmallVec::new();
        let mut attempts = 0;
        let mut may_have_run = false;
        state.runtime.slot_queue.record_request();
        loop {
            attempts += 1;
            if let Some(denial) = self.board.quarantine.denial(&proxy_request.fingerprints) {
                return self.deny(proxy_request, denial).after_earlier_attempts(may_have_run);
            }
            let answer = match self.choose_target(state, proxy_request, &tried).await {
                Target::Rejected(answer) => return answer.after_earlier_attempts(may_have_run),
                Target::CoHome(home) => {
                    match self.forward(&home, proxy_request, ForwardStage::Spill).await {
                        Ok(answer) => answer,
                        Err(PeerError::ResponseLost) => Answer::unknown(Code::PeerLost),
                        Err(_) => Answer::not_run(Code::PeerLost, DEFAULT_RETRY_AFTER_MS),
                    }
                }
                Target::Local(slot) => {
                    tried.push(slot.index);
                    self.attempt_hedged(state, proxy_request, slot).await
                }
            };
            if !needs_retry(&answer) || !try_spend_retry(state, proxy_request, &answer, attempts) {
                return answer.after_earlier_attempts(may_have_run);
            }
            may_have_run |= answer.outcome != Outcome::NotRun;
            self.board.counters.add(Counter::Retries);
        }
    }

    /// Chooses where the next attempt runs: in a free slot of the servers that this home keeps,
    /// else at a co-home with free slots, else where the queue directs it.
    async fn choose_target(
        &self,
        state: &ServiceState,
        proxy_request: &ProxyRequest,
        tried: &[usize],
    ) -> Target {
        let slot_queue = &state.runtime.slot_queue;
        let scope = if state.is_home { ServerScope::Own } else { ServerScope::All };
        if let Some(slot) = slot_queue.try_acquire(scope, tried) {
            return Target::Local(slot);
        }
        if let Some(home) =
            self.choose_co_home(state, proxy_request, slot_queue.has_usable_server(scope))
        {
            return Target::CoHome(home);
        }
        // A home that keeps no usable server, and has no co-home to forward to, uses all servers.
        let scope = if slot_queue.has_usable_server(scope) { scope } else { ServerScope::All };
        self.board.counters.add(Counter::Queued);
        self.board.queue_formed.notify_one();
        self.wait_for_target(state, proxy_request, tried, scope).await
    }

    /// Waits until a slot is free here or a co-home reports free slots.
    async fn wait_for_target(
        &self,
        state: &ServiceState,
        proxy_request: &ProxyRequest,
        tried: &[usize],
        scope: ServerScope,
    ) -> Target {
        let mut position = QueuePosition::Back;
        loop {
            let (offer, max_wait) = match state.runtime.slot_queue.enqueue(
                scope,
                tried,
                position,
                proxy_request.remaining_us(),
            ) {
                EnqueueResult::Queued { offer, max_wait } => (offer, max_wait),
                EnqueueResult::Rejected { admission, view } => {
                    let answer = rejection(admission);
                    log_rejection(proxy_request, &answer, &view);
                    return Target::Rejected(answer);
                }
            };
            match tokio::time::timeout(max_wait, offer).await {
                Ok(Ok(Offer::Slot(slot))) => return Target::Local(slot),
                Ok(Ok(Offer::Redirect)) => {
                    if let Some(home) = self.choose_co_home(state, proxy_request, true) {
                        return Target::CoHome(home);
                    }
                    position = QueuePosition::Front;
                }
                _ => {
                    let answer = Answer::not_run(Code::DeadlineInQueue, DEFAULT_RETRY_AFTER_MS);
                    log_wait_timeout(proxy_request, &answer, max_wait);
                    return Target::Rejected(answer);
                }
            }
        }
    }

    /// One attempt, hedged by a second if it takes too long and the hedge budget allows it. The
    /// first usable answer wins; the other attempt is dropped, which closes its connection.
    async fn attempt_hedged(
        &self,
        state: &ServiceState,
        proxy_request: &ProxyRequest,
        slot: Slot,
    ) -> Answer {
        let slot_queue = &state.runtime.slot_queue;
        let index = slot.index;
        let first = self.attempt_once(state, proxy_request, slot);
        let Some(delay) = slot_queue.hedge_delay(proxy_request.idempotent) else {
            return first.await;
        };
        tokio::pin!(first);
        tokio::select! {
            answer = &mut first => return answer,
            () = tokio::time::sleep(delay) => {}
        }
        let scope = if state.is_home { ServerScope::Own } else { ServerScope::All };
        let Some(offer) = slot_queue.enqueue_hedge(scope, index) else {
            return first.await;
        };
        let slot = tokio::select! {
            answer = &mut first => return answer,
            offer = offer => offer,
        };
        let Ok(Offer::Slot(slot)) = slot else {
            return first.await;
        };
        self.board.counters.add(Counter::Hedges);
        let second = self.attempt_once(state, proxy_request, slot);
        tokio::pin!(second);
        tokio::select! {
            answer = &mut first => first_useful(answer, second).await,
            answer = &mut second => first_useful(answer, first).await,
        }
    }

    /// Answers a request that is not sent to any server, because it may crash servers.
    fn deny(&self, proxy_request: &ProxyRequest, denial: Denial) -> Answer {
        self.board.counters.add(Counter::Denied);
        let [exact, by_caller, content] = proxy_request.fingerprints.to_hex();
        info!(
            event = "request-denied", id = proxy_request.id().as_ref(),
            content = content.as_str(), exact = exact.as_str(), by_caller = by_caller.as_str(),
            code = denial.code().number(), retry_after_ms = denial.retry_after_ms();
            "request not sent to a server, because it may crash servers"
        );
        Answer::not_run(denial.code(), denial.retry_after_ms())
    }

    /// One attempt on the server of `slot`, unless the quarantine denies the request.
    async fn attempt_once(
        &self,
        state: &ServiceState,
        proxy_request: &ProxyRequest,
        slot: Slot,
    ) -> Answer {
        self.board.counters.add(Counter::Attempts);
        let buffer_bytes = self.board.settings.requests.answer_buffer_bytes;
        let admitted_send = match self
            .board
            .quarantine
            .admit(&proxy_request.fingerprints, &proxy_request.service)
        {
            Ok(admitted_send) => Arc::new(admitted_send),
            Err(denial) => {
                return self.deny(proxy_request, denial);
            }
        };
        let upstream = Arc::clone(&slot.upstream);
        let AttemptResult { answer, leaving, evidence } =
            attempt(proxy_request, &state.spec, slot, buffer_bytes, &admitted_send).await;
        if let Some(evidence) = evidence {
            self.record_reach(state, &upstream, evidence);
        }
        if leaving {
            self.handle_leaving_server(state, &upstream.id);
        }
        if answer.outcome == Outcome::Unknown {
            let crash_check = proxy_request.failed_send(&upstream).check_for_crash(admitted_send);
            if proxy_request.idempotent && proxy_request.remaining_us() > 0 {
                // After the timeout the check goes on in the background.
                let _ = tokio::time::timeout(CRASH_CHECK_WAIT, crash_check).await;
            }
        }
        answer
    }

    /// Records what an attempt or a probe shows about the path to a server.
    pub fn record_reach(&self, state: &ServiceState, upstream: &Upstream, evidence: ReachEvidence) {
        let servers = state.spec.backend_servers.len();
        let service: Arc<str> = state.spec.name.as_str().into();
        self.board.reach.record(&service, upstream.id_hash, evidence, servers);
    }
}
