//! A copy of the keys below a prefix of the platform's store, which other instances may read.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::follower::FRESH_AGE_MAX;
use super::mirror_age::MirrorAge;
use super::mirror_sample::Sample;
use crate::clock::boot_us;
use crate::peer::FeedReply;
use crate::peer::FeedTold;
use crate::peer::Packed;
use crate::store::Item;
use crate::store::ItemEvent;

/// Events kept for instances that ask for what they missed; who missed more gets everything.
const RECENT_EVENTS_MAX: usize = 256;
/// Revisions asked from for which the answer is kept; nearly all ask from the last one or two.
const CACHED_REPLIES_MAX: usize = 8;

/// What is done with the keys.
pub trait Sink: Send + 'static {
    /// Takes out of an item what must not be kept or handed on; once for each that the store told.
    fn redact(&self, _item: &mut Item) {}

    /// A key was written.
    fn written(&mut self, item: &Item);

    /// A key was removed. For `grace` it may be missing only because its writer's lease lapsed
    /// while the store was away.
    fn removed(&mut self, key: &str, grace: Duration);

    /// Keys that are enough for an instance of this availability zone that seldom needs any.
    fn sample_keys(&self, _zone: u64) -> Vec<String> {
        Vec::new()
    }

    /// Changes that came together are told next, up to [`Sink::together_ends`].
    fn begin_batch(&mut self) {}

    /// All changes that came together, up to `revision`, were told.
    fn end_batch(&mut self, _revision: u64) {}
}

/// The copy; tells its sink of each change once, and of nothing older after something newer.
#[derive(Debug)]
pub struct Mirror<K> {
    pub(super) state: Mutex<MirrorState<K>>,
    /// Up to where the copy is complete, for those who wait. `None` before there is one: a store to
    /// which nothing was ever written is at 0, and a copy of it is one.
    revision: watch::Sender<Option<u64>>,
    /// The last revision at which any sample changed.
    pub(super) sample_revision: watch::Sender<u64>,
    age: Arc<MirrorAge>,
    /// Watches that wait in the store for the next change.
    active_watches: AtomicU32,
    /// Told when the store did not answer a check.
    interrupts: Notify,
}

/// A watch that waits in the store, until it is dropped.
#[derive(Debug)]
pub struct WatchGuard<'a>(&'a AtomicU32);

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

#[derive(Debug)]
pub(super) struct MirrorState<K> {
    pub(super) sink: K,
    pub(super) items: HashMap<String, Item>,
    /// The events after `recent_after`, in order.
    recent: VecDeque<ItemEvent>,
    recent_after: u64,
    /// Up to where the copy is complete; `None` before it was first read.
    pub(super) revision: Option<u64>,
    /// Whether all keys are copied, and not a sample of them.
    pub(super) full: bool,
    /// What instances of each zone are told that need a sample.
    pub(super) samples: HashMap<u64, Sample>,
    /// What was told since the last change; holds only at `revision`.
    reply_cache: ReplyCache,
}

/// What others were told at one revision, kept for the next that ask.
#[derive(Debug, Default)]
struct ReplyCache {
    /// By the revision that was asked from.
    events: HashMap<u64, Packed<Vec<ItemEvent>>>,
    all_items: Option<Packed<Vec<Item>>>,
}

impl<K: Sink> Mirror<K> {
    /// An empty copy.
    pub fn new(sink: K) -> Self {
        Self::with_age(sink, Arc::default())
    }

    /// An empty copy that keeps what is known of its age in `age`.
    pub fn with_age(sink: K, age: Arc<MirrorAge>) -> Self {
        let state = MirrorState {
            sink,
            items: HashMap::new(),
            recent: VecDeque::new(),
            recent_after: 0,
            revision: None,
            full: true,
            samples: HashMap::new(),
            reply_cache: ReplyCache::default(),
        };
        let revision = watch::Sender::new(None);
        Self {
            state: Mutex::new(state),
            revision,
            sample_revision: watch::Sender::new(0),
            age,
            active_watches: AtomicU32::new(0),
            interrupts: Notify::new(),
        }
    }

    /// Gives up the watches that wait in the store: it did not answer a check, and what it answers
    /// them on the connections of before may be lost.
    pub fn interrupt_watches(&self) {
        self.interrupts.notify_waiters();
    }

