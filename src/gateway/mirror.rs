//! An in-memory copy of the keys below one prefix of the platform's store, which other instances
//! can read.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::mirror_age::FRESH_AGE_MAX;
use super::mirror_age::MirrorAge;
use super::mirror_sink::Sink;
use super::mirror_state::MirrorState;
use crate::clock::boot_us;
use crate::peer::FeedReply;
use crate::peer::FeedResponse;
use crate::store::Item;
use crate::store::ItemEvent;
use crate::store::Revision;

/// The keys below one prefix, as last read from the store or a peer. It passes each change to its
/// sink once, and never an older one after a newer one.
#[derive(Debug)]
pub struct Mirror<K> {
    pub(super) state: Mutex<MirrorState<K>>,
    /// Revision up to which the mirror is complete, for tasks that wait for it. `None` before the
    /// first load: 0 is a valid revision, that of a store to which nothing was ever written.
    revision: watch::Sender<Option<Revision>>,
    /// The last revision at which any sample changed.
    pub(super) sample_revision: watch::Sender<Revision>,
    age: Arc<MirrorAge>,
    /// Number of watches that are waiting in the store for the next change.
    active_watches: AtomicU32,
    /// Notified when the store fails a health check.
    interrupts: Notify,
}

/// Counts as a waiting watch until it is dropped.
#[derive(Debug)]
pub struct WatchGuard<'a>(&'a AtomicU32);

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl<K: Sink> Mirror<K> {
    /// Creates an empty mirror.
    pub fn new(sink: K) -> Self {
        Self::with_age(sink, Arc::default())
    }

    /// Creates an empty mirror that records its age in `age`.
    pub fn with_age(sink: K, age: Arc<MirrorAge>) -> Self {
        Self {
            state: Mutex::new(MirrorState::new(sink)),
            revision: watch::Sender::new(None),
            sample_revision: watch::Sender::new(Revision::default()),
            age,
            active_watches: AtomicU32::new(0),
            interrupts: Notify::new(),
        }
    }

    /// Abandons the watches that are waiting in the store: it failed a health check, and answers on
    /// the existing connections may be lost.
    pub fn interrupt_watches(&self) {
        self.interrupts.notify_waiters();
    }

    /// Returns when the store fails a health check.
    pub async fn wait_for_interrupt(&self) {
        self.interrupts.notified().await;
    }

    /// Discards the revision, so that the next load replaces the content, and switches between all
    /// keys (`full`) and a sample. A sample is not served to other instances.
    pub fn reset(&self, full: bool) {
        self.state.lock().reset(full);
        self.revision.send_replace(None);
    }

    /// Removes all keys, as which of them still exist is not known any more, and returns how many
    /// there were. The next load replaces the content.
    pub fn clear(&self) -> usize {
        let mut state = self.state.lock();
        let full = state.full;
        state.sink.begin_batch(false);
        let removed = state.clear();
        state.sink.end_batch(Revision::default());
        state.reset(full);
        drop(state);
        self.revision.send_replace(None);
        removed
    }

    /// Registers a watch that waits in the store, until the guard is dropped.
    pub fn start_watch(&self) -> WatchGuard<'_> {
        self.active_watches.fetch_add(1, Ordering::AcqRel);
        WatchGuard(&self.active_watches)
    }

    /// Records that the store, in its era `era`, answered this instance at `at_us`. This confirms the
    /// mirror only while a watch is waiting: between two watches, changes may be missed. A watch from
    /// a revision of an earlier era may miss changes too.
    pub fn record_store_reply(&self, at_us: u64, era: u64) {
        let same_era = self.revision().is_some_and(|revision| revision.era == era);
        if same_era && self.active_watches.load(Ordering::Acquire) > 0 {
            self.record_confirmation(at_us);
        }
    }

    /// Records that the mirror was complete at `at_us`, on the clock of [`crate::clock::now_us`].
    pub fn record_confirmation(&self, at_us: u64) {
        self.age.record_confirmation(at_us);
    }

    /// Records that the mirror holds everything that the store had acknowledged at `at_us`, on the
    /// clock of [`boot_us`].
    pub fn record_proof(&self, at_us: u64) {
        self.age.record_proof(at_us);
    }

    /// Time since the mirror was last proved up to date; `None` if it never was.
    #[must_use]
    pub fn proof_age(&self) -> Option<Duration> {
        self.age.proof_age()
    }

    /// Time since the mirror was last confirmed complete.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.age.age()
    }

    /// Revision up to which the mirror is complete; `None` before the first load.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.state.lock().revision
    }

    /// Returns an item with everything removed that must not be kept or passed on.
    #[must_use]
    pub fn redacted(&self, mut item: Item) -> Item {
        self.state.lock().sink.redact(&mut item);
        item
    }

    /// Returns an event with everything removed that must not be kept or passed on.
    #[must_use]
    pub fn redacted_event(&self, event: ItemEvent) -> ItemEvent {
        match event {
            ItemEvent::Written(item) => ItemEvent::Written(self.redacted(item)),
            removed @ ItemEvent::Removed { .. } => removed,
        }
    }

    /// Whether the mirror follows all keys, not just a sample.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.state.lock().full
    }

    /// Applies the events between a revision that the mirror had reached and `upto`.
    pub fn apply(&self, events: &[ItemEvent], upto: Revision, grace: Duration) {
        let mut state = self.state.lock();
        state.sink.begin_batch(false);
        for event in events {
            match event {
                ItemEvent::Written(item) => state.written(item),
                ItemEvent::Removed { key, revision } => state.removed(key, *revision, grace),
            }
        }
        state.sink.end_batch(upto);
        state.advance_to(upto);
        drop(state);
        self.notify_waiters(upto);
    }

    /// Applies keys that may be seconds old, for use until the next [`Mirror::replace`], which also
    /// removes those that no longer exist. They are not served to other instances.
    pub fn apply_provisional(&self, items: &[Item]) {
        let mut state = self.state.lock();
        state.sink.begin_batch(false);
        for item in by_revision(items) {
            state.written(item);
            // Old contents of a restored store may come with its new era. Any load replaces them.
            if let Some(known) = state.items.get_mut(&item.key).filter(|known| *known == item) {
                known.revision = Revision::default();
            }
        }
        state.sink.end_batch(Revision::default());
    }

    /// Replaces the content by all keys, as they were read at revision `read_at` or later.
    pub fn replace(&self, items: &[Item], read_at: Revision, grace: Duration) {
        let mut state = self.state.lock();
        if state.is_outdated_sample(read_at) {
            return;
        }
        let restored = state.revision.is_some_and(|known| known.era < read_at.era);
        state.sink.begin_batch(restored);
        for item in by_revision(items) {
            if restored && state.sink.is_outdated(item) {
                state.keep_known(item);
            } else {
                state.written(item);
            }
        }
        let read: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let missing = state
            .items
            .values()
            .filter(|item| item.revision <= read_at && !read.contains(item.key.as_str()));
        let missing: Vec<String> = missing.map(|item| item.key.clone()).collect();
        for key in missing {
            state.removed(&key, read_at, grace);
        }
        state.sink.end_batch(read_at);
        state.advance_to(read_at);
        // If this read is older than the mirror, the events since then must not be lost either.
        state.forget_recent();
        drop(state);
        self.notify_waiters(read_at);
    }

    /// Notifies waiting tasks of the revision that the mirror has reached.
    fn notify_waiters(&self, upto: Revision) {
        if let Some(changed) = self.state.lock().refresh_samples() {
            self.sample_revision.send_replace(changed);
        }
        let upto = Some(upto);
        self.revision.send_if_modified(|known| std::mem::replace(known, upto.max(*known)) < upto);
    }

    /// Returns the changes after revision `after`, and their age; waits up to `wait` for some.
    pub async fn serve(&self, after: Option<Revision>, wait: Duration) -> FeedResponse {
        let asked_us = boot_us();
        let mut revision_rx = self.revision.subscribe();
        // A peer that already has data must learn in time when this mirror stops being fresh.
        let wait =
            if after.is_some() { wait.min(FRESH_AGE_MAX.saturating_sub(self.age())) } else { wait };
        // If the time is over, the reply contains no events.
        let changed = revision_rx.wait_for(|known| *known > after);
        let _ = tokio::time::timeout(wait, changed).await;
        self.reply_with_age(asked_us, |state| state.changes_since(after))
    }

    /// Builds the reply to a request that arrived at `asked_us`, with the mirror's age.
    pub(super) fn reply_with_age(
        &self,
        asked_us: u64,
        reply: impl FnOnce(&mut MirrorState<K>) -> FeedReply,
    ) -> FeedResponse {
        // The ages are read before the content, which may then only be newer than they say.
        let age_ms = u64::try_from(self.age().as_millis()).unwrap_or(u64::MAX);
        let proved_us = self.age.proved_us();
        let proof_after_ms = proved_us.map(|proved_us| ms_between(asked_us, proved_us));
        let reply = reply(&mut self.state.lock());
        FeedResponse { reply, age_ms, proof_after_ms, zone_demand_per_s: 0 }
    }
}

/// Milliseconds from one time to another, rounded down; negative if the second is earlier.
fn ms_between(from_us: u64, to_us: u64) -> i64 {
    let difference_us = i128::from(to_us) - i128::from(from_us);
    i64::try_from(difference_us.div_euclid(1000)).unwrap_or(i64::MIN)
}

/// Sorts items by revision, so that the newest of two conflicting ones is applied last.
fn by_revision(items: &[Item]) -> Vec<&Item> {
    let mut items: Vec<&Item> = items.iter().collect();
    items.sort_unstable_by_key(|item| item.revision);
    items
}
