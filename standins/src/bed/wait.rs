//! Waiting on conditions, never on time alone.

use std::time::Duration;

use tokio::time::Instant;

const POLL: Duration = Duration::from_millis(10);
/// Generous: a busy machine must not change a verdict.
const LIMIT: Duration = Duration::from_mins(1);

/// Waits until `holds`, and returns how long that took.
///
/// # Panics
/// When it does not hold within a minute.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < LIMIT, "did not happen: {what}");
        tokio::time::sleep(POLL).await;
    }
    start.elapsed()
}
