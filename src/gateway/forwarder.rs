//! Sends a request until it has its final answer: attempts, hedges and refusals.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use log::info;
use smallvec::SmallVec;

use super::Admission;
use super::Dialect;
use super::dispatcher::Dispatcher;
use super::forward_request::ForwardRequest;
use super::grant::Grant;
use super::memory_room::MemoryBudget;
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

/// Servers that could not be reached before the request is given up; each costs a connect
/// timeout.
const UNREACHABLE_SERVERS_MAX: u32 = 4;
/// Servers that are asked how they are before one request; each takes some two milliseconds.
const PREFLIGHT_CHECKS_MAX: u32 = 4;
/// A send that still can answer within this part of the usual time is worth making.
const RETRY_MIN_TIME_RATIO: f64 = 0.6;
/// A second send goes out when the first would miss the aim if it had to start now, less this
/// part of the usual time for its own way.
const HEDGE_LEAD_RATIO: f64 = 1.3;
/// No second send before this part of the usual time: most answers are there by then.
const HEDGE_MIN_DELAY_RATIO: f64 = 1.5;
/// When to come back after a server refused: at once, but for the way. It refused without having
/// worked, others may have room, and the caller's aim runs on.
const REFUSED_RETRY_MS: u64 = 20;
/// When to come back after no slot came free before the deadline.
const QUEUE_TIMEOUT_RETRY_MS: u64 = 150;

/// Forwards requests; clones share.
#[derive(Clone, Debug)]
pub struct Forwarder<D> {
    pub dialect: D,
    pub board: Arc<Blackboard>,
    pub dispatcher: Dispatcher,
    pub admission: Admission,
    /// For answers that are held whole.
    pub response_memory: Arc<MemoryBudget>,
}

/// What has been tried for one request.
#[derive(Debug, Default)]
struct Attempts {
    servers: SmallVec<[Arc<str>; 4]>,
    /// Servers that the request was handed to.
    sends: u32,
    unreachable: u32,
    /// Servers that were asked before and not used.
    unfit: u32,
    may_have_run: bool,
}

impl<D: Dialect> Forwarder<D> {
    /// The final answer to a request.
    pub async fn forward(&self, request: &ForwardRequest) -> Reply {
        self.dispatcher.count_request(&request.service);
        let mut tried = Attempts::default();
        loop {
            if let Some(denial) = self.board.quarantine.denial(&request.fingerprints) {
                return self.denied_reply(request, &tried, denial).into();
            }
            let grant = match self.acquire(request, &tried).await {
                Ok(grant) => grant,
                Err(own) => return own.into(),
            };
            if let Err(own) = self.admission.check_caller(request.caller.as_ref()) {
                return tried.rejected(own).into();
            }
            let result = self.send_hedged(request, grant, &mut tried).await;
            match self.handle_result(request, result, &mut tried) {
                Some(reply) => return reply,
                None => self.board.counters.add(Counter::Retries),
            }
        }
    }

