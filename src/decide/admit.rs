//! Whether a request may wait for a slot, or gets its final answer at once.

/// Nobody waits longer than this for a slot, however late the deadline: a longer queue only
/// moves the overload into the latency of those admitted.
const WAIT_MAX_US: u64 = 500_000;
const RETRY_AFTER_MIN_MS: u64 = 50;

/// What is known of the queue of one service on one instance.
#[derive(Clone, Copy, Debug)]
pub struct QueueView {
    /// Requests that wait already.
    pub waiting: usize,
    /// Most that may wait.
    pub waiting_max: usize,
    /// Slots of the servers that may be used, free or not.
    pub slots: u32,
    /// Median service time; 0 when unknown.
    pub median_service_us: f32,
    /// Time until the deadline.
    pub remaining_us: u64,
}

/// The decision on one request that found no free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may wait this long.
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
    /// No server may take work.
    NoServer {
        retry_after_ms: u64,
    },
}

/// How long the requests that wait already will take to get their slots.
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

/// Decides on a request that found no free slot.
#[must_use]
pub fn admit(view: &QueueView) -> Admission {
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
    let work_us = view.median_service_us as u64;
    let at_most_us = view.remaining_us.saturating_sub(work_us).min(WAIT_MAX_US);
    if wait_us > at_most_us || at_most_us == 0 {
        return Admission::TooLate { retry_after_ms };
    }
    Admission::Wait { at_most_us }
}
