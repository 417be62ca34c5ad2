//! Admission control for requests that find no free slot.

/// Time reserved for the service of a request, in median service times. With only one left, half
/// of the requests would run into their deadlines while a server works on them.
const RESERVED_MEDIANS: u64 = 2;
/// A queue that has lasted for more than this part of the time that a request may wait is no burst:
/// waiting would only add latency, as the same number of requests is served either way.
const BURST_SHARE: u64 = 2;
/// A wait is estimated at most this many times as long as the queue has lasted. The first answers
/// in a burst may have been slow for reasons that pass, such as new connections.
const EXTRAPOLATION_MAX: u64 = 10;
/// Longest wait in a queue that is no burst, in microseconds.
const LASTING_QUEUE_WAIT_MAX_US: u64 = 500_000;
/// Minimum retry-after time. While no server takes requests, callers are told 20 times as long.
const RETRY_AFTER_MIN_MS: u64 = 50;

/// The queue of one service on one instance, as far as known.
#[derive(Clone, Copy, Debug)]
pub struct QueueView {
    /// Requests queued ahead of this one.
    pub waiting: usize,
    /// Time since the queue was last empty, in microseconds.
    pub queue_age_us: u64,
    /// Maximum number of queued requests.
    pub waiting_max: usize,
    /// Slots of the usable servers, free or not.
    pub slots: u32,
    /// Median service time in microseconds; 0 if unknown.
    pub median_service_us: f32,
    /// Time until the deadline, in microseconds.
    pub remaining_us: u64,
}

/// The decision on one request that found no free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may wait for this long.
    Wait {
        at_most_us: u64,
    },
    QueueFull {
        retry_after_ms: u64,
    },
    /// It could not run before its deadline.
    TooLate {
        retry_after_ms: u64,
    },
    /// No server takes requests.
    NoServer {
        retry_after_ms: u64,
    },
}

/// Expected time until the requests ahead and this one get their slots, in microseconds.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "an estimate in microseconds"
)]
fn expected_wait_us(view: &QueueView) -> u64 {
    let per_slot = view.median_service_us / view.slots.max(1) as f32;
    ((view.waiting + 1) as f32 * per_slot) as u64
}

/// Decides on a request that found no free slot. In a burst it may wait for as long as its caller's
/// deadline permits; one that could not run in time is refused at once.
#[must_use]
pub fn decide_admission(view: &QueueView) -> Admission {
    let wait_us = expected_wait_us(view);
    let retry_after_ms = (wait_us / 1000).max(RETRY_AFTER_MIN_MS);
    if view.slots == 0 {
        return Admission::NoServer { retry_after_ms: RETRY_AFTER_MIN_MS * 20 };
    }
    if view.waiting >= view.waiting_max {
        return Admission::QueueFull { retry_after_ms };
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a median of microseconds is small and positive"
    )]
    let median_us = view.median_service_us as u64;
    let until_deadline_us = view.remaining_us.saturating_sub(RESERVED_MEDIANS * median_us);
    let is_burst = view.queue_age_us <= until_deadline_us / BURST_SHARE;
    let at_most_us =
        if is_burst { until_deadline_us } else { until_deadline_us.min(LASTING_QUEUE_WAIT_MAX_US) };
    let known_wait_us = wait_us.min(view.queue_age_us.saturating_mul(EXTRAPOLATION_MAX));
    if known_wait_us > at_most_us || at_most_us == 0 {
        return Admission::TooLate { retry_after_ms };
    }
    Admission::Wait { at_most_us }
}