    /// Returns when the store does not answer a check.
    pub async fn wait_for_interrupt(&self) {
        self.interrupts.notified().await;
    }

    /// What is known is a sample of the keys from now on, or all of them again: the next copy replaces it.
    /// Others are told nothing of a sample.
    pub fn reset(&self, whole: bool) {
        let mut state = self.state.lock();
        state.full = whole;
        state.recent.clear();
        state.revision = None;
        state.reply_cache = ReplyCache::default();
        state.samples.clear();
        drop(state);
        self.revision.send_replace(None);
    }

    /// Takes note of a watch that waits in the store from now on.
    pub fn start_watch(&self) -> WatchGuard<'_> {
        self.active_watches.fetch_add(1, Ordering::AcqRel);
        WatchGuard(&self.active_watches)
    }

    /// Takes note that the store served this instance at `at_us`. While a watch waits there, it has
    /// told of all changes until then; between two watches, changes may be missing.
    pub fn record_store_reply(&self, at_us: u64) {
        if self.active_watches.load(Ordering::Acquire) > 0 {
            self.record_confirmation(at_us);
        }
    }

    /// Takes note that nothing was missing at `at_us`.
    pub fn record_confirmation(&self, at_us: u64) {
        self.age.record_confirmation(at_us);
    }

    /// Takes note that the store, or who asked it, told all up to now when it was asked at `at_us` or later,
    /// on the clock of [`boot_us`].
    pub fn record_proof(&self, at_us: u64) {
        self.age.record_proof(at_us);
    }

    /// How long ago the copy is proved to have been the newest; `None` if never.
    #[must_use]
    pub fn proof_age(&self) -> Option<Duration> {
        self.age.proof_age()
    }

    /// How long ago it was last certain that nothing is missing.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.age.age()
    }

    /// Up to where the copy is complete.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        self.state.lock().revision
    }

    /// An item of the store as it is kept and handed on.
    #[must_use]
    pub fn redacted(&self, mut item: Item) -> Item {
        self.state.lock().sink.redact(&mut item);
        item
    }

    /// An event of the store as it is kept and handed on.
    #[must_use]
    pub fn redacted_event(&self, event: ItemEvent) -> ItemEvent {
        match event {
            ItemEvent::Written(item) => ItemEvent::Written(self.redacted(item)),
            removed @ ItemEvent::Removed { .. } => removed,
        }
    }

    /// Whether all keys are copied, and not a sample of them.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.state.lock().full
    }

    /// Takes in the events after a revision that the copy had, up to `upto`.
    pub fn apply(&self, events: &[ItemEvent], upto: u64, grace: Duration) {
        let mut state = self.state.lock();
        state.sink.begin_batch();
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

    /// Takes in keys that may be seconds old, to go by until a copy is there that is certain: it
    /// replaces them, and what it does not have is removed. Others are not told of them.
    pub fn apply_provisional(&self, items: &[Item]) {
        let mut state = self.state.lock();
        state.sink.begin_batch();
        for item in by_revision(items) {
            state.written(item);
        }
        state.sink.end_batch(0);
    }

    /// Takes in all keys as they were read at `read_at` or later.
    pub fn replace(&self, items: &[Item], read_at: u64, grace: Duration) {
        let mut state = self.state.lock();
        state.sink.begin_batch();
        for item in by_revision(items) {
            state.written(item);
        }
        let read: std::collections::HashSet<&str> =
            items.iter().map(|item| item.key.as_str()).collect();
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
        // Events between the last revision and this one were not seen one by one. A read that is
        // older than what is known must not hide the events in between either.
        state.recent.clear();
        state.recent_after = state.revision.unwrap_or(0);
        drop(state);
        self.notify_waiters(read_at);
    }

    /// Tells those who wait how far the copy is complete now.
    fn notify_waiters(&self, upto: u64) {
        if let Some(changed) = self.state.lock().refresh_samples() {
            self.sample_revision.send_replace(changed);
        }
        let upto = Some(upto);
        self.revision.send_if_modified(|told| std::mem::replace(told, upto.max(*told)) < upto);
    }

    /// What an instance that knows everything up to `after` has missed, and how old that is; waits up to
    /// `wait` for something.
    pub async fn serve(&self, after: Option<u64>, wait: Duration) -> FeedTold {
        let asked_us = boot_us();
        let mut revision_rx = self.revision.subscribe();
        // Who knows something must hear in time that this instance is no longer certain.
        let wait =
            if after.is_some() { wait.min(FRESH_AGE_MAX.saturating_sub(self.age())) } else { wait };
        // Without news in time, the answer says so.
        let news = revision_rx.wait_for(|told| *told > after);
        let _ = tokio::time::timeout(wait, news).await;
        self.reply_with_age(asked_us, |state| state.changes_since(after))
    }

    /// An answer to a question that came at `asked_us`, and how old it is.
    pub(super) fn reply_with_age(
        &self,
        asked_us: u64,
        reply: impl FnOnce(&mut MirrorState<K>) -> FeedReply,
    ) -> FeedTold {
        // The ages first: what is told may only be newer than they say.
        let age_ms = u64::try_from(self.age().as_millis()).unwrap_or(u64::MAX);
        let proved_us = self.age.proved_us();
        let proof_after_ms = proved_us.map(|proved_us| ms_between(asked_us, proved_us));
        let reply = reply(&mut self.state.lock());
        FeedTold { reply, age_ms, proof_after_ms, zone_demand_per_s: 0 }
    }
}

