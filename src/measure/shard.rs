//! The shard of an instance: by it budgets are divided, so that no two spend the same share.
//!
//! Each shard is a key in the platform's store that one lease holds. The holder stops using it
//! by its own monotonic clock, counted from before it asked for the renewal, and so before the
//! store may give it to another: whatever instances believe of one another, shares stay apart.
//! With the store down shards run out, and only measuring stops.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;

use super::TokenBuckets;
use crate::board::Blackboard;
use crate::board::EventKind;
use crate::clock::now_ms;
use crate::store::Lease;
use crate::store::Store;

const SHARDS_PREFIX: &str = "sorrelwick/shards";
/// Shards tried in one turn before the next pause.
const ACQUIRE_ATTEMPTS_MAX: u32 = 4;
const RETRY_PAUSE_MIN_MS: u64 = 300;
/// The lease is renewed after this part of its time.
const RENEW_DIVISOR: u64 = 3;
/// Kept back from the end of the lease for clocks that run at slightly different rates.
const CLOCK_MARGIN_DIVISOR: u64 = 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldShard {
    shard: u32,
    /// On our clock; before the store may let go of the lease.
    valid_until_ms: u64,
}

/// The shard that this instance holds, if any; clones share.
#[derive(Clone, Debug, Default)]
pub struct Shard {
    held: Arc<Mutex<Option<HeldShard>>>,
}

impl Shard {
    /// The shard, while its lease surely stands.
    #[must_use]
    pub fn current(&self, now_ms: u64) -> Option<u32> {
        let held = *self.held.lock();
        held.filter(|held| now_ms < held.valid_until_ms).map(|held| held.shard)
    }

    /// How long the lease surely stands.
    #[must_use]
    pub fn valid_until_ms(&self) -> u64 {
        self.held.lock().map_or(0, |held| held.valid_until_ms)
    }

    /// Takes note of a shard held until `until_ms`.
    pub fn hold(&self, shard: u32, valid_until_ms: u64) {
        *self.held.lock() = Some(HeldShard { shard, valid_until_ms });
    }

    fn release(&self) -> Option<u32> {
        self.held.lock().take().map(|held| held.shard)
    }
}

fn usable_ms(ttl_ms: u64) -> u64 {
    ttl_ms - ttl_ms / CLOCK_MARGIN_DIVISOR
}

/// Takes a free shard; `None` when none was free among those tried.
async fn acquire_shard<S: Store>(
    board: &Blackboard,
    store: &S,
    shard: &Shard,
    ttl_ms: u64,
) -> Option<Lease> {
    let requested_ms = now_ms();
    let lease = store.lease_open(Duration::from_millis(ttl_ms)).await;
    board.note_store(lease.as_ref().err().map(ToString::to_string));
    let lease = lease.ok()?;
    let shards = board.settings.measuring.shards;
    let first = rand::rng().random_range(0..shards);
    let value = format!("{:016x}", board.incarnation);
    for turn in 0..ACQUIRE_ATTEMPTS_MAX.min(shards) {
        let number = (first + turn) % shards;
        let path = format!("{SHARDS_PREFIX}/{number}");
        let taken = store.acquire(&path, value.as_bytes(), &lease).await;
        board.note_store(taken.as_ref().err().map(ToString::to_string));
        match taken {
            Ok(true) => {
                shard.hold(number, requested_ms + usable_ms(ttl_ms));
                board.note(EventKind::ShardTaken { shard: number });
                return Some(lease);
            }
            Ok(false) => {}
            // It may have taken effect: the lease is closed, and the shard is free again.
            Err(_) => break,
        }
    }
    let _ = store.lease_close(&lease).await;
    None
}

/// Renews until the lease is lost.
async fn renew_until_lost<S: Store>(
    board: &Blackboard,
    store: &S,
    shard: &Shard,
    lease: &Lease,
    ttl_ms: u64,
) {
    loop {
        tokio::time::sleep(Duration::from_millis(ttl_ms / RENEW_DIVISOR)).await;
        let requested_ms = now_ms();
        let renewed = store.lease_renew(lease).await;
        board.note_store(renewed.as_ref().err().map(ToString::to_string));
        let number = shard.current(requested_ms);
        match (renewed, number) {
            (Ok(true), Some(number)) => shard.hold(number, requested_ms + usable_ms(ttl_ms)),
            (Err(_), Some(_)) => {}
            // Lapsed by the store's word, or by our clock.
            _ => return,
        }
    }
}

/// Holds a shard as long as the store lets it.
///
/// A process that stops leaves its lease to lapse: closed, the shard would be free while tokens
/// that came with it are still granted to others.
pub async fn run_shard<S: Store>(
    board: Arc<Blackboard>,
    store: S,
    shard: Shard,
    buckets: TokenBuckets,
) {
    let ttl_ms = board.settings.platform.as_ref().map_or(10_000, |p| p.lease_ttl_ms);
    let mut pause_ms = RETRY_PAUSE_MIN_MS;
    loop {
        if let Some(lease) = acquire_shard(&board, &store, &shard, ttl_ms).await {
            renew_until_lost(&board, &store, &shard, &lease, ttl_ms).await;
            if let Some(number) = shard.release() {
                board.note(EventKind::ShardLost { shard: number });
            }
            buckets.clear();
            let _ = store.lease_close(&lease).await;
            pause_ms = RETRY_PAUSE_MIN_MS;
        }
        let jitter_ms = rand::rng().random_range(0..pause_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms + jitter_ms)).await;
        // With more instances than shards, those that stand must not wear the store out.
        pause_ms = (pause_ms * 2).min(ttl_ms.max(RETRY_PAUSE_MIN_MS));
    }
}
