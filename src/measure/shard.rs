//! The shard that an instance holds. It decides which part of each measuring budget the instance
//! may spend, so that no two instances spend the same part.
//!
//! Each shard is a key in the platform's store, held under a lease. The holder stops using it by
//! its own monotonic clock, counted from before it requested the renewal, and so before the store
//! can give it to another instance: the parts never overlap, whatever instances believe about each
//! other. While the store is down the leases expire, and only measuring stops.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;

use super::TokenBuckets;
use super::shard_witnesses::confirm_shard;
use crate::board::Blackboard;
use crate::board::EventKind;
use crate::clock::now_ms;
use crate::peer::Links;
use crate::store::Lease;
use crate::store::Store;

const ROOT: &str = "sorrelwick/shards";
/// Shards tried in a row before the next pause.
const ACQUIRE_ATTEMPTS_MAX: u32 = 4;
/// Pause before the next try to get a shard; it doubles, up to the TTL, while none is free.
const RETRY_PAUSE_MIN_MS: u64 = 300;
/// The lease is renewed after the TTL divided by this.
const RENEW_DIVISOR: u64 = 3;
/// The TTL divided by this is cut off the end of a lease, because the clocks of the store and of
/// this process run at slightly different rates.
const CLOCK_MARGIN_DIVISOR: u64 = 10;

/// A shard whose lease this instance holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldShard {
    shard: u32,
    /// On this process's clock; earlier than the store can end the lease.
    valid_until_ms: u64,
}

/// The shard that this instance holds, if any. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct Shard {
    held: Arc<Mutex<Option<HeldShard>>>,
}

impl Shard {
    /// The shard, while its lease is certain to be valid.
    #[must_use]
    pub fn current(&self, now_ms: u64) -> Option<u32> {
        let held = *self.held.lock();
        held.filter(|held| now_ms < held.valid_until_ms).map(|held| held.shard)
    }

    /// Until when the lease is certain to be valid; 0 without a shard.
    #[must_use]
    pub fn valid_until_ms(&self) -> u64 {
        self.held.lock().map_or(0, |held| held.valid_until_ms)
    }

    /// Records that `shard` may be used until `valid_until_ms`.
    pub fn hold(&self, shard: u32, valid_until_ms: u64) {
        *self.held.lock() = Some(HeldShard { shard, valid_until_ms });
    }

    fn release(&self) -> Option<u32> {
        self.held.lock().take().map(|held| held.shard)
    }
}

/// How much of a lease may be used.
fn usable_ms(ttl_ms: u64) -> u64 {
    ttl_ms - ttl_ms / CLOCK_MARGIN_DIVISOR
}

/// Acquires a free shard; `None` if none of those tried was free, or the store failed.
async fn acquire_shard<S: Store>(
    board: &Arc<Blackboard>,
    store: &S,
    links: &Links,
    shard: &Shard,
    ttl_ms: u64,
) -> Option<Lease> {
    let requested_ms = now_ms();
    let lease = store.lease_open(Duration::from_millis(ttl_ms)).await;
    board.record_store_result(lease.as_ref().err().map(ToString::to_string));
    let lease = lease.ok()?;
    let shards = board.settings.measuring.shards;
    let first = rand::rng().random_range(0..shards);
    let value = format!("{:016x}", board.incarnation);
    for attempt in 0..ACQUIRE_ATTEMPTS_MAX.min(shards) {
        let number = (first + attempt) % shards;
        let path = format!("{ROOT}/{number}");
        let acquired = store.acquire(&path, value.as_bytes(), &lease).await;
        board.record_store_result(acquired.as_ref().err().map(ToString::to_string));
        match acquired {
            // A restored store may have lost the lease of an instance that still uses the shard.
            Ok(true) if !confirm_shard(board, links, number, usable_ms(ttl_ms)).await => break,
            Ok(true) => {
                shard.hold(number, requested_ms + usable_ms(ttl_ms));
                board.record_event(EventKind::ShardTaken { shard: number });
                return Some(lease);
            }
            Ok(false) => {}
            // The call may have taken effect: closing the lease frees the shard again.
            Err(_) => break,
        }
    }
    let _ = store.lease_close(&lease).await;
    None
}

/// Renews the lease until it is lost.
async fn renew_until_lost<S: Store>(
    board: &Arc<Blackboard>,
    store: &S,
    links: &Links,
    shard: &Shard,
    lease: &Lease,
    ttl_ms: u64,
) {
    loop {
        tokio::time::sleep(Duration::from_millis(ttl_ms / RENEW_DIVISOR)).await;
        let requested_ms = now_ms();
        let renewed = store.lease_renew(lease).await;
        board.record_store_result(renewed.as_ref().err().map(ToString::to_string));
        let number = shard.current(requested_ms);
        match (renewed, number) {
            (Ok(true), Some(number)) => {
                if !confirm_shard(board, links, number, usable_ms(ttl_ms)).await {
                    return;
                }
                shard.hold(number, requested_ms + usable_ms(ttl_ms));
            }
            (Err(_), Some(_)) => {}
            // The lease has expired, by the answer of the store or by this process's clock.
            _ => return,
        }
    }
}

/// Acquires a shard, holds it while its lease can be renewed, and then starts again.
///
/// A process that stops does not close its lease but lets it expire: otherwise the shard would be
/// free while its tokens are still granted to others.
pub async fn run_shard<S: Store>(
    board: Arc<Blackboard>,
    store: S,
    links: Links,
    shard: Shard,
    buckets: TokenBuckets,
) {
    let ttl_ms = board.settings.platform.as_ref().map_or(10_000, |p| p.lease_ttl_ms);
    let mut pause_ms = RETRY_PAUSE_MIN_MS;
    loop {
        if let Some(lease) = acquire_shard(&board, &store, &links, &shard, ttl_ms).await {
            renew_until_lost(&board, &store, &links, &shard, &lease, ttl_ms).await;
            if let Some(number) = shard.release() {
                board.record_event(EventKind::ShardLost { shard: number });
            }
            buckets.clear();
            let _ = store.lease_close(&lease).await;
            pause_ms = RETRY_PAUSE_MIN_MS;
        }
        let jitter_ms = rand::rng().random_range(0..pause_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms + jitter_ms)).await;
        // With more instances than shards, those without one must not overload the store.
        pause_ms = (pause_ms * 2).min(ttl_ms.max(RETRY_PAUSE_MIN_MS));
    }
}
