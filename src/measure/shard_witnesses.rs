//! Which shards are held, as instances remember it for each other.
//!
//! The platform's store may come back from an earlier copy that lacks a lease. It would give the
//! shard to another instance while the first still uses it, so a few instances are told of each
//! acquisition and renewal.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinSet;
use xxhash_rust::xxh3::xxh3_64;

use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::member::MemberRow;
use crate::peer::Links;
use crate::peer::PeerClient;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Instances that remember who holds a shard.
const WITNESSES: usize = 2;
/// Time limit for their answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Who holds a shard, and until when by this process's clock.
#[derive(Clone, Copy, Debug)]
struct Holding {
    holder: u64,
    until_ms: u64,
}

/// The shards that this instance remembers for others.
#[derive(Debug, Default)]
pub struct ShardWitnesses(Mutex<HashMap<u32, Holding>>);

impl ShardWitnesses {
    /// Records that `holder` may use a shard for `valid_ms`, unless another may still use it;
    /// returns whether it did. The time counts from the arrival of the word, so it ends later here
    /// than at the holder.
    pub fn record(&self, shard: u32, holder: u64, valid_ms: u64) -> bool {
        let now_ms = now_ms();
        let mut holdings = self.0.lock();
        let by_other = holdings
            .get(&shard)
            .is_some_and(|known| known.holder != holder && known.until_ms > now_ms);
        if !by_other {
            holdings.insert(shard, Holding { holder, until_ms: now_ms.saturating_add(valid_ms) });
        }
        !by_other
    }
}

/// Tells the witnesses of a shard that this instance uses it for `valid_ms`; returns whether none
/// of them knows another holder. One that does not answer is passed over.
pub(super) async fn confirm_shard(
    board: &Arc<Blackboard>,
    links: &Links,
    shard: u32,
    valid_ms: u64,
) -> bool {
    let view = board.members_view();
    let mut asked = JoinSet::new();
    for witness in view.ring_from(xxh3_64(&shard.to_le_bytes())).take(WITNESSES) {
        let (board, links) = (Arc::clone(board), links.clone());
        let witness = Arc::clone(witness);
        asked.spawn(async move { ask(&board, &links, &witness, shard, valid_ms).await });
    }
    asked.join_all().await.into_iter().flatten().all(|confirmed| confirmed)
}

/// The answer of one witness.
async fn ask(
    board: &Blackboard,
    links: &Links,
    witness: &MemberRow,
    shard: u32,
    valid_ms: u64,
) -> Option<bool> {
    let holder = board.incarnation;
    if witness.incarnation == holder {
        return Some(board.shard_witnesses.record(shard, holder, valid_ms));
    }
    let request = PeerRequest::WitnessShard { shard, holder, valid_ms };
    match links.call(witness.peer_address, &request, ANSWER_TIMEOUT).await {
        Ok(PeerReply::ShardConfirmed(confirmed)) => Some(confirmed),
        _ => None,
    }
}
