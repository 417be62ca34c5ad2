//! The time by which a stopping instance has answered every request.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// The time by which a stopping instance has answered every request; none until it stops.
#[derive(Debug)]
pub struct StopDeadline {
    at: watch::Sender<Option<Instant>>,
}

impl Default for StopDeadline {
    fn default() -> Self {
        Self { at: watch::Sender::new(None) }
    }
}

impl StopDeadline {
    /// Sets the deadline, at the start of a stop.
    pub fn set(&self, at: Instant) {
        self.at.send_replace(Some(at));
    }

    /// Time left for requests; `None` unless the instance stops.
    #[must_use]
    pub fn remaining(&self) -> Option<Duration> {
        self.at.borrow().map(|at| at.saturating_duration_since(Instant::now()))
    }

    /// Runs `work`; `None` if the deadline passes first.
    pub async fn run<F: Future>(&self, work: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            done = work => Some(done),
            () = self.passed() => None,
        }
    }

    /// Waits until the deadline has passed.
    async fn passed(&self) {
        let mut changes = self.at.subscribe();
        let set = changes.wait_for(Option::is_some).await.map(|at| *at);
        match set {
            Ok(Some(at)) => tokio::time::sleep_until(at).await,
            // The channel stays open as long as `self` lives.
            _ => std::future::pending().await,
        }
    }
}
