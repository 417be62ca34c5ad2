//! Whether a request is sent once more, and what is recorded if not.

use log::info;

use super::Dialect;
use super::attempts::Attempts;
use super::forward_request::ForwardRequest;
use super::forwarder::Forwarder;
use crate::board::Counter;
use crate::retry::RetryClass;
use crate::retry::RetryDenial;
use crate::retry::RetryRank;

/// A retry is worthwhile if at least this fraction of the typical duration remains before the
/// deadline.
const RETRY_MIN_TIME_RATIO: f64 = 0.6;

impl<D: Dialect> Forwarder<D> {
    /// Takes a retry of this class from the retry budget if the number of attempts, the remaining
    /// time and the budget allow one; returns whether they do.
    pub(super) fn take_retry(
        &self,
        request: &ForwardRequest,
        attempts: &Attempts,
        class: RetryClass,
    ) -> bool {
        if attempts.sends >= request.route.attempts_max {
            return false;
        }
        let typical_ms =
            self.dispatcher.typical_ms(&request.service, &request.spec(&attempts.servers));
        #[expect(clippy::cast_precision_loss, reason = "milliseconds until a deadline")]
        let time_suffices = request.remaining_ms() as f64 > RETRY_MIN_TIME_RATIO * typical_ms;
        if !time_suffices {
            return false;
        }
        #[expect(clippy::cast_precision_loss, reason = "a latency target of a few seconds")]
        let late = request.spent_ms() + typical_ms > request.route.aim_ms as f64;
        let rank = RetryRank::new(class, request.priority(), late);
        let spent = self.dispatcher.spend_retry(&request.service, rank);
        spent.inspect_err(|denial| self.record_denied_retry(request, rank, denial)).is_ok()
    }

    /// Counts a denied retry, and logs it unless it is a hedge: a request without a hedge goes on,
    /// while one without a retry ends.
    fn record_denied_retry(&self, request: &ForwardRequest, rank: RetryRank, denial: &RetryDenial) {
        if rank.class() == RetryClass::Hedge {
            self.board.counters.add(Counter::HedgesDenied);
            return;
        }
        self.board.counters.add(Counter::RetriesDenied);
        info!(
            event = "retry-denied", id = request.id_text(), service = &*request.service,
            rank = rank.class().name(), priority = request.priority(), late = rank.is_late(),
            reason = denial.reason.name(), allowed = denial.allowed.floor(),
            spent = denial.spent, reserved = denial.reserved.ceil(),
            rejected_percent = (100.0 * denial.rejected_share).round();
            "no further send of a request"
        );
    }
}
