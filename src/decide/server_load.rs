//! What one instance knows of the load of one backend server.

/// Failures in a row after which a server is ejected.
const EJECT_AFTER: u32 = 3;
const EJECT_BASE_MS: u64 = 500;
const EJECT_DOUBLINGS_MAX: u32 = 6;
/// A server that is new or comes back gets its full limit only after this long.
const RAMP_UP_MS: u64 = 1_000;
/// Factor on the limit after a refusal.
const LIMIT_DECREASE: f32 = 0.7;
const LATENCY_WEIGHT: f32 = 0.2;
/// At this age a latency counts for nothing any more, and the server is tried again.
pub(super) const LATENCY_AGE_MAX_US: u64 = 1_000_000;
/// Without progress for this many typical service times, a busy server counts as stalled.
const STALL_FACTOR: f32 = 2.5;
/// What another instance told of a server is worth nothing after this long.
const REPORT_AGE_MAX_MS: u64 = 200;

/// Which servers a request may be bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerScope {
    /// Those whose slots this instance hands out.
    Own,
    /// All: no keeper can be reached.
    All,
}

/// How an attempt ended, as far as the server's load is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer that is not a failure.
    Answered { latency_us: u64 },
    /// The server declared that it did not run the request.
    Refused,
    /// As `Refused`, and it wants nothing of this instance for so long.
    RefusedWithCooldown { cooldown_us: u64 },
    /// Connection fault, truncated answer or a failure status.
    Failed,
    /// The caller left, or another attempt answered first.
    Cancelled,
}

/// One row of a [`super::SlotPool`].
#[derive(Clone, Debug)]
pub struct ServerLoad {
    /// At least 1.
    pub slots: u32,
    /// Whether this instance is the keeper that hands out the slots of this server.
    pub is_keeper: bool,
    /// Drained or leaving: no new work.
    pub closed: bool,
    /// Own requests in flight; never above the limit while `kept` does not change.
    pub in_flight: u32,
    /// Adaptive limit, within 1 and `slots`.
    concurrency_limit: f32,
    latency_us: f32,
    /// When the last sample of `latency_us` came.
    last_sample_us: u64,
    /// When it last finished a request, or took one while idle.
    last_progress_us: u64,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until_us: u64,
    cooldown_until_us: u64,
    ramp_up_from_us: u64,
    /// In flight from everywhere, as an answer or probe of the server last told.
    reported_in_flight: u32,
    reported_us: u64,
}

impl ServerLoad {
    /// A server that has long been in use.
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

    /// Begins a ramp, with what is in flight still counted: it takes work again after a pause.
    pub fn restart_ramp_up(&mut self, now_us: u64) {
        let Self { in_flight, is_keeper: kept, cooldown_until_us: rest_until_us, .. } = *self;
        *self = Self {
            is_keeper: kept,
            in_flight,
            cooldown_until_us: rest_until_us,
            ..Self::cold(self.slots, now_us)
        };
    }

    /// Whether it may be used at all now, whatever its load.
    #[must_use]
    pub fn usable(&self, now_us: u64) -> bool {
        !self.closed && now_us >= self.ejected_until_us.max(self.cooldown_until_us)
    }

    /// Requests that this instance may have in flight there now; at least 1.
    #[must_use]
    pub fn current_limit(&self, now_us: u64) -> u32 {
        let age_us = now_us.saturating_sub(self.ramp_up_from_us);
        let whole = self.concurrency_limit.max(1.0);
        if age_us >= RAMP_UP_MS * 1000 {
            return floor(whole);
        }
        #[expect(clippy::cast_precision_loss, reason = "a share needs no more precision")]
        let share = age_us as f32 / (RAMP_UP_MS * 1000) as f32;
        floor((whole * share).max(1.0))
    }

    /// Whether it has a slot that this instance may take now.
    #[must_use]
    pub fn has_free_slot(&self, reach: ServerScope, now_us: u64) -> bool {
        self.in_scope(reach)
            && self.usable(now_us)
            && self.load(now_us) < self.current_limit(now_us)
    }

