//! What one instance knows of the load of one backend server.

/// Failures in a row after which a server is ejected.
const EJECT_AFTER: u32 = 3;
const EJECT_BASE_MS: u64 = 500;
const EJECT_DOUBLINGS_MAX: u32 = 6;
/// A server that is new or comes back gets its full limit only after this long.
const RAMP_MS: u64 = 1_000;
/// Factor on the limit after a refusal.
const LIMIT_DECREASE: f32 = 0.7;
const LATENCY_WEIGHT: f32 = 0.2;
/// At this age a latency counts for nothing any more, and the server is tried again.
pub(super) const LATENCY_LIFE_US: u64 = 1_000_000;
/// Without progress for this many typical service times, a busy server counts as stalled.
const STALL_FACTOR: f32 = 2.5;
/// What another instance told of a server is worth nothing after this long.
const REPORT_AGE_MAX_MS: u64 = 200;

/// Which servers a request may be bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Those whose slots this instance hands out.
    Kept,
    /// All: no keeper can be reached.
    All,
}

/// How an attempt ended, as far as the server's load is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// A whole answer that is not a failure.
    Answered { latency_us: u64 },
    /// The server declared that it did not run the request.
    Refused,
    /// As `Refused`, and it wants nothing of this instance for so long.
    Resting { rest_us: u64 },
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
    pub kept: bool,
    /// Drained or leaving: no new work.
    pub closed: bool,
    /// Own requests in flight; never above the limit while `kept` does not change.
    pub in_flight: u32,
    /// Adaptive limit, within 1 and `slots`.
    limit: f32,
    latency_us: f32,
    /// When the last sample of `latency_us` came.
    answered_us: u64,
    /// When it last finished a request, or took one while idle.
    progress_us: u64,
    fails: u32,
    ejections: u32,
    ejected_until_us: u64,
    rest_until_us: u64,
    ramp_from_us: u64,
    /// In flight from everywhere, as an answer or probe of the server last told.
    reported: u32,
    reported_us: u64,
}

