//! Follows the keys below a prefix of the platform's store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use rand::RngExt;

use crate::board::Blackboard;
use crate::clock::now_us;
use crate::store::EventStore;
use crate::store::Item;
use crate::store::ItemEvent;
use crate::store::StoreError;
use crate::store::Watched;

/// How long a watch waits in the store. It bounds how long a connection that went silent hides
/// changes, beside the kernel's probes; each turn is a call.
const WAIT: Duration = Duration::from_secs(4);
/// Pause after a change, so that changes that come together are one call: a tenth of the two
/// seconds that a change may take.
const GATHER: Duration = Duration::from_millis(200);
/// Pause after a failed call, doubling up to the second: a store that is down gains nothing from
/// more calls, and one that is back should be noticed within a second.
const RETRY_MIN_MS: u64 = 150;
const RETRY_MAX_MS: u64 = 1_000;
/// Keys removed this long ago are forgotten; events do not come later than the store keeps them.
const TOMBSTONES_MAX: usize = 10_000;

/// What is done with the keys.
pub trait Sink: Send + 'static {
    /// A key was written.
    fn written(&mut self, item: &Item);

    /// A key was removed.
    ///
    /// `after_outage`: it was learned of just after a time without the store, when entries of
    /// living writers may be missing because their leases lapsed meanwhile.
    fn removed(&mut self, key: &str, after_outage: bool);
}

/// A removal learned of within this after an outage may be a lapse of a living writer's lease.
const LAPSE_SUSPECTED_US: u64 = 2_500_000;

/// Keeps a sink up to date with the keys below a prefix.
#[derive(Debug)]
pub struct Follower<S, K> {
    store: S,
    prefix: &'static str,
    sink: K,
    board: Arc<Blackboard>,
    /// Revision of each key, and of removals, so that nothing older is applied after it.
    known: HashMap<String, Known>,
    /// Where the watch goes on; `None` when all keys must be read first.
    revision: Option<u64>,
    failures: u32,
    outage_ended_us: u64,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    revision: u64,
    present: bool,
}

impl<S: EventStore, K: Sink> Follower<S, K> {
    /// A follower that knows nothing yet.
    pub fn new(store: S, prefix: &'static str, sink: K, board: Arc<Blackboard>) -> Self {
        Self {
            store,
            prefix,
            sink,
            board,
            known: HashMap::new(),
            revision: None,
            failures: 0,
            outage_ended_us: 0,
        }
    }

    /// Follows until the process ends.
    pub async fn run(mut self) {
        loop {
            let turn = match self.revision {
                None => self.read_all().await,
                Some(revision) => self.watch(revision).await,
            };
            match turn {
                Ok(changed) => {
                    self.answered();
                    if changed {
                        tokio::time::sleep(GATHER).await;
                    }
                }
                Err(error) => self.failed(&error).await,
            }
        }
    }

    fn answered(&mut self) {
        self.board.note_store(None);
        self.failures = 0;
    }

    async fn failed(&mut self, error: &StoreError) {
        self.board.note_store(Some(error.to_string()));
        if self.failures == 0 {
            warn!(event = "follow-failed", prefix = self.prefix, why = error.to_string().as_str(); "");
        }
        let pause_ms = (RETRY_MIN_MS << self.failures.min(6)).min(RETRY_MAX_MS);
        self.failures += 1;
        let jitter_ms = rand::rng().random_range(0..=pause_ms / 4);
        tokio::time::sleep(Duration::from_millis(pause_ms + jitter_ms)).await;
        self.outage_ended_us = now_us();
    }

    fn after_outage(&self) -> bool {
        self.outage_ended_us > 0
            && now_us().saturating_sub(self.outage_ended_us) < LAPSE_SUSPECTED_US
    }

    /// Reads all keys. Pages are no snapshot, so the watch goes on from before the first one.
    async fn read_all(&mut self) -> Result<bool, StoreError> {
        let mut seen: HashMap<String, u64> = HashMap::new();
        let mut first_revision = None;
        let mut after: Option<String> = None;
        loop {
            let page = self.store.page(self.prefix, after.as_deref()).await?;
            first_revision.get_or_insert(page.revision);
            after = page.items.last().map(|item| item.key.clone());
            for item in &page.items {
                seen.insert(item.key.clone(), item.revision);
                self.written(item);
            }
            if !page.more || page.items.is_empty() {
                break;
            }
        }
        let read_at = first_revision.unwrap_or(0);
        let missing = self.known.iter().filter(|(key, known)| {
            known.present && known.revision <= read_at && !seen.contains_key(*key)
        });
        let missing: Vec<String> = missing.map(|(key, _)| key.clone()).collect();
        for key in missing {
            self.removed(&key, read_at);
        }
        self.revision = first_revision;
        Ok(false)
    }

    async fn watch(&mut self, revision: u64) -> Result<bool, StoreError> {
        match self.store.events(self.prefix, revision, WAIT).await? {
            Watched::HistoryLost => {
                self.revision = None;
                Ok(false)
            }
            Watched::Events { events, revision: upto } => {
                for event in &events {
                    match event {
                        ItemEvent::Written(item) => self.written(item),
                        ItemEvent::Removed { key, revision } => self.removed(key, *revision),
                    }
                }
                self.revision = Some(upto.max(revision));
                Ok(!events.is_empty())
            }
        }
    }

    fn written(&mut self, item: &Item) {
        if self.known.get(&item.key).is_some_and(|known| known.revision >= item.revision) {
            return;
        }
        self.known.insert(item.key.clone(), Known { revision: item.revision, present: true });
        self.sink.written(item);
    }

    fn removed(&mut self, key: &str, revision: u64) {
        if self.known.get(key).is_some_and(|known| known.revision > revision) {
            return;
        }
        if self.known.len() >= TOMBSTONES_MAX {
            self.known.retain(|_, known| known.present);
        }
        self.known.insert(key.to_owned(), Known { revision, present: false });
        let after_outage = self.after_outage();
        self.sink.removed(key, after_outage);
    }
}
