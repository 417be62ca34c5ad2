//! Requests for store contents that one instance sends to another.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::boot_us;
use crate::errors::Code;
use crate::peer::Feed;
use crate::peer::FeedReply;
use crate::peer::FeedResponse;
use crate::peer::PeerClient;
use crate::peer::PeerError;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::store::Revision;

/// A peer's answer to a feed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedAnswer {
    pub reply: FeedReply,
    /// Time since the peer's mirror was last confirmed complete.
    pub age: Duration,
    /// The time for which the reply is proved up to date, on the local [`boot_us`] clock; `None`
    /// without a proof.
    pub proved_us: Option<u64>,
    /// Requests per second that the homes of each zone must be able to carry; 0 if the peer knows
    /// no server.
    pub zone_demand_per_s: u32,
}

impl FeedAnswer {
    /// Converts the reply to a request sent at `asked_us`. The peer counts the proof's age from
    /// when the request arrived, which is no earlier than `asked_us`, so the proof is never dated
    /// too late.
    #[must_use]
    pub fn of(response: FeedResponse, asked_us: u64) -> Self {
        let FeedResponse { reply, age_ms, proof_after_ms, zone_demand_per_s } = response;
        let proved_us = proof_after_ms
            .and_then(|after_ms| asked_us.checked_add_signed(after_ms.saturating_mul(1000)));
        Self { reply, age: Duration::from_millis(age_ms), proved_us, zone_demand_per_s }
    }
}

/// Sends feed requests to other instances. Tests implement it with injected faults.
pub trait FeedSource: Clone + Send + Sync + 'static {
    /// Requests the changes after a revision; the peer may hold the request for up to `hold` until
    /// there are some.
    ///
    /// # Errors
    /// The peer refused, or no answer came `within` that time.
    fn ask(
        &self,
        peer: SocketAddr,
        feed: Feed,
        after: Option<Revision>,
        hold: Duration,
        within: Duration,
    ) -> impl Future<Output = Result<FeedAnswer, PeerError>> + Send;
}

impl<L: PeerClient> FeedSource for L {
    async fn ask(
        &self,
        peer: SocketAddr,
        feed: Feed,
        after: Option<Revision>,
        hold: Duration,
        within: Duration,
    ) -> Result<FeedAnswer, PeerError> {
        let hold_ms = u64::try_from(hold.as_millis()).unwrap_or(0);
        let request = PeerRequest::Feed { feed, after, hold_ms };
        let asked_us = boot_us();
        let PeerReply::Feed(response) = self.call(peer, &request, within).await? else {
            return Err(PeerError::Refused(Code::PeerFrame.number()));
        };
        Ok(FeedAnswer::of(response, asked_us))
    }
}
