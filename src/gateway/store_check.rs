//! Checks that the platform's store still serves an instance that watches it.

use std::sync::Arc;
use std::time::Duration;

use super::mirror::Mirror;
use super::mirror_sink::Sink;
use super::relays::is_watcher;
use crate::board::Blackboard;
use crate::clock::now_us;
use crate::store::EventStore;

/// How often a watcher checks the store. A waiting watch does not reveal that the store rejects
/// this instance; those that rely on it must learn that well within the two seconds that a change
/// may take.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Checks the store periodically while this instance is a watcher, until the process ends.
pub async fn run_store_check<S: EventStore, A: Sink, B: Sink>(
    store: S,
    board: Arc<Blackboard>,
    first: Arc<Mirror<A>>,
    second: Arc<Mirror<B>>,
) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !is_watcher(&board) {
            continue;
        }
        let started_us = now_us();
        let alive = tokio::time::timeout(CHECK_TIMEOUT, store.check_alive()).await;
        if let Ok(Ok(era)) = alive {
            board.record_store_era(era);
            first.record_store_reply(started_us, era);
            second.record_store_reply(started_us, era);
        } else {
            first.interrupt_watches();
            second.interrupt_watches();
        }
    }
}
