//! Sends a request until there is a final reply, with retries and hedging.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use log::info;

use super::Admission;
use super::Dialect;
use super::attempts::Attempts;
use super::dispatcher::Dispatcher;
use super::forward_request::ForwardRequest;
use super::grant::Grant;
use super::memory_budget::MemoryBudget;
use super::peer_forwarder::PeerForwarder;
use super::reply::LocalReply;
use super::reply::Reply;
use super::send::SendResult;
use super::send::Sender;
use super::send::ServerResponse;
use crate::board::Blackboard;
use crate::board::Counter;
use crate::board::Latency;
use crate::clock::now_us;
use crate::errors::Code;
use crate::limit::RateLimit;
use crate::quarantine::CRASH_CHECK_WAIT;
use crate::quarantine::Denial;
use crate::retry::RetryClass;

/// Unreachable servers after which a request is given up. Each costs a connect timeout.
const UNREACHABLE_SERVERS_MAX: u32 = 4;
/// Failed preflight health checks after which a request is sent without one. Each takes about 2 ms.
const PREFLIGHT_CHECKS_MAX: u32 = 4;
/// Time reserved for a hedged request to meet the latency target, as a factor on the typical
/// duration.
const HEDGE_LEAD_RATIO: f64 = 1.3;
/// Minimum delay of a hedged request, as a factor on the typical duration. Most responses have
/// arrived by then.
const HEDGE_MIN_DELAY_RATIO: f64 = 1.5;
/// Retry delay, in milliseconds, after a server refused: immediate but for network latency, since
/// no work was done, other servers may have free slots, and the caller's latency target still
/// applies.
const REFUSED_RETRY_MS: u64 = 20;
/// Retry delay, in milliseconds, if no slot became free before the deadline.
const QUEUE_TIMEOUT_RETRY_MS: u64 = 150;

/// Forwards requests to backend servers. Clones share state.
#[derive(Clone, Debug)]
pub struct Forwarder<D> {
    pub dialect: D,
    pub board: Arc<Blackboard>,
    pub dispatcher: Dispatcher,
    pub admission: Admission,
    /// Memory for buffered responses.
    pub response_memory: Arc<MemoryBudget>,
    pub peer_forwarder: PeerForwarder,
}

impl<D: Dialect> Forwarder<D> {
    /// Forwards a request and returns the final reply, before this instance ends.
    pub async fn forward(&self, request: &ForwardRequest) -> Reply {
        let mut attempts = Attempts::of(request);
        let replied = {
            let replied = pin!(self.forward_until_final(request, &mut attempts));
            self.board.stop_deadline.run(replied).await
        };
        replied.unwrap_or_else(|| attempts.interrupted_by_stop().into())
    }

    async fn forward_until_final(
        &self,
        request: &ForwardRequest,
        attempts: &mut Attempts,
    ) -> Reply {
        loop {
            if let Some(denial) = self.board.quarantine.denial(&request.fingerprints) {
                return self.denied_reply(request, attempts, denial).into();
            }
            if request.origin.may_forward() && self.dispatcher.reach().is_lost(&request.service) {
                attempts.awaits_answer = true;
                return self.forward_to_peer(request, attempts).await;
            }
            self.count(request, attempts);
            let grant = match self.acquire_or_lose(request, attempts).await {
                Some(Ok(grant)) => grant,
                Some(Err(_)) if self.turns_out_lost(request).await => continue,
                Some(Err(reply)) => return reply.into(),
                None => continue,
            };
            if let Err(reply) = self.admission.check_caller(request.caller.as_ref()) {
                return attempts.rejected(reply).into();
            }
            attempts.awaits_answer = true;
            let result = self.send_hedged(request, grant, attempts).await;
            attempts.awaits_answer = false;
            match self.handle_result(request, result, attempts) {
                Some(reply)
                    if reply.code == Code::ConnectFailed && self.turns_out_lost(request).await => {}
                Some(reply) => return reply,
                None => self.board.counters.add(Counter::Retries),
            }
        }
    }

    /// Counts the request towards the retry budget, at one instance only.
    fn count(&self, request: &ForwardRequest, attempts: &mut Attempts) {
        if !std::mem::replace(&mut attempts.counted, true) {
            self.dispatcher.count_request(&request.service);
        }
    }

    /// Logs the end of a request.
    pub(super) fn log_request(&self, request: &ForwardRequest, reply: &Reply) {
        let took = Duration::from_micros(now_us().saturating_sub(request.arrived_us));
        self.board.latencies.record(Latency::Request, took, reply.code.name());
        info!(
            event = "request", id = request.id_text(), route = request.route.name.as_str(),
            workspace = request.caller.as_ref().map(|caller| &*caller.workspace.name),
            service = &*request.service, version = self.config_version(),
            status = reply.status.as_u16(), code = reply.code.number(),
            from_caller = request.origin.may_forward(),
            took_ms = took.as_millis(), spent_before_ms = request.spent_before_us / 1000,
            allowed_ms = request.deadline_us.saturating_sub(request.arrived_us) / 1000;
            "request completed"
        );
    }

