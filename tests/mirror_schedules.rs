//! Mirrors under random schedules of events, reads and relay answers, compared with a plain map.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
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

    fn sample_keys(&self, _: u64) -> Vec<String> {
        self.values.lock().keys().cloned().collect()
    }
}

/// The store: all events in order.
#[derive(Debug, Default)]
struct Store {
    events: Vec<ItemEvent>,
}

impl Store {
    /// Writes or removes one of a few keys.
    fn change_any(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let key = format!("k{}", u.int_in_range(0..=4)?);
        let there = self.items(self.events.len()).contains_key(&key);
        if there && u.ratio(1, 3)? {
            self.remove(&key);
        } else {
            self.write(&key);
        }
        Ok(())
    }

    fn write(&mut self, key: &str) {
        let item = Item { key: key.to_owned(), value: Vec::new(), revision: self.next_revision() };
        self.events.push(ItemEvent::Written(item));
    }

    fn remove(&mut self, key: &str) {
        let revision = self.next_revision();
        self.events.push(ItemEvent::Removed { key: key.to_owned(), revision });
    }

    fn next_revision(&self) -> Revision {
        Revision::new(0, self.events.len() as u64 + 1)
    }

    fn revision(&self) -> Revision {
        Revision::new(0, self.events.len() as u64)
    }

    /// Brings a mirror up to date by a watch from the revision that it has reached.
    fn watch(&self, mirror: &Mirror<RecordingSink>) {
        let from = event_index(mirror.revision().unwrap_or_default().number);
        mirror.apply(&self.events[from..], self.revision(), Duration::ZERO);
    }

    /// The keys with their revisions, as a [`RecordingSink`] has them.
    fn values(&self) -> BTreeMap<String, Revision> {
        let items = self.items(self.events.len());
        items.into_iter().map(|(key, item)| (key, item.revision)).collect()
    }

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
                0..=2 => store.change_any(u)?,
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

/// A store and three mirrors of it.
struct MirrorBed {
    store: Store,
    sinks: [RecordingSink; 3],
    mirrors: [Mirror<RecordingSink>; 3],
}

impl MirrorBed {
    fn new() -> Self {
        let sinks = [(); 3].map(|()| RecordingSink::default());
        let mirrors = sinks.each_ref().map(|sink| Mirror::new(sink.clone()));
        Self { store: Store::default(), sinks, mirrors }
    }

    /// Changes a key, or brings a mirror up to date by a watch or through another mirror.
    fn step(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let mirror = u.choose(&self.mirrors)?;
        match u.int_in_range(0..=3)? {
            0 => self.store.change_any(u)?,
            1 if mirror.revision().is_some() => self.store.watch(mirror),
            _ => sync_from_relay(u.choose(&self.mirrors)?, mirror),
        }
        Ok(())
    }

