//! Limits on the requests that this instance starts on one backend server.

use std::time::Duration;

use crate::cold::COLD_WINDOW_US;
use crate::cold::ColdLimit;
use crate::cold::ColdState;
use crate::limit::AdvertisedLimit;
use crate::limit::LIMIT_WINDOW_S;
use crate::limit::LIMIT_WINDOW_US;
use crate::starts::StartShare;
use crate::starts::StartWindow;

/// Limits of one server (warm-up, advertised rate limit, cooldown), the recent starts of this
/// instance there, and its share of the limits.
#[derive(Clone, Debug)]
pub struct StartLimits {
    pub cold: ColdState,
    pub rate_limit: AdvertisedLimit,
    /// End of the cooldown that the server asked for.
    cooldown_until_us: u64,
    starts: StartWindow,
    share: StartShare,
    /// Requests that this instance may start per [`COLD_WINDOW_US`] while the server is cold.
    cold_starts_max: u32,
}

impl StartLimits {
    /// Limits of a newly listed server whose entry states this remaining warm-up time.
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

    /// Sets the share of this instance, and the limit for cold servers of the service.
    pub fn set_share(&mut self, share: StartShare, cold: Option<&ColdLimit>) {
        self.share = share;
        self.cold_starts_max = cold.map_or(u32::MAX, |limit| share.of(limit.starts_per_view()));
    }

    /// The active limits, as pairs of maximum starts and window length in microseconds.
    ///
    /// Starts on a rate-limited server are spread evenly over the window. If they were used up at
    /// once, no request could start until the end of the window, however urgent.
    fn active_limits(&self, now_us: u64) -> impl Iterator<Item = (u32, u64)> {
        let cold = (!self.cold.is_warm(now_us)).then_some((self.cold_starts_max, COLD_WINDOW_US));
        let tolerated = self.own_starts_tolerated();
        let limit = tolerated.map(|starts| (starts, LIMIT_WINDOW_US));
        let pause = tolerated.filter(|starts| *starts > 1);
        let pause = pause.map(|starts| (1, LIMIT_WINDOW_US / u64::from(starts)));
        cold.into_iter().chain(limit).chain(pause)
    }

    /// Requests that this instance may start per [`LIMIT_WINDOW_US`]; `None` without a rate limit.
    fn own_starts_tolerated(&self) -> Option<u32> {
        let limit = self.rate_limit.current()?;
        Some(self.share.of(limit.starts_tolerated(self.share.homes())))
    }

    /// Whether this instance has used its share of the advertised limit. The server tolerates some
    /// requests beyond it, which are only sent while no other server is available.
    #[must_use]
    pub fn own_limit_spent(&self, now_us: u64) -> bool {
        let accepted = self.rate_limit.current().map(|limit| self.share.of(limit.starts_allowed()));
        accepted.is_some_and(|accepted| self.starts.count(now_us, LIMIT_WINDOW_US) >= accepted)
    }

    /// Starts a cooldown that the server asked for. A shorter one does not end a longer one.
    pub fn start_cooldown(&mut self, cooldown: Duration, now_us: u64) {
        let cooldown_us = u64::try_from(cooldown.as_micros()).unwrap_or(u64::MAX);
        self.cooldown_until_us = self.cooldown_until_us.max(now_us.saturating_add(cooldown_us));
    }

    /// Whether the server is in a cooldown that it asked for.
    #[must_use]
    pub const fn in_cooldown(&self, now_us: u64) -> bool {
        now_us < self.cooldown_until_us
    }

    /// Whether another request may be started.
    #[must_use]
    pub fn may_start(&self, now_us: u64) -> bool {
        let below = |(starts_max, window_us)| self.starts.count(now_us, window_us) < starts_max;
        !self.in_cooldown(now_us) && self.active_limits(now_us).all(below)
    }

    /// The earliest time at which another request may be started, as far as known now; `None` if
    /// never.
    #[must_use]
    pub fn next_start_us(&self, now_us: u64) -> Option<u64> {
        let below_at =
            |(starts_max, window_us)| self.starts.below_max_at_us(starts_max, now_us, window_us);
        let cooldown_end_us = now_us.max(self.cooldown_until_us);
        self.active_limits(now_us)
            .map(below_at)
            .try_fold(cooldown_end_us, |latest, at| Some(latest.max(at?)))
    }

    /// Requests per second that this instance may start; `None` without a rate limit.
    #[must_use]
    pub fn own_starts_per_s(&self) -> Option<f64> {
        Some(f64::from(self.own_starts_tolerated()?) / LIMIT_WINDOW_S)
    }

    /// Whether more requests were started than allowed, or the server is in cooldown.
    #[must_use]
    pub fn limit_exceeded(&self, now_us: u64) -> bool {
        let over = |(starts_max, window_us)| self.starts.count(now_us, window_us) > starts_max;
        self.in_cooldown(now_us) || self.active_limits(now_us).any(over)
    }

    /// Records a start. Starts on servers without limits count too: the server may have become cold
    /// unannounced, or may be about to advertise a limit.
    pub fn record_start(&mut self, now_us: u64) {
        let limited = self.rate_limit.current().is_some();
        self.starts.record(now_us, if limited { LIMIT_WINDOW_US } else { COLD_WINDOW_US });
    }

    /// Removes the start of a request that the server did not get.
    pub fn undo_start(&mut self, at_us: u64) {
        self.starts.remove(at_us);
    }
}