    /// A slot, or the answer that there is none.
    async fn acquire(
        &self,
        request: &ForwardRequest,
        tried: &Attempts,
    ) -> Result<Grant, LocalReply> {
        let left = Duration::from_millis(request.remaining_ms());
        let acquire = self.dispatcher.acquire(&request.service, request.spec(&tried.servers));
        let began_us = now_us();
        let acquired = tokio::time::timeout(left, acquire).await;
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
            sends = tried.sends, may_have_run = tried.may_have_run;
            "no slot in time"
        );
        if tried.may_have_run {
            return Err(LocalReply::unknown(Code::AnswerLost));
        }
        Err(LocalReply::not_run(code, refusal.retry_after_ms))
    }

    /// Whether another send is allowed: attempts, time, and the budget of repeats.
    fn may_retry(&self, request: &ForwardRequest, tried: &Attempts) -> bool {
        if tried.sends >= request.route.attempts_max {
            return false;
        }
        let usual_ms = self.dispatcher.typical_ms(&request.service, &request.spec(&tried.servers));
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of a deadline")]
        let enough = request.remaining_ms() as f64 > RETRY_MIN_TIME_RATIO * usual_ms;
        enough && self.dispatcher.spend_retry(&request.service, request.retry_need())
    }

    /// The answer to a request that is not sent on, since it may crash servers.
    fn denied_reply(
        &self,
        request: &ForwardRequest,
        tried: &Attempts,
        denial: Denial,
    ) -> LocalReply {
        self.board.counters.add(Counter::Denied);
        let [exact, by_caller, content] = request.fingerprints.to_hex();
        info!(
            event = "request-denied", id = request.id_text(), content = content.as_str(),
            exact = exact.as_str(), by_caller = by_caller.as_str(),
            code = denial.code().number(), retry_after_ms = denial.retry_after_ms(),
            sends = tried.sends, may_have_run = tried.may_have_run;
            "not sent on, since it may crash servers"
        );
        tried.not_run(denial.code(), denial.retry_after_ms())
    }

    /// The final answer, or `None` when the request is to be sent again.
    fn handle_result(
        &self,
        request: &ForwardRequest,
        result: SendResult,
        tried: &mut Attempts,
    ) -> Option<Reply> {
        let idempotent = request.route.idempotent();
        match result {
            SendResult::Answered(answer) => {
                let failed = answer.status.is_server_error();
                if failed && idempotent && self.may_retry(request, tried) {
                    tried.may_have_run = true;
                    return None;
                }
                Some(server_reply(answer))
            }
            SendResult::Refused { status } => {
                if status != StatusCode::BAD_REQUEST && self.may_retry(request, tried) {
                    return None;
                }
                Some(tried.not_run(Code::NoRepeatLeft, REFUSED_RETRY_MS).into())
            }
            SendResult::Unfit { silent } => {
                tried.sends -= 1;
                tried.unfit += 1;
                if !silent {
                    tried.servers.pop();
                }
                None
            }
            SendResult::NotSent => {
                tried.sends -= 1;
                tried.unreachable += 1;
                if tried.unreachable < UNREACHABLE_SERVERS_MAX && request.remaining_ms() > 0 {
                    return None;
                }
                Some(tried.not_run(Code::ConnectFailed, REFUSED_RETRY_MS).into())
            }
            SendResult::Denied(denial) => Some(self.denied_reply(request, tried, denial).into()),
            SendResult::TimedOut => Some(LocalReply::unknown(Code::DeadlineAfterDispatch).into()),
            SendResult::Lost(_) | SendResult::UnprovedRefusal { .. } => {
                tried.may_have_run = true;
                if idempotent && self.may_retry(request, tried) {
                    return None;
                }
                Some(LocalReply::unknown(lost_code(&result)).into())
            }
        }
    }

    /// One send, joined by a second when the first is late, the request may run twice, and a slot
    /// is free that nobody waits for. The first whole answer counts; the other send is dropped.
    async fn send_hedged(
        &self,
        request: &ForwardRequest,
        grant: Grant,
        tried: &mut Attempts,
    ) -> SendResult {
        let hedge_at = self.hedge_after(request, tried);
        let first = self.send_once(request, grant, tried);
        let Some(hedge_after) = hedge_at else {
            return first.await;
        };
        tokio::pin!(first);
        tokio::select! {
            result = &mut first => return result,
            () = tokio::time::sleep(hedge_after) => {}
        }
        let ask = request.spec(&tried.servers);
        let Some(spare) = self.dispatcher.try_acquire_spare(&request.service, &ask) else {
            return first.await;
        };
        if !self.may_retry(request, tried) {
            return first.await;
        }
        self.board.counters.add(Counter::Hedges);
        // Whatever the second comes to, the first is out.
        tried.may_have_run = true;
        let second = self.send_once(request, spare, tried);
        tokio::pin!(second);
        tokio::select! {
            result = &mut first => if is_conclusive(&result) { result } else { second.await },
            result = &mut second => if is_conclusive(&result) { result } else { first.await },
        }
    }

    /// How long to wait for the first send before a second one may join it.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "milliseconds, kept above zero"
    )]
    fn hedge_after(&self, request: &ForwardRequest, tried: &Attempts) -> Option<Duration> {
        if !request.route.idempotent() || tried.sends + 1 >= request.route.attempts_max {
            return None;
        }
        let usual_ms = self.dispatcher.typical_ms(&request.service, &request.spec(&[]));
        let here_us = now_us().saturating_sub(request.arrived_us);
        let spent_ms = (here_us + request.spent_us) as f64 / 1000.0;
        let left_for_aim_ms = request.route.aim_ms as f64 - spent_ms;
        let after_ms =
            (left_for_aim_ms - HEDGE_LEAD_RATIO * usual_ms).max(HEDGE_MIN_DELAY_RATIO * usual_ms);
        Some(Duration::from_millis(after_ms as u64))
    }

    /// Counts a send and starts it.
    fn send_once<'a>(
        &'a self,
        request: &'a ForwardRequest,
        grant: Grant,
        tried: &mut Attempts,
    ) -> impl Future<Output = SendResult> + use<'a, D> {
        let server = Arc::clone(&grant.server);
        tried.servers.push(Arc::clone(&server.row.id));
        tried.sends += 1;
        let sends = tried.sends;
        self.board.counters.add(Counter::Attempts);
        // Bounded, so that a request is sent at last even if all servers look worse each time.
        let health_path =
            (tried.unfit < PREFLIGHT_CHECKS_MAX).then(|| request.health_path.clone()).flatten();
        async move {
            let trial = match self.board.quarantine.admit(&request.fingerprints, &request.service) {
                Ok(trial) => Arc::new(trial),
                Err(denial) => return SendResult::Denied(denial),
            };
            let started_us = now_us();
            let choice = grant.choice.clone();
            let sender = Sender {
                dialect: &self.dialect,
                dispatcher: &self.dispatcher,
                response_memory: &self.response_memory,
                admitted_send: &trial,
            };
            let result = sender.send(request, grant, health_path.as_deref()).await;
            let took = Duration::from_micros(now_us().saturating_sub(started_us));
            self.board.latencies.record(Latency::Send, took, result.name());
            let took_ms = took.as_millis();
            info!(
                event = "send", id = request.id_text(), service = &*request.service,
                server = &*server.row.id, send = sends, took_ms = took_ms, outcome = result.name(),
                running = choice.running, expected_ms = choice.expected_ms.round(),
                pace_age_us = choice.slowdown_age_us, cold = choice.cold,
                limit_per_s = choice.rate_limit.map(RateLimit::per_s), limit_age_us = choice.rate_limit_age_us;
                "send ended"
            );
            if let SendResult::Refused { status: StatusCode::MISDIRECTED_REQUEST } = result {
                // Another server has the address now; nothing more may be sent there.
                self.dispatcher.unlist_displaced(&server);
            }
            // A full server that is silent to one request and answers others has not ended; asked
            // for a connection, it would only have more to do.
            let lives = matches!(result, SendResult::TimedOut)
                && self.dispatcher.reported_load_since(&server, started_us);
            if result.without_response() && !lives {
                let looked = request.failed_send(&server).check_for_crash(trial);
                let goes_on = request.route.idempotent() && request.remaining_ms() > 0;
                if goes_on {
                    // Still looking after that, it goes on by itself.
                    let _ = tokio::time::timeout(CRASH_CHECK_WAIT, looked).await;
                }
            }
            result
        }
    }
}

