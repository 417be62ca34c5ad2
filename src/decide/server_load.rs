//! Load of one backend server as this instance knows it.

/// Consecutive failures after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// First ejection time; doubles with each ejection in a row.
const EJECTION_BASE_MS: u64 = 500;
/// Maximum number of doublings of the ejection time.
const EJECTION_DOUBLINGS_MAX: u32 = 6;
/// Time in which the limit of a new or returning server rises to its full value.
const RAMP_UP_MS: u64 = 1_000;
/// Factor on the concurrency limit after a refusal.
const LIMIT_DECREASE_FACTOR: f32 = 0.7;
/// Weight of a sample in the moving average of the latency.
const LATENCY_SAMPLE_WEIGHT: f32 = 0.2;
/// A latency older than this is ignored, so that the server is tried again.
pub(super) const LATENCY_AGE_MAX_US: u64 = 1_000_000;
/// A server in use is stalled after this many median service times without progress.
const STALL_FACTOR: f32 = 2.5;
/// A load report older than this is ignored.
const REPORT_AGE_MAX_MS: u64 = 200;

/// The servers that a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerScope {
    /// Servers whose slots this instance hands out as their keeper.
    Own,
    /// All servers, because no keeper can be reached.
    All,
}

/// How an attempt ended, as far as it concerns the server's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete answer that is not a failure.
    Answered { latency_us: u64 },
    /// The server reported that it did not run the request.
    Refused,
    /// As `Refused`, and the server asked this instance to send nothing for this time.
    RefusedWithCooldown { cooldown_us: u64 },
    /// Connection fault, truncated answer or failure status.
    Failed,
    /// The caller disconnected, or another attempt was answered first.
    Cancelled,
}

/// Load of one server in a [`super::SlotPool`].
#[derive(Clone, Debug)]
pub struct ServerLoad {
    /// At least 1.
    pub slots: u32,
    /// Whether this instance is the keeper that hands out this server's slots.
    pub is_keeper: bool,
    /// Whether the server drains or leaves, and so gets no new requests.
    pub closed: bool,
    /// Requests of this instance in flight; never above the limit while `is_keeper` does not
    /// change.
    pub in_flight: u32,
    /// Adaptive concurrency limit, from 1 to `slots`.
    concurrency_limit: f32,
    /// Moving average of service times; 0 before the first.
    latency_us: f32,
    /// When the last sample of `latency_us` was taken.
    last_sample_us: u64,
    /// When the server last completed a request, or got one while idle.
    last_progress_us: u64,
    consecutive_failures: u32,
    /// Consecutive ejections without an answer in between.
    ejections: u32,
    ejected_until_us: u64,
    cooldown_until_us: u64,
    /// Start of the ramp-up to the full limit.
    ramp_up_from_us: u64,
    /// Requests in flight from all instances, according to the server's last response or probe.
    reported_in_flight: u32,
    reported_us: u64,
}

