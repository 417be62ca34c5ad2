//! The decision whether to retry a failed attempt.

/// Retries allowed per request of a service.
pub const RETRY_SHARE: f32 = 0.02;
/// Maximum number of consecutive attempts per request, not counting hedges.
const ATTEMPTS_MAX: u32 = 3;

/// State after an attempt without a usable answer.
#[derive(Clone, Copy, Debug)]
pub struct RetryView {
    pub idempotent: bool,
    /// Whether no byte of the request was written to any connection.
    pub not_run: bool,
    /// Attempts so far, including this one.
    pub attempts: u32,
    pub remaining_us: u64,
    pub median_service_us: f32,
    /// Whether the retry budget has a token.
    pub has_budget_left: bool,
}

/// Whether to try again on another server.
///
/// A request that is not idempotent is retried only after `not_run`. Any other failed attempt may
/// have run, and its operator does not allow a second run.
#[must_use]
pub fn may_retry(view: &RetryView) -> bool {
    let safe = view.idempotent || view.not_run;
    #[expect(clippy::cast_precision_loss, reason = "a bound on time left")]
    let in_time = view.remaining_us as f32 > view.median_service_us;
    safe && in_time && view.attempts < ATTEMPTS_MAX && view.has_budget_left
}
