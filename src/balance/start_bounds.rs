//! How many requests this instance may start at one backend server in need.

use std::time::Duration;

use crate::cold::COLD_SPAN_US;
use crate::cold::ColdBound;
use crate::cold::ColdState;
use crate::limit::LIMIT_SPAN_S;
use crate::limit::LIMIT_SPAN_US;
use crate::limit::NamedLimit;
use crate::starts::HomePart;
use crate::starts::StartWindow;

/// Whether one server is cold, names a limit or rests, what this instance started there lately, and its
/// part.
#[derive(Clone, Debug)]
pub struct StartBounds {
    pub cold: ColdState,
    pub limit: NamedLimit,
    rest_until_us: u64,
    starts: StartWindow,
    part: HomePart,
    /// Requests that this instance may start there in any second while it is cold.
    cold_starts_max: u32,
}

impl StartBounds {
    /// Of a server that was just listed with an entry that says that it is cold for so long.
    #[must_use]
    pub fn new(warmup_ms: u64, now_us: u64) -> Self {
        Self {
            cold: ColdState::new(warmup_ms, now_us),
            limit: NamedLimit::default(),
            rest_until_us: 0,
            starts: StartWindow::default(),
            part: HomePart::default(),
            cold_starts_max: u32::MAX,
        }
    }

    /// Takes over this instance's part, and what a cold server of the service may get.
    pub fn share(&mut self, part: HomePart, cold: Option<&ColdBound>) {
        self.part = part;
        self.cold_starts_max = cold.map_or(u32::MAX, |bound| part.of(bound.starts_of_view()));
    }

    /// The bounds in force: starts, and the span in which there may be so many.
    ///
    /// Starts at a server that names a limit are spread over its span: used up at once, nothing would be
    /// left for what comes, urgent or not, until the span is over.
    fn in_force(&self, now_us: u64) -> impl Iterator<Item = (u32, u64)> {
        let cold = (!self.cold.warm(now_us)).then_some((self.cold_starts_max, COLD_SPAN_US));
        let borne = self.own_starts_borne();
        let limit = borne.map(|starts| (starts, LIMIT_SPAN_US));
        let pause = borne.filter(|starts| *starts > 1);
        let pause = pause.map(|starts| (1, LIMIT_SPAN_US / u64::from(starts)));
        cold.into_iter().chain(limit).chain(pause)
    }

    /// Requests that this instance may start there in the span of limits; `None` without a limit.
    fn own_starts_borne(&self) -> Option<u32> {
        let limit = self.limit.limit()?;
        Some(self.part.of(limit.starts_borne(self.part.homes())))
    }

    /// Whether this instance has started its part of what the server says that it takes. It bears
    /// somewhat more, which is for when no other server has room.
    #[must_use]
    pub fn used_up(&self, now_us: u64) -> bool {
        let taken = self.limit.limit().map(|limit| self.part.of(limit.starts_taken()));
        taken.is_some_and(|taken| self.starts.count(now_us, LIMIT_SPAN_US) >= taken)
    }

    /// It asks this instance for so long a rest from now on. A shorter word does not end a longer one.
    pub fn rest(&mut self, rest: Duration, now_us: u64) {
        let rest_us = u64::try_from(rest.as_micros()).unwrap_or(u64::MAX);
        self.rest_until_us = self.rest_until_us.max(now_us.saturating_add(rest_us));
    }

    /// Whether this instance leaves it alone.
    #[must_use]
    pub const fn rests(&self, now_us: u64) -> bool {
        now_us < self.rest_until_us
    }

    /// Whether one more request may be started there.
    #[must_use]
    pub fn may_start(&self, now_us: u64) -> bool {
        let below = |(most, span_us)| self.starts.count(now_us, span_us) < most;
        !self.rests(now_us) && self.in_force(now_us).all(below)
    }

    /// When one more may be started there, as far as known now; `None` if never.
    #[must_use]
    pub fn may_start_at_us(&self, now_us: u64) -> Option<u64> {
        let below_at = |(most, span_us)| self.starts.below_at_us(most, now_us, span_us);
        let rested_us = now_us.max(self.rest_until_us);
        self.in_force(now_us).map(below_at).try_fold(rested_us, |latest, at| Some(latest.max(at?)))
    }

    /// Requests a second that this instance may start there; `None` while it names no limit.
    #[must_use]
    pub fn own_starts_per_s(&self) -> Option<f64> {
        Some(f64::from(self.own_starts_borne()?) / LIMIT_SPAN_S)
    }

    /// Whether more was started there than may be, or anything while it rests.
    #[must_use]
    pub fn over_started(&self, now_us: u64) -> bool {
        let over = |(most, span_us)| self.starts.count(now_us, span_us) > most;
        self.rests(now_us) || self.in_force(now_us).any(over)
    }

    /// Takes note of a start. Those at a server that is well count too: it may have turned cold
    /// unsaid, or be about to name a limit.
    pub fn start(&mut self, now_us: u64) {
        let limited = self.limit.limit().is_some();
        self.starts.start(now_us, if limited { LIMIT_SPAN_US } else { COLD_SPAN_US });
    }

    /// Takes a start back: nothing was sent.
    pub fn take_back(&mut self, at_us: u64) {
        self.starts.take_back(at_us);
    }
}
