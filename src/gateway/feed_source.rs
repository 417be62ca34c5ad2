//! How an instance asks another one for a part of the store.

use std::net::SocketAddr;
use std::time::Duration;

use crate::peer::Feed;
use crate::peer::FeedReply;
use crate::peer::PeerCalls;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// What another instance told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedAnswer {
    pub reply: FeedReply,
    /// How long ago it was last certain that nothing is missing.
    pub age: Duration,
}

/// Asks other instances; the links between them do so, and tests with faults in between.
pub trait FeedSource: Clone + Send + Sync + 'static {
    /// What changed after a revision; the other may wait for news for up to `hold`. `None` when no
    /// answer came `within`.
    fn ask(
        &self,
        peer: SocketAddr,
        feed: Feed,
        after: Option<u64>,
        hold: Duration,
        within: Duration,
    ) -> impl Future<Output = Option<FeedAnswer>> + Send;
}

impl<L: PeerCalls> FeedSource for L {
    async fn ask(
        &self,
        peer: SocketAddr,
        feed: Feed,
        after: Option<u64>,
        hold: Duration,
        within: Duration,
    ) -> Option<FeedAnswer> {
        let hold_ms = u64::try_from(hold.as_millis()).unwrap_or(0);
        let request = PeerRequest::Feed { feed, after, hold_ms };
        // Why there is no answer makes no difference: another instance is asked.
        let reply = self.call(peer, &request, within).await.ok()?;
        let PeerReply::Feed { reply, age_ms } = reply else {
            return None;
        };
        Some(FeedAnswer { reply, age: Duration::from_millis(age_ms) })
    }
}