    /// Waits for a slot, or returns the reply that none is available.
    pub(super) async fn acquire(
        &self,
        request: &ForwardRequest,
        attempts: &Attempts,
    ) -> Result<Grant, LocalReply> {
        let remaining = Duration::from_millis(request.remaining_ms());
        let spec = request.spec(&attempts.servers);
        let acquire = self.dispatcher.acquire(&request.service, spec.clone());
        let began_us = now_us();
        let acquired = tokio::time::timeout(remaining, acquire).await;
        let waited = Duration::from_micros(now_us().saturating_sub(began_us));
        let outcome = if matches!(acquired, Ok(Ok(_))) { "granted" } else { "refused" };
        self.board.latencies.record(Latency::Wait, waited, outcome);
        let refusal = match acquired {
            Ok(Ok(grant)) => return Ok(grant),
            Ok(Err(refusal)) => refusal,
            Err(_) => self.dispatcher.refusal(&request.service, QUEUE_TIMEOUT_RETRY_MS),
        };
        let code = if refusal.no_server { Code::NoServer } else { Code::QueueFull };
        info!(
            event = "no-slot", id = request.id_text(), service = &*request.service,
            no_server = refusal.no_server, retry_after_ms = refusal.retry_after_ms,
            waiting = refusal.waiting, slots = refusal.slots,
            in_need = refusal.rate_limited, resting = refusal.in_cooldown,
            waited_ms = waited.as_millis(), target_left_ms = spec.target_left_ms(now_us()).round(),
            typical_ms = self.dispatcher.typical_ms(&request.service, &spec).round(),
            sends = attempts.sends, may_have_run = attempts.may_have_run;
            "no slot became free in time"
        );
        if attempts.may_have_run {
            return Err(LocalReply::unknown(Code::AnswerLost));
        }
        Err(LocalReply::not_run(code, refusal.retry_after_ms))
    }

    /// The reply to a request that is not sent because it may crash servers.
    fn denied_reply(
        &self,
        request: &ForwardRequest,
        attempts: &Attempts,
        denial: Denial,
    ) -> LocalReply {
        self.board.counters.add(Counter::Denied);
        let [exact, by_caller, content] = request.fingerprints.to_hex();
        info!(
            event = "request-denied", id = request.id_text(), content = content.as_str(),
            exact = exact.as_str(), by_caller = by_caller.as_str(),
            code = denial.code().number(), retry_after_ms = denial.retry_after_ms(),
            sends = attempts.sends, may_have_run = attempts.may_have_run;
            "request not sent to a server, because it may crash servers"
        );
        attempts.not_run(denial.code(), denial.retry_after_ms())
    }

    /// The final reply, or `None` if the request is to be sent again.
    fn handle_result(
        &self,
        request: &ForwardRequest,
        result: SendResult,
        attempts: &mut Attempts,
    ) -> Option<Reply> {
        let idempotent = request.route.idempotent();
        let class = request.retry_class();
        match result {
            SendResult::Answered(response) => {
                let failed = response.status.is_server_error();
                if failed && idempotent && self.take_retry(request, attempts, class) {
                    attempts.may_have_run = true;
                    return None;
                }
                Some(server_reply(response))
            }
            SendResult::Refused { status } => {
                if status != StatusCode::BAD_REQUEST && self.take_retry(request, attempts, class) {
                    return None;
                }
                Some(attempts.not_run(Code::NoRepeatLeft, REFUSED_RETRY_MS).into())
            }
            SendResult::Unfit { silent } => {
                attempts.sends -= 1;
                attempts.unfit += 1;
                if !silent {
                    attempts.servers.pop();
                }
                None
            }
            SendResult::NotSent => {
                attempts.sends -= 1;
                attempts.unreachable += 1;
                if attempts.unreachable < UNREACHABLE_SERVERS_MAX && request.remaining_ms() > 0 {
                    return None;
                }
                Some(attempts.not_run(Code::ConnectFailed, REFUSED_RETRY_MS).into())
            }
            SendResult::Denied(denial) => Some(self.denied_reply(request, attempts, denial).into()),
            SendResult::TimedOut => Some(LocalReply::unknown(Code::DeadlineAfterDispatch).into()),
            SendResult::Lost(_) | SendResult::UnprovedRefusal { .. } => {
                attempts.may_have_run = true;
                if idempotent && self.take_retry(request, attempts, class) {
                    return None;
                }
                Some(LocalReply::unknown(lost_code(&result)).into())
            }
        }
    }

    /// Sends a request, and hedges it on a second server if the response is late, the request is
    /// idempotent, and a slot is free that no queued request needs. The first conclusive result is
    /// used and the other attempt is cancelled.
    async fn send_hedged(
        &self,
        request: &ForwardRequest,
        grant: Grant,
        attempts: &mut Attempts,
    ) -> SendResult {
        let hedge_after = self.hedge_after(request, attempts);
        let first = self.send_once(request, grant, attempts);
        let Some(hedge_after) = hedge_after else {
            return first.await;
        };
        tokio::pin!(first);
        tokio::select! {
            result = &mut first => return result,
            () = tokio::time::sleep(hedge_after) => {}
        }
        let spec = request.spec(&attempts.servers);
        let Some(spare) = self.dispatcher.try_acquire_spare(&request.service, &spec) else {
            return first.await;
        };
        if !self.take_retry(request, attempts, RetryClass::Hedge) {
            return first.await;
        }
        self.board.counters.add(Counter::Hedges);
        // The first attempt may have run, whatever the second returns.
        attempts.may_have_run = true;
        let second = self.send_once(request, spare, attempts);
        tokio::pin!(second);
        tokio::select! {
            result = &mut first => if is_conclusive(&result) { result } else { second.await },
            result = &mut second => if is_conclusive(&result) { result } else { first.await },
        }
    }

