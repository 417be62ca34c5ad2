//! What the failure detector does with pings that are not answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sorrelwick::board::Blackboard;
use sorrelwick::member::FailedCalls;
use sorrelwick::member::MemberRequest;
use sorrelwick::member::MemberState;
use sorrelwick::member::run_failure_detector;
use sorrelwick::peer::PeerClient;
use sorrelwick::peer::PeerError;
use sorrelwick::peer::PeerReply;
use sorrelwick::peer::PeerRequest;
use standins::routed::member_row;

/// Connections that have gone silent: direct pings get no answer, while other members reach
/// everyone.
#[derive(Clone, Default)]
struct SilentLinks {
    /// Pings that waited until their timeout. A link counts only these, and opens a new connection
    /// after some in a row.
    timed_out: Arc<AtomicU32>,
}

impl PeerClient for SilentLinks {
    async fn call(
        &self,
        _: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        match request {
            PeerRequest::Member(MemberRequest::Ping { .. }) => {
                tokio::time::sleep(timeout).await;
                self.timed_out.fetch_add(1, Ordering::Relaxed);
                Err(PeerError::ResponseLost)
            }
            PeerRequest::IndirectPing { .. } => Ok(PeerReply::Reached(true)),
            _ => Err(PeerError::NotSent),
        }
    }

    fn close_idle(&self) {}

    fn drop_link(&self, _: SocketAddr) {}
}

/// Guards against a connection that has gone silent and is never replaced, because its pings end
/// as soon as another member has reached the target: requests forwarded over it would be lost.
#[tokio::test(start_paused = true)]
async fn ping_over_a_silent_connection_times_out_though_others_reach_the_member() {
    let settings =
        sorrelwick::conf::parse_settings("d", sorrelwick::conf::DEFAULTS).expect("valid");
    let board = Arc::new(Blackboard::new(settings, 1));
    for incarnation in 2..=4 {
        assert!(board.members.lock().merge(&member_row(incarnation), 0));
    }
    let links = SilentLinks::default();
    let detector = tokio::spawn(run_failure_detector(Arc::clone(&board), links.clone()));
    tokio::time::sleep(Duration::from_secs(10)).await;
    detector.abort();
    assert!(links.timed_out.load(Ordering::Relaxed) > 5);
    assert!(!board.members.lock().has_suspects(), "others reach all members");
}

/// A network on which one process has ended: its machine refuses connections at once. Other
/// members are reached only through third ones.
#[derive(Clone)]
struct LinksWithoutOne {
    gone: SocketAddr,
}

impl PeerClient for LinksWithoutOne {
    async fn call(
        &self,
        _: SocketAddr,
        request: &PeerRequest,
        _: Duration,
    ) -> Result<PeerReply, PeerError> {
        match request {
            PeerRequest::IndirectPing { target } => Ok(PeerReply::Reached(*target != self.gone)),
            _ => Err(PeerError::NotSent),
        }
    }

    fn close_idle(&self) {}

    fn drop_link(&self, _: SocketAddr) {}
}

/// Guards against naming a home to callers for up to a second after its process ended: the
/// instances that sync from it noticed at once, but waited until it was its turn to be pinged.
#[tokio::test(start_paused = true)]
async fn member_is_checked_at_once_when_a_call_to_it_fails() {
    let settings =
        sorrelwick::conf::parse_settings("d", sorrelwick::conf::DEFAULTS).expect("valid");
    let board = Arc::new(Blackboard::new(settings, 1));
    for incarnation in 2..=200 {
        assert!(board.members.lock().merge(&member_row(incarnation), 0));
    }
    let gone = member_row(7).peer_address;
    let still_there = member_row(8).peer_address;
    let detector = tokio::spawn(run_failure_detector(Arc::clone(&board), LinksWithoutOne { gone }));
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert!(board.failed_calls.add(gone, 0));
    assert!(board.failed_calls.add(still_there, 0));
    tokio::time::sleep(Duration::from_millis(20)).await;
    detector.abort();
    let state = |incarnation| board.members.lock().row(incarnation, 0).expect("known").state;
    assert_eq!((state(7), state(8)), (MemberState::Suspect, MemberState::Alive));
}

/// Guards against a flood of pings by hundreds of calls that fail at the same time.
#[test]
fn checks_of_failed_calls_are_bounded() {
    let failed_calls = FailedCalls::default();
    let peer = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    assert!(failed_calls.add(peer(1), 1_000));
    assert!(!failed_calls.add(peer(1), 1_249), "once per peer in a quarter of a second");
    assert!(failed_calls.add(peer(1), 1_250));
    let added = (2..500).filter(|port| failed_calls.add(peer(*port), 1_250)).count();
    assert_eq!(added, 15);
}
