//! What the failure detector does with pings that are not answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sorrelwick::board::Blackboard;
use sorrelwick::member::FailedCalls;
use sorrelwick::member::MemberRequest;
use sorrelwick::member::MemberRow;
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
    assert!(!failed_calls.add(peer(1), 1_250), "its check has not ended");
    failed_calls.finish(peer(1));
    assert!(!failed_calls.add(peer(1), 1_249), "once per peer in a quarter of a second");
    assert!(failed_calls.add(peer(1), 1_250));
    let added = (2..500).filter(|port| failed_calls.add(peer(*port), 1_250)).count();
    assert_eq!(added, 15);
}

/// A network on which one member behaves as the test says. Direct pings of the others get no
/// answer, while third ones reach them.
#[derive(Clone)]
struct LinksToOne {
    member: MemberRow,
    /// How long it takes to answer a ping; `None` if its connection breaks at once.
    answers_after: Option<Duration>,
    /// Pings sent to it.
    pings: Arc<AtomicU32>,
}

impl LinksToOne {
    fn new(member: MemberRow, answers_after: Option<Duration>) -> Self {
        Self { member, answers_after, pings: Arc::default() }
    }

    async fn ping(&self, timeout: Duration) -> Result<PeerReply, PeerError> {
        self.pings.fetch_add(1, Ordering::Relaxed);
        let delay = self.answers_after.ok_or(PeerError::NotSent)?;
        tokio::time::sleep(delay.min(timeout)).await;
        if delay > timeout {
            return Err(PeerError::ResponseLost);
        }
        let gossip = vec![self.member.clone()];
        Ok(PeerReply::Ack { stamp: 0, digest_hash: 0, suspects_digest: 0, gossip })
    }
}

impl PeerClient for LinksToOne {
    async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let own = self.member.peer_address;
        match request {
            PeerRequest::Member(MemberRequest::Ping { .. }) if address == own => {
                self.ping(timeout).await
            }
            PeerRequest::IndirectPing { target } if *target != own => Ok(PeerReply::Reached(true)),
            _ => {
                tokio::time::sleep(timeout).await;
                Err(PeerError::ResponseLost)
            }
        }
    }

    fn close_idle(&self) {}

    fn drop_link(&self, _: SocketAddr) {}
}

/// An instance of a fleet so large that it never pings `member` in turn.
fn board_with(member: &MemberRow) -> Arc<Blackboard> {
    let settings =
        sorrelwick::conf::parse_settings("d", sorrelwick::conf::DEFAULTS).expect("valid");
    let board = Arc::new(Blackboard::new(settings, 1));
    for incarnation in 2..=200 {
        assert!(board.members.lock().merge(&member_row(incarnation), 0));
    }
    let members = board.members.lock();
    assert!(members.ping_targets().iter().all(|row| row.incarnation != member.incarnation));
    drop(members);
    board
}

/// Guards against one slow member, checked often because calls to it fail, that stretches the
/// timeouts of all others.
#[tokio::test(start_paused = true)]
async fn checks_of_failed_calls_do_not_stretch_timeouts() {
    let member = member_row(7);
    let board = board_with(&member);
    let links = LinksToOne::new(member.clone(), Some(Duration::from_millis(100)));
    let detector = tokio::spawn(run_failure_detector(Arc::clone(&board), links.clone()));
    assert!(board.failed_calls.add(member.peer_address, 0));
    tokio::time::sleep(Duration::from_millis(200)).await;
    detector.abort();
    assert_eq!(links.pings.load(Ordering::Relaxed), 1);
    let configured_ms = board.settings.peers.ping_timeout_ms;
    assert_eq!(board.pace.lock().stretch(configured_ms), Duration::from_millis(configured_ms));
}

/// Guards against suspecting members because this instance's own network fails: calls to them fail,
/// and nobody that it asks answers either.
#[tokio::test(start_paused = true)]
async fn member_stays_alive_if_no_other_instance_confirms_a_failed_call() {
    let member = member_row(7);
    let board = board_with(&member);
    let links = LinksToOne::new(member.clone(), None);
    let detector = tokio::spawn(run_failure_detector(Arc::clone(&board), links.clone()));
    assert!(board.failed_calls.add(member.peer_address, 0));
    tokio::time::sleep(Duration::from_secs(2)).await;
    detector.abort();
    assert_eq!(links.pings.load(Ordering::Relaxed), 1);
    let state = board.members.lock().row(7, 0).expect("known").state;
    assert_eq!(state, MemberState::Alive);
}

/// Guards against checks that pile up at a member that answers slowly.
#[tokio::test(start_paused = true)]
async fn a_member_is_checked_for_failed_calls_once_at_a_time() {
    let member = member_row(7);
    let board = board_with(&member);
    let links = LinksToOne::new(member.clone(), Some(Duration::from_secs(10)));
    let detector = tokio::spawn(run_failure_detector(Arc::clone(&board), links.clone()));
    for at_ms in [0, 300, 600] {
        board.failed_calls.add(member.peer_address, at_ms);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let checks = links.pings.load(Ordering::Relaxed);
        assert_eq!(checks, 1, "the first check takes 750 ms");
    }
    board.failed_calls.add(member.peer_address, 900);
    tokio::time::sleep(Duration::from_millis(10)).await;
    detector.abort();
    assert_eq!(links.pings.load(Ordering::Relaxed), 2);
}

/// Guards against further checks of a member that is a suspect already.
#[tokio::test(start_paused = true)]
async fn suspects_are_not_checked_for_failed_calls() {
    let member = member_row(7);
    let board = board_with(&member);
    assert!(board.members.lock().suspect(7, 0));
    let links = LinksToOne::new(member.clone(), None);
    let detector = tokio::spawn(run_failure_detector(Arc::clone(&board), links.clone()));
    board.failed_calls.add(member.peer_address, 0);
    tokio::time::sleep(Duration::from_millis(100)).await;
    detector.abort();
    assert_eq!(links.pings.load(Ordering::Relaxed), 0);
}

/// Guards against suspects, to which calls go on failing, that take the places of members that are
/// gone since.
#[tokio::test(start_paused = true)]
async fn failed_calls_to_suspects_take_no_places() {
    let board = board_with(&member_row(7));
    for incarnation in 100..=150 {
        assert!(board.members.lock().suspect(incarnation, 0));
        board.record_failed_call(member_row(incarnation).peer_address);
    }
    let member = member_row(7);
    board.record_failed_call(member.peer_address);
    let checked = tokio::time::timeout(Duration::from_secs(1), board.failed_calls.next()).await;
    assert_eq!(checked, Ok(member.peer_address));
}