    /// Whether `reach` covers this server.
    #[must_use]
    pub fn in_scope(&self, reach: ServerScope) -> bool {
        self.is_keeper || reach == ServerScope::All
    }

    /// Own requests in flight, or the reported load while that is fresh and higher.
    ///
    /// A report may only lower trust: an old or low one never makes a server look emptier than
    /// what this instance has there itself.
    #[must_use]
    pub fn load(&self, now_us: u64) -> u32 {
        let fresh = now_us.saturating_sub(self.reported_us) < REPORT_AGE_MAX_MS * 1000;
        if fresh && !self.is_keeper {
            self.in_flight.max(self.reported_in_flight)
        } else {
            self.in_flight
        }
    }

    /// Whether requests are in flight there and none has finished for too long.
    ///
    /// This tells a server that turned slow within a few service times, while its latency
    /// average learns of it only when the slow answers are there.
    #[must_use]
    pub fn stalled(&self, typical_us: f32, now_us: u64) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "microseconds of one stall")]
        let silent_us = now_us.saturating_sub(self.last_progress_us) as f32;
        self.in_flight > 0 && typical_us > 0.0 && silent_us > STALL_FACTOR * typical_us
    }

    /// Moving average of service times; 0 before the first.
    #[must_use]
    pub const fn latency_us(&self) -> f32 {
        self.latency_us
    }

    /// Takes note that an attempt begins.
    pub fn record_start(&mut self, now_us: u64) {
        if self.in_flight == 0 {
            self.last_progress_us = now_us;
        }
        self.in_flight += 1;
    }

    /// Takes note that an attempt ended; `may_eject` bounds how many are ejected at once.
    pub fn record_outcome(&mut self, finish: AttemptOutcome, may_eject: bool, now_us: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match finish {
            AttemptOutcome::Answered { latency_us } => self.record_answer(latency_us, now_us),
            AttemptOutcome::Refused => self.record_refusal(),
            AttemptOutcome::RefusedWithCooldown { cooldown_us: rest_us } => {
                self.record_refusal();
                self.cooldown_until_us = self.cooldown_until_us.max(now_us.saturating_add(rest_us));
            }
            AttemptOutcome::Failed => self.record_failure(may_eject, now_us),
            AttemptOutcome::Cancelled => {}
        }
    }

    fn record_refusal(&mut self) {
        self.concurrency_limit = (self.concurrency_limit * LIMIT_DECREASE).max(1.0);
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
        self.latency_us += LATENCY_WEIGHT * (latency - self.latency_us);
        #[expect(clippy::cast_precision_loss, reason = "slots are at most 10,000")]
        let slots = self.slots as f32;
        self.concurrency_limit = (self.concurrency_limit + 1.0 / self.concurrency_limit).min(slots);
    }

    /// Counts a failure. An instant error must not make a server look idle and so attract the
    /// traffic of all: after a few in a row it is ejected, each time for longer.
    fn record_failure(&mut self, may_eject: bool, now_us: u64) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= EJECT_AFTER && may_eject {
            let doublings = self.ejections.min(EJECT_DOUBLINGS_MAX);
            self.ejected_until_us = now_us + ((EJECT_BASE_MS * 1000) << doublings);
            self.ejections += 1;
            self.ramp_up_from_us = self.ejected_until_us;
            // One more failure on trial is enough to eject it again.
            self.consecutive_failures = EJECT_AFTER - 1;
        }
    }

    /// Whether it is ejected now.
    #[must_use]
    pub const fn is_ejected(&self, now_us: u64) -> bool {
        now_us < self.ejected_until_us
    }

    /// Takes note of a load that the server told.
    pub fn record_load(&mut self, in_flight: u32, now_us: u64) {
        self.reported_in_flight = in_flight;
        self.reported_us = now_us;
    }

    /// Age of the moving average: time since its last sample.
    #[must_use]
    pub const fn latency_age_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.last_sample_us)
    }

    /// Age of the last report or answer: what a probe would refresh.
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