impl ServerLoad {
    /// A server that has long been in use.
    #[must_use]
    pub fn warm(slots: u32) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "slots are at most 10,000")]
        let limit = slots as f32;
        Self {
            slots,
            kept: true,
            closed: false,
            in_flight: 0,
            limit,
            latency_us: 0.0,
            answered_us: 0,
            progress_us: 0,
            fails: 0,
            ejections: 0,
            ejected_until_us: 0,
            rest_until_us: 0,
            ramp_from_us: 0,
            reported: 0,
            reported_us: 0,
        }
    }

    /// A server that starts cold now.
    #[must_use]
    pub fn cold(slots: u32, now_us: u64) -> Self {
        Self { ramp_from_us: now_us, ..Self::warm(slots) }
    }

    /// Begins a ramp, with what is in flight still counted: it takes work again after a pause.
    pub fn restart(&mut self, now_us: u64) {
        let Self { in_flight, kept, rest_until_us, .. } = *self;
        *self = Self { kept, in_flight, rest_until_us, ..Self::cold(self.slots, now_us) };
    }

    /// Whether it may be used at all now, whatever its load.
    #[must_use]
    pub fn usable(&self, now_us: u64) -> bool {
        !self.closed && now_us >= self.ejected_until_us.max(self.rest_until_us)
    }

    /// Requests that this instance may have in flight there now; at least 1.
    #[must_use]
    pub fn limit_now(&self, now_us: u64) -> u32 {
        let age_us = now_us.saturating_sub(self.ramp_from_us);
        let whole = self.limit.max(1.0);
        if age_us >= RAMP_MS * 1000 {
            return floor(whole);
        }
        #[expect(clippy::cast_precision_loss, reason = "a share needs no more precision")]
        let share = age_us as f32 / (RAMP_MS * 1000) as f32;
        floor((whole * share).max(1.0))
    }

    /// Whether it has a slot that this instance may take now.
    #[must_use]
    pub fn free(&self, reach: Reach, now_us: u64) -> bool {
        self.reached(reach) && self.usable(now_us) && self.load(now_us) < self.limit_now(now_us)
    }

    /// Whether `reach` covers this server.
    #[must_use]
    pub fn reached(&self, reach: Reach) -> bool {
        self.kept || reach == Reach::All
    }

    /// Own requests in flight, or the reported load while that is fresh and higher.
    ///
    /// A report may only lower trust: an old or low one never makes a server look emptier than
    /// what this instance has there itself.
    #[must_use]
    pub fn load(&self, now_us: u64) -> u32 {
        let fresh = now_us.saturating_sub(self.reported_us) < REPORT_AGE_MAX_MS * 1000;
        if fresh && !self.kept { self.in_flight.max(self.reported) } else { self.in_flight }
    }

    /// Whether requests are in flight there and none has finished for too long.
    ///
    /// This tells a server that turned slow within a few service times, while its latency
    /// average learns of it only when the slow answers are there.
    #[must_use]
    pub fn stalled(&self, typical_us: f32, now_us: u64) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "microseconds of one stall")]
        let silent_us = now_us.saturating_sub(self.progress_us) as f32;
        self.in_flight > 0 && typical_us > 0.0 && silent_us > STALL_FACTOR * typical_us
    }

    /// Moving average of service times; 0 before the first.
    #[must_use]
    pub const fn latency_us(&self) -> f32 {
        self.latency_us
    }

    /// Takes note that an attempt begins.
    pub fn start(&mut self, now_us: u64) {
        if self.in_flight == 0 {
            self.progress_us = now_us;
        }
        self.in_flight += 1;
    }

    /// Takes note that an attempt ended; `may_eject` bounds how many are ejected at once.
    pub fn finish(&mut self, finish: Finish, may_eject: bool, now_us: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match finish {
            Finish::Answered { latency_us } => self.answered(latency_us, now_us),
            Finish::Refused => self.refused(),
            Finish::Resting { rest_us } => {
                self.refused();
                self.rest_until_us = self.rest_until_us.max(now_us.saturating_add(rest_us));
            }
            Finish::Failed => self.failed(may_eject, now_us),
            Finish::Cancelled => {}
        }
    }

    fn refused(&mut self) {
        self.limit = (self.limit * LIMIT_DECREASE).max(1.0);
    }

    fn answered(&mut self, latency_us: u64, now_us: u64) {
        let stale = self.latency_age_us(now_us) > LATENCY_LIFE_US;
        self.answered_us = now_us;
        self.progress_us = now_us;
        self.fails = 0;
        self.ejections = 0;
        #[expect(clippy::cast_precision_loss, reason = "an average needs no more precision")]
        let latency = latency_us as f32;
        if self.latency_us == 0.0 || stale {
            self.latency_us = latency;
        }
        self.latency_us += LATENCY_WEIGHT * (latency - self.latency_us);
        #[expect(clippy::cast_precision_loss, reason = "slots are at most 10,000")]
        let slots = self.slots as f32;
        self.limit = (self.limit + 1.0 / self.limit).min(slots);
    }

    /// Counts a failure. An instant error must not make a server look idle and so attract the
    /// traffic of all: after a few in a row it is ejected, each time for longer.
    fn failed(&mut self, may_eject: bool, now_us: u64) {
        self.fails += 1;
        if self.fails >= EJECT_AFTER && may_eject {
            let doublings = self.ejections.min(EJECT_DOUBLINGS_MAX);
            self.ejected_until_us = now_us + ((EJECT_BASE_MS * 1000) << doublings);
            self.ejections += 1;
            self.ramp_from_us = self.ejected_until_us;
            // One more failure on trial is enough to eject it again.
            self.fails = EJECT_AFTER - 1;
        }
    }

    /// Whether it is ejected now.
    #[must_use]
    pub const fn ejected(&self, now_us: u64) -> bool {
        now_us < self.ejected_until_us
    }

    /// Takes note of a load that the server told.
    pub fn report(&mut self, in_flight: u32, now_us: u64) {
        self.reported = in_flight;
        self.reported_us = now_us;
    }

    /// Age of the moving average: time since its last sample.
    #[must_use]
    pub const fn latency_age_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.answered_us)
    }

    /// Age of the last report or answer: what a probe would refresh.
    #[must_use]
    pub fn silent_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.reported_us.max(self.progress_us))
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