impl Attempts {
    /// An answer of this instance's own, unless an earlier send may have run.
    fn rejected(&self, own: LocalReply) -> LocalReply {
        if self.may_have_run { LocalReply::unknown(Code::AnswerLost) } else { own }
    }

    /// A refusal, unless an earlier send may have run: that a later one did not run does not undo
    /// the earlier one.
    fn not_run(&self, code: Code, retry_after_ms: u64) -> LocalReply {
        self.rejected(LocalReply::not_run(code, retry_after_ms))
    }
}

/// Whether a result settles the request, so that the other send is not needed.
fn is_conclusive(result: &SendResult) -> bool {
    match result {
        SendResult::Answered(answer) => !answer.status.is_server_error(),
        SendResult::TimedOut => true,
        _ => false,
    }
}

fn server_reply(answer: ServerResponse) -> Reply {
    let ServerResponse { status, headers, body } = answer;
    Reply { status, headers, body, code: Code::Ok }
}

const fn lost_code(result: &SendResult) -> Code {
    match result {
        SendResult::Lost(super::server_conn::ExchangeError::Truncated) => Code::AnswerTruncated,
        SendResult::Lost(super::server_conn::ExchangeError::Garbled) => Code::AnswerGarbled,
        SendResult::UnprovedRefusal { .. } => Code::FailureUnproved,
        _ => Code::AnswerLost,
    }
}