/// Whole milliseconds from one moment to another, negative where that was before.
fn ms_between(from_us: u64, to_us: u64) -> i64 {
    let difference_us = i128::from(to_us) - i128::from(from_us);
    i64::try_from(difference_us.div_euclid(1000)).unwrap_or(i64::MIN)
}

/// As they were written: of two that contradict each other the last one counts.
fn by_revision(items: &[Item]) -> Vec<&Item> {
    let mut items: Vec<&Item> = items.iter().collect();
    items.sort_unstable_by_key(|item| item.revision);
    items
}

impl<K: Sink> MirrorState<K> {
    fn advance_to(&mut self, upto: u64) {
        self.revision = Some(self.revision.unwrap_or(0).max(upto));
        self.reply_cache = ReplyCache::default();
    }

    fn push_recent(&mut self, event: ItemEvent) {
        if self.recent.len() == RECENT_EVENTS_MAX
            && let Some(dropped) = self.recent.pop_front()
        {
            self.recent_after = self.recent_after.max(dropped.revision());
        }
        self.recent.push_back(event);
    }

    /// Whether a change is part of what the copy has already. An answer that comes late would
    /// otherwise bring back what was removed since.
    fn covers(&self, revision: u64) -> bool {
        self.revision.is_some_and(|complete| revision <= complete)
    }

    fn written(&mut self, item: &Item) {
        let newer = self.items.get(&item.key).is_none_or(|known| known.revision < item.revision);
        if self.covers(item.revision) || !newer {
            return;
        }
        self.items.insert(item.key.clone(), item.clone());
        self.push_recent(ItemEvent::Written(item.clone()));
        self.sink.written(item);
    }

    fn removed(&mut self, key: &str, revision: u64, grace: Duration) {
        let older = self.items.get(key).is_some_and(|known| known.revision <= revision);
        if self.covers(revision) || !older {
            return;
        }
        self.items.remove(key);
        self.push_recent(ItemEvent::Removed { key: key.to_owned(), revision });
        self.sink.removed(key, grace);
    }

    fn changes_since(&mut self, after: Option<u64>) -> FeedReply {
        let Some(revision) = self.revision.filter(|_| self.full) else {
            return FeedReply::Unknown;
        };
        match after {
            Some(after) if after >= self.recent_after => {
                FeedReply::Events { events: self.events_after(after), revision }
            }
            _ => FeedReply::All { items: self.all_items(), revision },
        }
    }

    fn events_after(&mut self, after: u64) -> Packed<Vec<ItemEvent>> {
        if let Some(known) = self.reply_cache.events.get(&after) {
            return known.clone();
        }
        let newer = self.recent.iter().filter(|event| event.revision() > after);
        let events: Packed<Vec<ItemEvent>> = newer.cloned().collect::<Vec<_>>().into();
        // Who waited in vain is told nothing, mostly at revisions of its own.
        if !events.is_empty() && self.reply_cache.events.len() < CACHED_REPLIES_MAX {
            self.reply_cache.events.insert(after, events.clone());
        }
        events
    }

    fn all_items(&mut self) -> Packed<Vec<Item>> {
        let items = &self.items;
        let all = || items.values().cloned().collect::<Vec<_>>().into();
        self.reply_cache.all_items.get_or_insert_with(all).clone()
    }
}
