//! The content of a mirror, and what is cached of it for peers.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::mirror_sample::Sample;
use super::mirror_sink::Sink;
use crate::peer::FeedReply;
use crate::peer::Packed;
use crate::store::Item;
use crate::store::ItemEvent;
use crate::store::Revision;

/// Number of events kept for peers that ask for changes; a peer that missed more gets all keys.
const RECENT_EVENTS_MAX: usize = 256;
/// Number of starting revisions for which the reply is cached; nearly all peers ask from the last
/// one or two.
const CACHED_REPLIES_MAX: usize = 8;

/// The content of a mirror.
#[derive(Debug)]
pub(super) struct MirrorState<K> {
    pub(super) sink: K,
    pub(super) items: HashMap<String, Item>,
    /// The events after `recent_after`, in order. It holds each event up to `revision`, also those
    /// that the content reflected before they came: peers that ask for changes learn of an event
    /// only from here.
    recent: VecDeque<ItemEvent>,
    /// Revision after which `recent` is complete.
    recent_after: Revision,
    /// Revision up to which the mirror is complete; `None` before the first load. The content may
    /// reflect later changes too: the pages of a read show those made while it was under way.
    pub(super) revision: Option<Revision>,
    /// Whether the mirror follows all keys, not just a sample.
    pub(super) full: bool,
    /// The samples that are served, by zone hash.
    pub(super) samples: HashMap<u64, Sample>,
    /// Whether the content reflected an event before it came, since the samples were last redrawn.
    /// They then changed at that event, even if they were drawn from the same content.
    pub(super) reflected_early: bool,
    /// Replies cached since the last change; valid only at `revision`.
    reply_cache: ReplyCache,
}

/// Replies at one revision, shared by all peers that ask for the same.
#[derive(Debug, Default)]
struct ReplyCache {
    /// By the revision that the peer already has.
    events: HashMap<Revision, Packed<Vec<ItemEvent>>>,
    all_items: Option<Packed<Vec<Item>>>,
}

impl<K: Sink> MirrorState<K> {
    /// Starts without content, not yet loaded.
    pub(super) fn new(sink: K) -> Self {
        Self {
            sink,
            items: HashMap::new(),
            recent: VecDeque::new(),
            recent_after: Revision::default(),
            revision: None,
            full: true,
            samples: HashMap::new(),
            reflected_early: false,
            reply_cache: ReplyCache::default(),
        }
    }

    /// Discards the revision, so that the next load replaces the content, and switches between all
    /// keys (`full`) and a sample.
    pub(super) fn reset(&mut self, full: bool) {
        self.full = full;
        self.recent.clear();
        self.revision = None;
        self.reply_cache = ReplyCache::default();
        self.samples.clear();
    }

    /// Forgets the events up to the current revision, which were not seen individually; peers get
    /// all keys.
    pub(super) fn forget_recent(&mut self) {
        self.recent.clear();
        self.recent_after = self.revision.unwrap_or_default();
    }

    /// Advances the revision up to which the mirror is complete, and drops cached replies.
    pub(super) fn advance_to(&mut self, upto: Revision) {
        self.revision = Some(self.revision.unwrap_or_default().max(upto));
        self.reply_cache = ReplyCache::default();
    }

    /// Appends an event to the recent ones, dropping the oldest when they are too many.
    fn push_recent(&mut self, event: ItemEvent) {
        if self.recent.len() == RECENT_EVENTS_MAX
            && let Some(dropped) = self.recent.pop_front()
        {
            self.recent_after = self.recent_after.max(dropped.revision());
        }
        self.recent.push_back(event);
    }

    /// Whether the mirror already includes the change at `revision`. Without this check, a late
    /// answer would restore what was removed since. A sample lacks most keys, whatever its revision.
    fn covers(&self, revision: Revision) -> bool {
        self.full && self.revision.is_some_and(|complete| revision <= complete)
    }

    /// Whether a sample that was drawn at `revision` is older than the one that is held.
    pub(super) fn is_outdated_sample(&self, revision: Revision) -> bool {
        !self.full && self.revision.is_some_and(|known| revision < known)
    }

    /// Removes all keys and returns how many there were.
    pub(super) fn clear(&mut self) -> usize {
        let keys: Vec<String> = self.items.drain().map(|(key, _)| key).collect();
        for key in &keys {
            self.sink.removed(key, Duration::ZERO);
        }
        keys.len()
    }

    /// Records a write that is not covered yet, and applies it unless the content has it or a newer
    /// one.
    pub(super) fn written(&mut self, item: &Item) {
        if self.covers(item.revision) {
            return;
        }
        self.push_recent(ItemEvent::Written(item.clone()));
        let newer = self.items.get(&item.key).is_none_or(|known| known.revision < item.revision);
        if !newer {
            self.reflected_early = true;
            return;
        }
        let before = self.items.insert(item.key.clone(), item.clone());
        // The sink has the value already if only a provisional item is confirmed.
        let confirms =
            |before: Item| before.revision == Revision::default() && before.value == item.value;
        if !before.is_some_and(confirms) {
            self.sink.written(item);
        }
    }

    /// Keeps the known value of a key that a restored store has in an older state.
    pub(super) fn keep_known(&mut self, item: &Item) {
        match self.items.get_mut(&item.key) {
            Some(known) => known.revision = item.revision,
            None => self.written(item),
        }
    }

    /// Records a removal that is not covered yet, and applies it unless the content lacks the key or
    /// has a newer write.
    pub(super) fn removed(&mut self, key: &str, revision: Revision, grace: Duration) {
        if self.covers(revision) {
            return;
        }
        self.push_recent(ItemEvent::Removed { key: key.to_owned(), revision });
        let older = self.items.get(key).is_some_and(|known| known.revision <= revision);
        if !older {
            self.reflected_early = true;
            return;
        }
        self.items.remove(key);
        self.sink.removed(key, grace);
    }

    /// The events after `after` if they are still kept, otherwise all items.
    pub(super) fn changes_since(&mut self, after: Option<Revision>) -> FeedReply {
        let Some(revision) = self.revision.filter(|_| self.full) else {
            return FeedReply::Unknown;
        };
        match after {
            Some(after) if after >= self.recent_after => {
                FeedReply::Events { events: self.events_after(after), revision }
            }
            _ => FeedReply::Snapshot { items: self.all_items(), revision },
        }
    }

    fn events_after(&mut self, after: Revision) -> Packed<Vec<ItemEvent>> {
        if let Some(known) = self.reply_cache.events.get(&after) {
            return known.clone();
        }
        let newer = self.recent.iter().filter(|event| event.revision() > after);
        let events: Packed<Vec<ItemEvent>> = newer.cloned().collect::<Vec<_>>().into();
        // A request that timed out without changes gets an empty list, mostly at a revision of its
        // own; caching those would waste the few entries.
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