    /// Reads all keys into a mirror, page by page, while other things happen.
    fn read_in_pages(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        const PAGE_ITEMS: usize = 2;
        let reader = u.int_in_range(0..=self.mirrors.len() - 1)?;
        let read_at = self.store.revision();
        let mut items: Vec<Item> = Vec::new();
        loop {
            let last = items.last().map(|item| item.key.clone());
            let now = self.store.items(self.store.events.len()).into_values();
            let rest = now.filter(|item| last.as_ref().is_none_or(|last| item.key > *last));
            let page: Vec<Item> = rest.take(PAGE_ITEMS).collect();
            if page.is_empty() {
                break;
            }
            items.extend(page);
            for _ in 0..u.int_in_range(0..=3)? {
                self.step(u)?;
            }
        }
        self.mirrors[reader].replace(&items, read_at, Duration::ZERO);
        Ok(())
    }
}

/// Guards against a change that an instance never learns of: another instance saw it on a later page
/// of a read, so that it did not hand it on, but said that it had all changes up to a later revision.
#[test]
fn mirrors_converge_when_keys_change_between_pages() {
    common::property(1_000, |u| {
        let mut bed = MirrorBed::new();
        for _ in 0..u.int_in_range(2..=8)? {
            bed.read_in_pages(u)?;
            for _ in 0..u.int_in_range(0..=6)? {
                bed.step(u)?;
            }
        }
        for (mirror, sink) in bed.mirrors.iter().zip(&bed.sinks) {
            bed.store.watch(mirror);
            assert_eq!(*sink.values.lock(), bed.store.values());
            assert!(!*sink.regressed.lock());
        }
        Ok(())
    });
}

/// Guards against servers of a sample that are used after they left: the relay had seen the removal
/// on a later page of a read, and took the sample for unchanged since.
#[test]
fn removal_seen_on_a_later_page_reaches_samples() {
    let mut store = Store::default();
    store.write("k1");
    store.write("k2");
    let read_at = store.revision();
    let both: Vec<Item> = store.items(2).into_values().collect();
    let sink = RecordingSink::default();
    let holder = Mirror::new(sink.clone());
    holder.reset(false);
    holder.replace(&both, read_at, Duration::ZERO);
    store.remove("k2");
    let relay = Mirror::new(RecordingSink::default());
    relay.replace(&both[..1], read_at, Duration::ZERO);
    // Another instance's request has the relay draw the sample before it learns of the removal.
    block_on(relay.serve_sample(ZONE, None, Duration::ZERO));
    store.watch(&relay);
    sync(&holder, block_on(relay.serve_sample(ZONE, holder.revision(), Duration::ZERO)).reply);
    assert_eq!(*sink.values.lock(), store.values());
}

const ZONE: u64 = 1;

fn block_on<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
    runtime.expect("the runtime starts").block_on(work)
}

/// Applies a relay's reply for the revision that `mirror` has reached.
fn sync_from_relay(relay: &Mirror<RecordingSink>, mirror: &Mirror<RecordingSink>) {
    sync(mirror, block_on(relay.serve(mirror.revision(), Duration::ZERO)).reply);
}

fn sync(mirror: &Mirror<RecordingSink>, reply: FeedReply) {
    match reply {
        FeedReply::Events { events, revision } => mirror.apply(&events, revision, Duration::ZERO),
        FeedReply::Snapshot { items, revision } => mirror.replace(&items, revision, Duration::ZERO),
        FeedReply::Unknown => {}
    }
}

/// A mirror that holds a sample, with what it told its sink.
fn sample_holder() -> (Mirror<RecordingSink>, RecordingSink) {
    let sink = RecordingSink::default();
    let holder = Mirror::new(sink.clone());
    holder.reset(false);
    (holder, sink)
}

fn item(key: &str, revision: u64) -> Item {
    Item { key: key.to_owned(), value: Vec::new(), revision: Revision::new(0, revision) }
}

/// Guards against an instance that runs out of servers: those that came into its sample were listed
/// long before, and it took its revision for proof that it had them.
#[test]
fn sample_takes_up_servers_that_were_listed_before() {
    let (holder, sink) = sample_holder();
    holder.replace(&[item("k2", 2)], Revision::new(0, 5), Duration::ZERO);
    holder.replace(&[item("k1", 1)], Revision::new(0, 6), Duration::ZERO);
    // A late answer of another relay, from before.
    holder.replace(&[item("k2", 2)], Revision::new(0, 5), Duration::ZERO);
    let keys: Vec<String> = sink.values.lock().keys().cloned().collect();
    assert_eq!(keys, ["k1"]);
}

/// Guards against an instance that uses servers for good once it hears of no change any more: it
/// was to drop them, but took the removal at its own revision for an old one.
#[test]
fn cleared_mirror_uses_no_server() {
    let (holder, sink) = sample_holder();
    holder.replace(&[item("k1", 1)], Revision::new(0, 5), Duration::ZERO);
    holder.clear();
    assert!(sink.values.lock().is_empty());
    // It held the full list until now, and no sample yet.
    holder.reset(true);
    holder.replace(&[item("k1", 1)], Revision::new(0, 5), Duration::ZERO);
    holder.reset(false);
    holder.clear();
    assert!(sink.values.lock().is_empty());
}
