//! What the failure detector does with pings that are not answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sorrelwick::board::Blackboard;
use sorrelwick::member::MemberRequest;
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
