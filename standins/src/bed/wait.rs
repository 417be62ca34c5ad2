//! Waiting on conditions, never on time alone.

use std::time::Duration;

use tokio::time::Instant;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Generous: a busy machine must not change a verdict.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Waits until `holds`, and returns how long that took.
///
/// # Panics
/// When it does not hold within a minute.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < TIMEOUT, "did not happen: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    start.elapsed()
}
