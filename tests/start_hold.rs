//! Requests that arrive before an instance has its configuration. In paused time.

use std::sync::Arc;
use std::time::Duration;

use sorrelwick::gateway::HoldEnd;
use sorrelwick::gateway::StartHold;
use standins::routed::fleet_settings;
use tokio::time::Instant;

const AGE_MAX: Duration = Duration::from_millis(500);

/// Holds a request until the instance is ready, `ready_after` from now; returns how it ended and
/// how long it took.
async fn hold(
    hold: &StartHold,
    time_left: Option<Duration>,
    ready_after: Duration,
) -> (HoldEnd, Duration) {
    let began = Instant::now();
    let end = hold.wait(time_left, || began.elapsed() >= ready_after).await;
    (end, began.elapsed())
}

/// Guards against refusing the callers of the first tenth of a second after all instances were
/// killed: the configuration arrives before they would come back.
#[tokio::test(start_paused = true)]
async fn request_is_held_until_the_configuration_arrives() {
    let start_hold = StartHold::new(AGE_MAX);
    let arrives = Duration::from_millis(60);
    let ended = hold(&start_hold, Some(Duration::from_secs(1)), arrives).await;
    assert_eq!(ended, (HoldEnd::Ready, arrives));
}

/// Guards against a missed deadline: a request with little time left is refused while its caller
/// can still try another instance.
#[tokio::test(start_paused = true)]
async fn request_is_held_for_half_of_its_time_left() {
    let start_hold = StartHold::new(AGE_MAX);
    let ended =
        hold(&start_hold, Some(Duration::from_millis(100)), Duration::from_millis(60)).await;
    assert_eq!(ended, (HoldEnd::TimedOut, Duration::from_millis(50)));
}

/// Guards against holding callers throughout an outage of the store: from half a second on, an
/// instance without a configuration refuses at once.
#[tokio::test(start_paused = true)]
async fn instance_that_started_earlier_holds_nothing() {
    let start_hold = StartHold::new(AGE_MAX);
    tokio::time::sleep(AGE_MAX).await;
    let ended = hold(&start_hold, None, Duration::from_secs(1)).await;
    assert_eq!(ended, (HoldEnd::TimedOut, Duration::ZERO));
}

/// Guards against unbounded memory: 2,000 callers at one instance without a configuration.
#[tokio::test(start_paused = true)]
async fn only_a_bounded_number_is_held() {
    let start_hold = Arc::new(StartHold::new(AGE_MAX));
    let mut held = tokio::task::JoinSet::new();
    for _ in 0..2_000 {
        let start_hold = Arc::clone(&start_hold);
        held.spawn(async move { start_hold.wait(None, || false).await });
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let refused = std::iter::from_fn(|| held.try_join_next()).count();
    assert_eq!(refused, 2_000 - 512);
}

/// Guards against holding requests where the settings do not ask for it: they get their refusals at
/// once.
#[tokio::test(start_paused = true)]
async fn nothing_is_held_by_default() {
    let settings = fleet_settings("i", "z", &["z"], &[]);
    let start_hold = StartHold::new(settings.gateway.expect("a gateway").start_hold());
    let ended = hold(&start_hold, None, Duration::from_millis(60)).await;
    assert_eq!(ended, (HoldEnd::TimedOut, Duration::ZERO));
}