impl ServerLoad {
    /// A server that has been in use for long.
    #[must_use]
    pub fn warm(slots: u32) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "slots are at most 10,000")]
        let concurrency_limit = slots as f32;
        Self {
            slots,
            is_keeper: true,
            closed: false,
            in_flight: 0,
            concurrency_limit,
            latency_us: 0.0,
            last_sample_us: 0,
            last_progress_us: 0,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until_us: 0,
            cooldown_until_us: 0,
            ramp_up_from_us: 0,
            reported_in_flight: 0,
            reported_us: 0,
        }
    }

    /// A server that starts cold now.
    #[must_use]
    pub fn cold(slots: u32, now_us: u64) -> Self {
        Self { ramp_up_from_us: now_us, ..Self::warm(slots) }
    }

    /// Restarts the ramp-up, as the server takes requests again after a pause. Its requests in
    /// flight remain counted.
    pub fn restart_ramp_up(&mut self, now_us: u64) {
        let Self { in_flight, is_keeper, cooldown_until_us, .. } = *self;
        *self = Self { is_keeper, in_flight, cooldown_until_us, ..Self::cold(self.slots, now_us) };
    }

    /// Whether the server may be used, whatever its load.
    #[must_use]
    pub fn usable(&self, now_us: u64) -> bool {
        !self.closed && now_us >= self.ejected_until_us.max(self.cooldown_until_us)
    }

    /// Requests that this instance may have in flight there now; at least 1.
    #[must_use]
    pub fn current_limit(&self, now_us: u64) -> u32 {
        let age_us = now_us.saturating_sub(self.ramp_up_from_us);
        let full_limit = self.concurrency_limit.max(1.0);
        if age_us >= RAMP_UP_MS * 1000 {
            return floor(full_limit);
        }
        #[expect(clippy::cast_precision_loss, reason = "a share needs no more precision")]
        let share = age_us as f32 / (RAMP_UP_MS * 1000) as f32;
        floor((full_limit * share).max(1.0))
    }

    /// Whether the server has a slot that this instance may take now.
    #[must_use]
    pub fn has_free_slot(&self, scope: ServerScope, now_us: u64) -> bool {
        self.in_scope(scope)
            && self.usable(now_us)
            && self.load(now_us) < self.current_limit(now_us)
    }

    /// Whether `scope` includes this server.
    #[must_use]
    pub fn in_scope(&self, scope: ServerScope) -> bool {
        self.is_keeper || scope == ServerScope::All
    }

    /// Own requests in flight, or the reported load if that is recent and higher.
    ///
    /// An old or low report never makes a server look less loaded than this instance's own requests
    /// there.
    #[must_use]
    pub fn load(&self, now_us: u64) -> u32 {
        let fresh = now_us.saturating_sub(self.reported_us) < REPORT_AGE_MAX_MS * 1000;
        if fresh && !self.is_keeper {
            self.in_flight.max(self.reported_in_flight)
        } else {
            self.in_flight
        }
    }

    /// Whether requests are in flight there and none has completed for too long.
    ///
    /// Detects within a few service times that a server became slow. The mean latency shows it only
    /// once the slow answers have arrived.
    #[must_use]
    pub fn stalled(&self, median_us: f32, now_us: u64) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "microseconds of one stall")]
        let silent_us = now_us.saturating_sub(self.last_progress_us) as f32;
        self.in_flight > 0 && median_us > 0.0 && silent_us > STALL_FACTOR * median_us
    }

    /// Moving average of the service times in microseconds; 0 before the first.
    #[must_use]
    pub const fn latency_us(&self) -> f32 {
        self.latency_us
    }

    /// Records the start of an attempt.
    pub fn record_start(&mut self, now_us: u64) {
        if self.in_flight == 0 {
            self.last_progress_us = now_us;
        }
        self.in_flight += 1;
    }

    /// Records the end of an attempt. The server is only ejected if `may_eject`, which limits how
    /// many are ejected at once.
    pub fn record_outcome(&mut self, outcome: AttemptOutcome, may_eject: bool, now_us: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered { latency_us } => self.record_answer(latency_us, now_us),
            AttemptOutcome::Refused => self.record_refusal(),
            AttemptOutcome::RefusedWithCooldown { cooldown_us } => {
                self.record_refusal();
                self.cooldown_until_us =
                    self.cooldown_until_us.max(now_us.saturating_add(cooldown_us));
            }
            AttemptOutcome::Failed => self.record_failure(may_eject, now_us),
            AttemptOutcome::Cancelled => {}
        }
    }

    fn record_refusal(&mut self) {
        self.concurrency_limit = (self.concurrency_limit * LIMIT_DECREASE_FACTOR).max(1.0);
    }

    fn record_answer(&mut self, latency_us: u64, now_us: u64) {
        let stale = self.latency_age_us(now_us) > LATENCY_AGE_MAX_US;
        self.last_sample_us = now_us;
        self.last_progress_us = now_us;
        self.consecutive_failures = 0;
        self.ejections = 0;
        #[expect(clippy::cast_precision_loss, reason = "an average needs no more precision")]
        let latency = latency_us as f32;
        if self.latency_us == 0.0 || stale {
            self.latency_us = latency;
        }
        self.latency_us += LATENCY_SAMPLE_WEIGHT * (latency - self.latency_us);
        #[expect(clippy::cast_precision_loss, reason = "slots are at most 10,000")]
        let slots = self.slots as f32;
        self.concurrency_limit = (self.concurrency_limit + 1.0 / self.concurrency_limit).min(slots);
    }

    /// Records a failure. A server that fails instantly must not look idle and attract all
    /// requests, so it is ejected after a few failures in a row, each time for longer.
    fn record_failure(&mut self, may_eject: bool, now_us: u64) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_TO_EJECT && may_eject {
            let doublings = self.ejections.min(EJECTION_DOUBLINGS_MAX);
            self.ejected_until_us = now_us + ((EJECTION_BASE_MS * 1000) << doublings);
            self.ejections += 1;
            self.ramp_up_from_us = self.ejected_until_us;
            // After the ejection a single failure ejects it again.
            self.consecutive_failures = FAILURES_TO_EJECT - 1;
        }
    }

    /// Whether the server is ejected.
    #[must_use]
    pub const fn is_ejected(&self, now_us: u64) -> bool {
        now_us < self.ejected_until_us
    }

    /// Records the load that the server reported.
    pub fn record_load(&mut self, in_flight: u32, now_us: u64) {
        self.reported_in_flight = in_flight;
        self.reported_us = now_us;
    }

    /// Time since the last sample of the moving average, in microseconds.
    #[must_use]
    pub const fn latency_age_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.last_sample_us)
    }

    /// Time since the last load report or sign of progress, in microseconds. A probe brings a new
    /// report.
    #[must_use]
    pub fn report_age_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.reported_us.max(self.last_progress_us))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "limits are within 1 and 10,000"
)]
const fn floor(value: f32) -> u32 {
    value as u32
}