    /// Delay after which a hedged request may be sent; `None` if the request must not be hedged.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "non-negative milliseconds"
    )]
    fn hedge_after(&self, request: &ForwardRequest, attempts: &Attempts) -> Option<Duration> {
        if !request.route.idempotent() || attempts.sends + 1 >= request.route.attempts_max {
            return None;
        }
        let typical_ms = self.dispatcher.typical_ms(&request.service, &request.spec(&[]));
        let target_left_ms = request.route.aim_ms as f64 - request.spent_ms();
        let after_ms = (target_left_ms - HEDGE_LEAD_RATIO * typical_ms)
            .max(HEDGE_MIN_DELAY_RATIO * typical_ms);
        Some(Duration::from_millis(after_ms as u64))
    }

    /// Counts an attempt and sends the request once.
    fn send_once<'a>(
        &'a self,
        request: &'a ForwardRequest,
        grant: Grant,
        attempts: &mut Attempts,
    ) -> impl Future<Output = SendResult> + use<'a, D> {
        let server = Arc::clone(&grant.server);
        attempts.servers.push(Arc::clone(&server.row.id));
        attempts.sends += 1;
        let sends = attempts.sends;
        self.board.counters.add(Counter::Attempts);
        // Bounded, so that the request is eventually sent even if every preflight check fails.
        let health_path =
            (attempts.unfit < PREFLIGHT_CHECKS_MAX).then(|| request.health_path.clone()).flatten();
        async move {
            let admitted_send =
                match self.board.quarantine.admit(&request.fingerprints, &request.service) {
                    Ok(admitted_send) => Arc::new(admitted_send),
                    Err(denial) => return SendResult::Denied(denial),
                };
            let started_us = now_us();
            let choice = grant.choice.clone();
            let sender = Sender {
                dialect: &self.dialect,
                dispatcher: &self.dispatcher,
                response_memory: &self.response_memory,
                admitted_send: &admitted_send,
            };
            let result = sender.send(request, grant, health_path.as_deref()).await;
            if let Some(refused) = result.refusal() {
                self.dispatcher.record_response(&request.service, refused);
            }
            let took = Duration::from_micros(now_us().saturating_sub(started_us));
            self.board.latencies.record(Latency::Send, took, result.name());
            let took_ms = took.as_millis();
            info!(
                event = "send", id = request.id_text(), service = &*request.service,
                server = &*server.row.id, send = sends, took_ms = took_ms, outcome = result.name(),
                running = choice.running, expected_ms = choice.expected_ms.round(),
                pace_age_us = choice.slowdown_age_us, cold = choice.cold,
                limit_per_s = choice.rate_limit.map(RateLimit::per_s),
                limit_age_us = choice.rate_limit_age_us;
                "attempt finished"
            );
            if let SendResult::Refused { status: StatusCode::MISDIRECTED_REQUEST } = result {
                // Another server now has this address; nothing more may be sent there.
                self.dispatcher.unlist_displaced(&server);
            }
            // A saturated server that is silent to one request and responds to others has not
            // crashed. Probing it with a new connection would only add load.
            let is_alive = matches!(result, SendResult::TimedOut)
                && self.dispatcher.reported_load_since(&server, started_us);
            if result.without_response() && !is_alive {
                let crash_check = request.failed_send(&server).check_for_crash(admitted_send);
                let will_retry = request.route.idempotent() && request.remaining_ms() > 0;
                if will_retry {
                    // If it takes longer, the probe continues in the background.
                    let _ = tokio::time::timeout(CRASH_CHECK_WAIT, crash_check).await;
                }
            }
            result
        }
    }
}

/// Whether a result is final, so that the other attempt can be cancelled.
fn is_conclusive(result: &SendResult) -> bool {
    match result {
        SendResult::Answered(response) => !response.status.is_server_error(),
        SendResult::TimedOut => true,
        _ => false,
    }
}

fn server_reply(response: ServerResponse) -> Reply {
    let ServerResponse { status, headers, body } = response;
    Reply { status, headers, body, code: Code::Ok, retry_after_ms: None }
}

const fn lost_code(result: &SendResult) -> Code {
    match result {
        SendResult::Lost(super::server_conn::ExchangeError::Truncated) => Code::AnswerTruncated,
        SendResult::Lost(super::server_conn::ExchangeError::Garbled) => Code::AnswerGarbled,
        SendResult::UnprovedRefusal { .. } => Code::FailureUnproved,
        _ => Code::AnswerLost,
    }
}
