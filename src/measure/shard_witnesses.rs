//! Which shards are held, as instances remember it for each other.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64;

use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::member::WitnessReply;
use crate::member::WitnessRequest;
use crate::member::ask_witnesses;
use crate::peer::Links;

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
/// of them knows another holder.
pub(super) async fn confirm_shard(
    board: &Arc<Blackboard>,
    links: &Links,
    shard: u32,
    valid_ms: u64,
) -> bool {
    let place = xxh3_64(&shard.to_le_bytes());
    let request = WitnessRequest::Shard { shard, holder: board.incarnation, valid_ms };
    let within = Duration::from_millis(valid_ms);
    let replies = ask_witnesses(board, links, place, request, within).await;
    !replies.contains(&WitnessReply::ShardConfirmed(false))
}
