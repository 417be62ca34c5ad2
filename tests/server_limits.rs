//! Backend servers in need: limits in requests a second that they name in their answers.

use std::sync::Arc;
use std::time::Duration;

use sorrelwick::limit::Heard;
use sorrelwick::limit::LimitUnreadable;
use sorrelwick::limit::NamedLimit;
use sorrelwick::limit::RateLimit;
use sorrelwick::task::TaskGuard;
use standins::routed::CONFIG_KEY;
use standins::routed::LimitWord;
use standins::routed::RawServer;
use standins::routed::RoutedBed;
use standins::routed::two_routes;
use tokio::time::Instant;

const ZONES: [&str; 3] = ["a", "b", "c"];
/// The span over which a limit is judged.
const SPAN: Duration = Duration::from_secs(4);
/// All instances keep to a limit from so long after it was first named.
const KNOWN_BY: Duration = Duration::from_secs(3);

/// What a server bears within [`SPAN`].
fn borne(per_s: f64) -> f64 {
    1.5 * per_s * SPAN.as_secs_f64() + 5.0
}

/// Most arrivals within [`SPAN`], of the spans that end after `from`.
fn most_within_span(arrived_at: &[Instant], from: Instant) -> usize {
    let within =
        |end: &Instant| arrived_at.iter().filter(|at| **at <= *end && *end - **at < SPAN).count();
    arrived_at.iter().filter(|end| **end >= from).map(within).max().unwrap_or(0)
}

/// Callers in each zone, one after the other, until dropped.
fn callers(bed: &Arc<RoutedBed>, line: &'static str, pause: Duration) -> Vec<TaskGuard> {
    let caller = |at: usize| {
        let bed = Arc::clone(bed);
        TaskGuard::spawn(async move {
            loop {
                bed.call(at, line, "look", &[]).await;
                tokio::time::sleep(pause).await;
            }
        })
    };
    (0..bed.hosts.len()).map(caller).collect()
}

/// One server in need and one that is well, three instances, callers in all zones.
async fn arrivals_in_need(word: LimitWord) -> (Vec<Instant>, Instant) {
    let bed = Arc::new(RoutedBed::start(&ZONES).await);
    let (in_need, well) = (RawServer::spawn("s1").await, RawServer::spawn("s2").await);
    bed.store.put(CONFIG_KEY, &two_routes(1));
    bed.store.put("servers/s1", &in_need.entry("parts", "a", 4, "ready"));
    bed.store.put("servers/s2", &well.entry("parts", "a", 4, "ready"));
    bed.settle().await;
    let callers = callers(&bed, "GET /look/a", Duration::from_millis(40));
    tokio::time::sleep(Duration::from_secs(1)).await;
    in_need.name_limit(Some(word));
    let named_at = Instant::now();
    tokio::time::sleep(KNOWN_BY + SPAN).await;
    drop(callers);
    (in_need.arrived_at(), named_at)
}

fn limit(text: &str) -> RateLimit {
    text.parse().expect("a limit")
}

/// A field that names no rate is taken for one.
#[test]
fn only_a_number_of_requests_a_second_is_a_limit() {
    for (text, per_s) in [("1.2", 1.2), (" 3 ", 3.0), ("0", 0.0)] {
        assert_eq!(text.parse().map(RateLimit::per_s), Ok(per_s), "{text}");
    }
    for text in ["", "-1", "NaN", "inf", "1/s", "1,2"] {
        assert_eq!(text.parse::<RateLimit>(), Err(LimitUnreadable), "{text}");
    }
}

/// Health answers that never name a limit end the one that answers to requests name.
#[test]
fn silence_ends_a_limit_only_where_it_was_named() {
    let mut named = NamedLimit::default();
    assert!(named.hear(Heard::Answer, Some(limit("1.2")), 1));
    assert!(!named.hear(Heard::Check, None, 2));
    assert_eq!(named.limit(), Some(limit("1.2")));
    assert!(named.hear(Heard::Answer, None, 3));
    assert_eq!(named.limit(), None);
    assert!(named.hear(Heard::Check, Some(limit("2")), 4));
    assert_eq!(named.age_us(7), Some(3));
    assert!(named.hear(Heard::Check, None, 8));
    assert_eq!((named.limit(), named.age_us(9)), (None, None));
}

/// A server in need goes on getting its usual load, as its word is not kept by all instances together.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_names_a_limit_gets_no_more_from_all_instances_together() {
    for in_checks in [false, true] {
        let word = LimitWord { per_s: 1.2, in_checks };
        let (arrived_at, named_at) = arrivals_in_need(word).await;
        let most = most_within_span(&arrived_at, named_at + KNOWN_BY);
        #[expect(clippy::cast_precision_loss, reason = "some hundred requests")]
        let borne = most as f64 <= borne(word.per_s);
        assert!(borne, "{most} within {SPAN:?}, {word:?}");
        let after = arrived_at.iter().filter(|at| **at >= named_at + KNOWN_BY).count();
        assert!(after >= 2, "it is hardly used any more: {after} in {SPAN:?}, {word:?}");
    }
}
