//! Whether an attempt is followed by another.

/// Retries allowed per request of a service.
pub const RETRY_SHARE: f32 = 0.02;
/// Attempts in a row on one request, hedges not counted.
const ATTEMPTS_MAX: u32 = 3;

/// What is known after an attempt that brought no usable answer.
#[derive(Clone, Copy, Debug)]
pub struct RetryView {
    pub idempotent: bool,
    /// No byte of the request was handed to any connection.
    pub not_run: bool,
    /// Attempts made so far, this one included.
    pub attempts: u32,
    pub remaining_us: u64,
    pub median_service_us: f32,
    /// Whether the retry budget has a token.
    pub has_budget_left: bool,
}

/// Whether to try once more on another server.
///
/// A request that must not repeat is tried again only after `not_run`: everything else may have
/// run, and a second run is what its operator ruled out.
#[must_use]
pub fn may_retry(view: &RetryView) -> bool {
    let safe = view.idempotent || view.not_run;
    #[expect(clippy::cast_precision_loss, reason = "a bound on time left")]
    let in_time = view.remaining_us as f32 > view.median_service_us;
    safe && in_time && view.attempts < ATTEMPTS_MAX && view.has_budget_left
}
