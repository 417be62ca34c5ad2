//! Mirrors under random schedules of events, reads and relay answers, compared with a plain map.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use sorrelwick::gateway::Mirror;
use sorrelwick::gateway::Sink;
use sorrelwick::peer::FeedReply;
use sorrelwick::store::Item;
use sorrelwick::store::ItemEvent;
use sorrelwick::store::Revision;

mod common;

/// Records the mirrored keys with their revisions, and whether an older change ever followed a
/// newer one.
#[derive(Clone, Debug, Default)]
struct RecordingSink {
    values: Arc<Mutex<BTreeMap<String, Revision>>>,
    newest: Arc<Mutex<BTreeMap<String, Revision>>>,
    regressed: Arc<Mutex<bool>>,
}

impl Sink for RecordingSink {
    fn written(&mut self, item: &Item) {
        let newest = self.newest.lock().insert(item.key.clone(), item.revision);
        *self.regressed.lock() |= newest.is_some_and(|newest| newest >= item.revision);
        self.values.lock().insert(item.key.clone(), item.revision);
    }

    fn removed(&mut self, key: &str, _: Duration) {
        self.values.lock().remove(key);
    }
}

/// The store: all events in order.
#[derive(Debug, Default)]
struct Store {
    events: Vec<ItemEvent>,
}

impl Store {
    fn items(&self, upto: usize) -> BTreeMap<String, Item> {
        let mut items = BTreeMap::new();
        for event in &self.events[..upto] {
            match event {
                ItemEvent::Written(item) => items.insert(item.key.clone(), item.clone()),
                ItemEvent::Removed { key, .. } => items.remove(key),
            };
        }
        items
    }
}

/// Guards against restoring a removed route or server: an old read or a relay's late answer arrives
/// after newer events.
#[test]
fn mirror_never_regresses_and_converges_to_store() {
    common::property(400, |u| {
        let mut store = Store::default();
        let sink = RecordingSink::default();
        let mirror = Mirror::new(sink.clone());
        let relay = Mirror::new(RecordingSink::default());
        for _ in 0..u.int_in_range(5..=60)? {
            match u.int_in_range(0..=5)? {
                0..=2 => {
                    let key = format!("k{}", u.int_in_range(0..=4)?);
                    let revision = Revision::new(0, store.events.len() as u64 + 1);
                    let there = store.items(store.events.len()).contains_key(&key);
                    store.events.push(if there && u.ratio(1, 3)? {
                        ItemEvent::Removed { key, revision }
                    } else {
                        ItemEvent::Written(Item { key, value: Vec::new(), revision })
                    });
                }
                3 => {
                    // Events from a revision that the mirror has reached, delivered late or twice.
                    let from = u.int_in_range(0..=mirror.revision().unwrap_or_default().number)?;
                    let upto = u.int_in_range(from..=store.events.len() as u64)?;
                    let part = &store.events[event_index(from)..event_index(upto)];
                    mirror.apply(part, Revision::new(0, upto), Duration::ZERO);
                }
                4 => {
                    // A read of any age.
                    let read_at = u.int_in_range(0..=store.events.len())?;
                    let items: Vec<Item> = store.items(read_at).into_values().collect();
                    relay.replace(&items, Revision::new(0, read_at as u64), Duration::ZERO);
                }
                _ => sync_from_relay(&relay, &mirror),
            }
        }
        let all = store.events.len();
        let from = event_index(mirror.revision().unwrap_or_default().number);
        mirror.apply(&store.events[from.min(all)..], Revision::new(0, all as u64), Duration::ZERO);
        let expected: BTreeMap<String, Revision> =
            store.items(all).into_iter().map(|(key, item)| (key, item.revision)).collect();
        assert_eq!(*sink.values.lock(), expected);
        assert!(!*sink.regressed.lock());
        Ok(())
    });
}

/// Index of the event after a revision.
fn event_index(revision: u64) -> usize {
    usize::try_from(revision).expect("revisions fit in usize")
}

/// Applies a relay's reply for the revision that `mirror` has reached.
fn sync_from_relay(relay: &Mirror<RecordingSink>, mirror: &Mirror<RecordingSink>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
    let runtime = runtime.expect("the runtime starts");
    let reply = runtime.block_on(relay.serve(mirror.revision(), Duration::ZERO)).reply;
    match reply {
        FeedReply::Events { events, revision } => mirror.apply(&events, revision, Duration::ZERO),
        FeedReply::Snapshot { items, revision } => mirror.replace(&items, revision, Duration::ZERO),
        FeedReply::Unknown => {}
    }
}
