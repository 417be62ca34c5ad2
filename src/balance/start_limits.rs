//! How many requests this instance may start at one backend server in need.

use std::time::Duration;

use crate::cold::COLD_WINDOW_US;
use crate::cold::ColdLimit;
use crate::cold::ColdState;
use crate::limit::AdvertisedLimit;
use crate::limit::LIMIT_WINDOW_S;
use crate::limit::LIMIT_WINDOW_US;
use crate::starts::StartShare;
use crate::starts::StartWindow;

/// Whether one server is cold, names a limit or rests, what this instance started there lately, and its
/// part.
#[derive(Clone, Debug)]
pub struct StartLimits {
    pub cold: ColdState,
    pub rate_limit: AdvertisedLimit,
    cooldown_until_us: u64,
    starts: StartWindow,
    share: StartShare,
    /// Requests that this instance may start there in any second while it is cold.
    cold_starts_max: u32,
}

impl StartLimits {
    /// Of a server that was just listed with an entry that says that it is cold for so long.
    #[must_use]
    pub fn new(warmup_ms: u64, now_us: u64) -> Self {
        Self {
            cold: ColdState::new(warmup_ms, now_us),
            rate_limit: AdvertisedLimit::default(),
            cooldown_until_us: 0,
            starts: StartWindow::default(),
            share: StartShare::default(),
            cold_starts_max: u32::MAX,
        }
    }

    /// Takes over this instance's part, and what a cold server of the service may get.
    pub fn set_share(&mut self, part: StartShare, cold: Option<&ColdLimit>) {
        self.share = part;
        self.cold_starts_max = cold.map_or(u32::MAX, |bound| part.of(bound.starts_per_view()));
    }

    /// The bounds in force: starts, and the span in which there may be so many.
    ///
    /// Starts at a server that names a limit are spread over its span: used up at once, nothing would be
    /// left for what comes, urgent or not, until the span is over.
    fn active_limits(&self, now_us: u64) -> impl Iterator<Item = (u32, u64)> {
        let cold = (!self.cold.is_warm(now_us)).then_some((self.cold_starts_max, COLD_WINDOW_US));
        let borne = self.own_starts_tolerated();
        let limit = borne.map(|starts| (starts, LIMIT_WINDOW_US));
        let pause = borne.filter(|starts| *starts > 1);
        let pause = pause.map(|starts| (1, LIMIT_WINDOW_US / u64::from(starts)));
        cold.into_iter().chain(limit).chain(pause)
    }

    /// Requests that this instance may start there in the span of limits; `None` without a limit.
    fn own_starts_tolerated(&self) -> Option<u32> {
        let limit = self.rate_limit.current()?;
        Some(self.share.of(limit.starts_tolerated(self.share.homes())))
    }

    /// Whether this instance has started its part of what the server says that it takes. It bears
    /// somewhat more, which is for when no other server has room.
    #[must_use]
    pub fn own_limit_spent(&self, now_us: u64) -> bool {
        let taken = self.rate_limit.current().map(|limit| self.share.of(limit.starts_allowed()));
        taken.is_some_and(|taken| self.starts.count(now_us, LIMIT_WINDOW_US) >= taken)
    }

    /// It asks this instance for so long a rest from now on. A shorter word does not end a longer one.
    pub fn start_cooldown(&mut self, rest: Duration, now_us: u64) {
        let rest_us = u64::try_from(rest.as_micros()).unwrap_or(u64::MAX);
        self.cooldown_until_us = self.cooldown_until_us.max(now_us.saturating_add(rest_us));
    }

    /// Whether this instance leaves it alone.
    #[must_use]
    pub const fn in_cooldown(&self, now_us: u64) -> bool {
        now_us < self.cooldown_until_us
    }

    /// Whether one more request may be started there.
    #[must_use]
    pub fn may_start(&self, now_us: u64) -> bool {
        let below = |(most, span_us)| self.starts.count(now_us, span_us) < most;
        !self.in_cooldown(now_us) && self.active_limits(now_us).all(below)
    }

    /// When one more may be started there, as far as known now; `None` if never.
    #[must_use]
    pub fn next_start_us(&self, now_us: u64) -> Option<u64> {
        let below_at = |(most, span_us)| self.starts.below_max_at_us(most, now_us, span_us);
        let rested_us = now_us.max(self.cooldown_until_us);
        self.active_limits(now_us)
            .map(below_at)
            .try_fold(rested_us, |latest, at| Some(latest.max(at?)))
    }

    /// Requests a second that this instance may start there; `None` while it names no limit.
    #[must_use]
    pub fn own_starts_per_s(&self) -> Option<f64> {
        Some(f64::from(self.own_starts_tolerated()?) / LIMIT_WINDOW_S)
    }

    /// Whether more was started there than may be, or anything while it rests.
    #[must_use]
    pub fn limit_exceeded(&self, now_us: u64) -> bool {
        let over = |(most, span_us)| self.starts.count(now_us, span_us) > most;
        self.in_cooldown(now_us) || self.active_limits(now_us).any(over)
    }

    /// Takes note of a start. Those at a server that is well count too: it may have turned cold
    /// unsaid, or be about to name a limit.
    pub fn record_start(&mut self, now_us: u64) {
        let limited = self.rate_limit.current().is_some();
        self.starts.record(now_us, if limited { LIMIT_WINDOW_US } else { COLD_WINDOW_US });
    }

    /// Takes a start back: nothing was sent.
    pub fn undo_start(&mut self, at_us: u64) {
        self.starts.remove(at_us);
    }
}
