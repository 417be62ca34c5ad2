//! Grants the tokens of this instance to the homes that can use them.

use super::Shard;
use super::TokenBuckets;
use super::token_buckets::tokens_of_shard;
use crate::board::Blackboard;
use crate::clock::now_ms;
use crate::peer::GrantRequest;

/// The number of tokens granted for each requested service. It is 0 while the shard's lease may
/// end before the grant does, because the next holder of the shard would spend the same tokens.
#[must_use]
pub fn grant_tokens(
    board: &Blackboard,
    shard: &Shard,
    buckets: &TokenBuckets,
    request: &GrantRequest,
) -> Vec<u32> {
    let now = now_ms();
    let until_ms = now + board.settings.measuring.grant_ms;
    let number = shard.current(now).filter(|_| shard.valid_until_ms() >= until_ms);
    let services = board.services();
    let granted = request.services.iter().map(|name| {
        let (Some(number), Some(state)) = (number, services.get(name)) else {
            return 0;
        };
        let shards = board.settings.measuring.shards;
        let count = tokens_of_shard(state.spec.measuring_budget_per_s, number, shards);
        let granted_now = !state.is_home
            && count > 0
            && buckets.grant_own(name, board.incarnation, until_ms, now);
        if granted_now { count } else { 0 }
    });
    granted.collect()
}
