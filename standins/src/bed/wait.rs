//! Waiting for a condition, by polling.

use std::time::Duration;

use tokio::time::Instant;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Long enough that a test does not fail because the machine is busy.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Waits until `holds` returns `true`, and returns the time taken.
///
/// # Panics
/// If that does not happen within a minute.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < TIMEOUT, "timed out: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    start.elapsed()
}
