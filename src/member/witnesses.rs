//! What instances remember for each other, in case the platform's store loses it.
//!
//! The store may come back from an earlier copy of itself. A claim or a lease that it has lost would
//! then be given to a second instance, so the first one also tells a few others, chosen by a hash
//! and without coordination.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::task::JoinSet;

use crate::board::Blackboard;
use crate::outcome::KeyPrefix;
use crate::peer::Links;
use crate::peer::PeerClient;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Instances that remember one claim or lease.
const WITNESSES: usize = 2;
/// Time limit for the answer of one of them.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// What a witness is to remember, unless it knows otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessRequest {
    /// `owner` has claimed a plain idempotency key.
    Claim {
        /// See [`crate::outcome::claim_hash`].
        claim: u128,
        owner: KeyPrefix,
    },
    /// `holder` uses a shard of the measuring budgets for `valid_ms`.
    Shard { shard: u32, holder: u64, valid_ms: u64 },
}

/// The answer of a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessReply {
    /// Who claimed the key first, as far as the witness knows.
    Owner(KeyPrefix),
    /// Whether the witness knows no other holder of the shard.
    ShardConfirmed(bool),
}

/// Answers as a witness.
pub fn handle_witness_request(board: &Blackboard, request: WitnessRequest) -> WitnessReply {
    match request {
        WitnessRequest::Claim { claim, owner } => {
            WitnessReply::Owner(board.claim_witnesses.record(claim, owner))
        }
        WitnessRequest::Shard { shard, holder, valid_ms } => {
            WitnessReply::ShardConfirmed(board.shard_witnesses.record(shard, holder, valid_ms))
        }
    }
}

/// Asks the instances that follow `place` on the ring of incarnations. One that does not answer
/// `within` the time left is passed over: the store's word holds unless it was restored.
pub async fn ask_witnesses(
    board: &Arc<Blackboard>,
    links: &Links,
    place: u64,
    request: WitnessRequest,
    within: Duration,
) -> Vec<WitnessReply> {
    let timeout = ANSWER_TIMEOUT.min(within);
    let view = board.members_view();
    let mut replies = Vec::with_capacity(WITNESSES);
    let mut asked = JoinSet::new();
    for witness in view.ring_from(place).take(WITNESSES) {
        if witness.incarnation == board.incarnation {
            replies.push(handle_witness_request(board, request));
            continue;
        }
        let (links, address) = (links.clone(), witness.peer_address);
        asked.spawn(async move {
            match links.call(address, &PeerRequest::Witness(request), timeout).await {
                Ok(PeerReply::Witness(reply)) => Some(reply),
                _ => None,
            }
        });
    }
    while let Some(reply) = asked.join_next().await {
        // A call that was cancelled, because the process ends, brought no reply either.
        replies.extend(reply.ok().flatten());
    }
    replies
}
