//! Holds requests that arrive while this instance starts, until it can serve them.

use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time::Instant;

/// Most requests held at a time; each keeps its head and its caller's connection.
const HELD_MAX: usize = 512;
/// How often a held request checks whether it can be served.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How the hold of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldEnd {
    /// The instance can answer the request.
    Ready,
    /// The instance is too old to hold requests, or the request was held for as long as its timeout
    /// allows.
    TimedOut,
    /// Too many other requests are held.
    Full,
}

impl HoldEnd {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::TimedOut => "timed-out",
            Self::Full => "full",
        }
    }
}

/// Decides which requests are held, and for how long.
#[derive(Debug)]
pub struct StartHold {
    started: Instant,
    /// Age of the instance from which on requests are refused while it cannot serve them.
    age_max: Duration,
    places: Semaphore,
}

impl StartHold {
    /// Creates the hold of an instance that starts now; holds nothing if `age_max` is zero.
    #[must_use]
    pub fn new(age_max: Duration) -> Self {
        Self { started: Instant::now(), age_max, places: Semaphore::new(HELD_MAX) }
    }

    /// Whether the instance is too old to hold requests.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.started.elapsed() >= self.age_max
    }

    /// How long a request that arrives now may be held. At most half of the time that it has left:
    /// the rest is needed to serve it, or for its caller to try another instance.
    fn time_max(&self, time_left: Option<Duration>) -> Duration {
        let until_age_max = self.age_max.saturating_sub(self.started.elapsed());
        time_left.map_or(until_age_max, |left| until_age_max.min(left / 2))
    }

    /// Waits until `is_ready`, as long as a request with `time_left` may be held.
    pub async fn wait(&self, time_left: Option<Duration>, is_ready: impl Fn() -> bool) -> HoldEnd {
        let Ok(_place) = self.places.try_acquire() else {
            return HoldEnd::Full;
        };
        let until = Instant::now() + self.time_max(time_left);
        loop {
            if is_ready() {
                return HoldEnd::Ready;
            }
            let now = Instant::now();
            if now >= until {
                return HoldEnd::TimedOut;
            }
            tokio::time::sleep_until(until.min(now + CHECK_INTERVAL)).await;
        }
    }
}
