//! An in-memory event store with injectable faults; clones share its state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use sorrelwick::store::EraLease;
use sorrelwick::store::EventStore;
use sorrelwick::store::Freshness;
use sorrelwick::store::Item;
use sorrelwick::store::ItemEvent;
use sorrelwick::store::Page;
use sorrelwick::store::Revision;
use sorrelwick::store::StoreError;
use sorrelwick::store::WatchResult;
use tokio::sync::watch;

/// Items of a page, unless set otherwise.
const PAGE_ITEMS: usize = 50;
/// Time after which a client abandons a call without a response.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that an answer takes to its client.
const ROUND_TRIP: Duration = Duration::from_millis(1);

/// Fault that the store simulates for one client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    #[default]
    None,
    /// Refuses each call as busy, without effect.
    Busy,
    /// Answers each call for a page with the first one.
    RepeatsPages,
    /// Does not respond; pending watches fail at once.
    Silent,
    /// Does not respond, and calls made during the fault or pending at its start get no response even
    /// after it ends, as on dead connections.
    Hung,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Result of stale reads; the latest items if `None`.
    stale_items: Option<BTreeMap<String, Item>>,
    history: Vec<ItemEvent>,
    /// Events up to this revision are no longer available.
    compacted_revision: u64,
    revision: Revision,
    leases: BTreeSet<u64>,
    last_lease: u64,
}

impl State {
    fn next_revision(&mut self) -> Revision {
        self.revision.number += 1;
        self.revision
    }
}

/// What a store held at one moment.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    items: BTreeMap<String, Item>,
    revision: u64,
    leases: BTreeSet<u64>,
    last_lease: u64,
}

/// One client's handle of the store, with its own fault and call counts.
#[derive(Clone, Debug)]
pub struct MemoryEventStore {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<Revision>>,
    fault: Arc<watch::Sender<StoreFault>>,
    calls: Arc<AtomicU64>,
    cheap_calls: Arc<AtomicU64>,
    page_items: Arc<AtomicUsize>,
}

impl Default for MemoryEventStore {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: Arc::new(watch::Sender::new(Revision::default())),
            fault: Arc::new(watch::Sender::new(StoreFault::None)),
            calls: Arc::default(),
            cheap_calls: Arc::default(),
            page_items: Arc::new(AtomicUsize::new(PAGE_ITEMS)),
        }
    }
}

impl MemoryEventStore {
    /// Creates a handle for another client of the same store, without a fault and with call counts of 0.
    #[must_use]
    pub fn new_client(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            changed: Arc::clone(&self.changed),
            fault: Arc::new(watch::Sender::new(StoreFault::None)),
            calls: Arc::default(),
            cheap_calls: Arc::default(),
            page_items: Arc::clone(&self.page_items),
        }
    }

    /// Sets how many items a page has, for all clients.
    pub fn set_page_items(&self, page_items: usize) {
        self.page_items.store(page_items, Ordering::Relaxed);
    }

    /// Sets the fault for this client; pending watches fail.
    pub fn set_fault(&self, fault: StoreFault) {
        self.fault.send_replace(fault);
    }

    /// Number of calls by this client.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Number of this client's calls that cost a tenth of a normal one: stale reads and liveness checks.
    #[must_use]
    pub fn cheap_calls(&self) -> u64 {
        self.cheap_calls.load(Ordering::Relaxed)
    }

    /// Writes a key, as operators and backend servers do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock();
        let revision = state.next_revision();
        let item = Item { key: key.into(), value: value.as_bytes().to_vec(), revision };
        state.items.insert(key.into(), item.clone());
        state.history.push(ItemEvent::Written(item));
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock();
        let revision = state.next_revision();
        state.items.remove(key);
        state.history.push(ItemEvent::Removed { key: key.into(), revision });
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Makes stale reads return the current items from now on.
    pub fn freeze_stale_reads(&self) {
        let mut state = self.state.lock();
        state.stale_items = Some(state.items.clone());
    }

    /// A copy of the current state, for [`MemoryEventStore::restore`].
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.lock();
        StoreCopy {
            items: state.items.clone(),
            revision: state.revision.number,
            leases: state.leases.clone(),
            last_lease: state.last_lease,
        }
    }

    /// Replaces the state by an earlier copy, as after the loss of the store's disks: what was
    /// written since is gone, leases too, and revisions and lease ids are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.lock();
        let era = state.revision.era + 1;
        state.items.clone_from(&copy.items);
        for item in state.items.values_mut() {
            item.revision.era = era;
        }
        state.revision = Revision::new(era, copy.revision);
        state.history.clear();
        state.compacted_revision = copy.revision;
        state.leases.clone_from(&copy.leases);
        state.last_lease = copy.last_lease;
        let revision = state.revision;
        drop(state);
        self.changed.send_replace(revision);
    }

    /// The value of a key.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.state.lock().items.get(key).map(|item| item.value.clone())
    }

    /// Number of keys below a prefix.
    #[must_use]
    pub fn count_keys(&self, prefix: &str) -> usize {
        self.state.lock().items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// Discards all events so far; a watch from before them reports lost history.
    pub fn compact_history(&self) {
        let mut state = self.state.lock();
        state.compacted_revision = state.revision.number;
        state.history.clear();
    }

    /// The revision of the last change.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.state.lock().revision
    }

    async fn begin_call(&self) -> Result<(), StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let fault = *self.fault.borrow();
        match fault {
            StoreFault::None | StoreFault::RepeatsPages => Ok(()),
            StoreFault::Busy => Err(StoreError::Refused("busy".into())),
            StoreFault::Silent | StoreFault::Hung => {
                tokio::time::sleep(CALL_TIMEOUT).await;
                Err(StoreError::ResponseLost("timed out".into()))
            }
        }
    }

    fn events_after(&self, prefix: &str, after: u64) -> Option<WatchResult> {
        let state = self.state.lock();
        if after < state.compacted_revision || after > state.revision.number {
            return Some(WatchResult::HistoryLost);
        }
        let has_prefix = |event: &&ItemEvent| match event {
            ItemEvent::Written(item) => item.key.starts_with(prefix),
            ItemEvent::Removed { key, .. } => key.starts_with(prefix),
        };
        let newer =
            state.history.iter().filter(|event| event.revision().number > after).filter(has_prefix);
        let events: Vec<ItemEvent> = newer.cloned().collect();
        let revision = state.revision;
        (!events.is_empty()).then_some(WatchResult::Events { events, revision })
    }
}

impl EventStore for MemoryEventStore {
    async fn list_page(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<Page, StoreError> {
        if freshness == Freshness::Stale {
            self.cheap_calls.fetch_add(1, Ordering::Relaxed);
        }
        self.begin_call().await?;
        let repeats = *self.fault.borrow() == StoreFault::RepeatsPages;
        let after = after.filter(|_| !repeats);
        if repeats {
            // Otherwise a client that asks in a loop would stop the paused clock.
            tokio::time::sleep(ROUND_TRIP).await;
        }
        let state = self.state.lock();
        let old = state.stale_items.as_ref().filter(|_| freshness == Freshness::Stale);
        let matching =
            old.unwrap_or(&state.items).values().filter(|item| item.key.starts_with(prefix));
        let mut remaining =
            matching.filter(|item| after.is_none_or(|after| item.key.as_str() > after));
        let items: Vec<Item> =
            remaining.by_ref().take(self.page_items.load(Ordering::Relaxed)).cloned().collect();
        let has_more = remaining.next().is_some();
        Ok(Page { items, has_more, revision: state.revision })
    }

    async fn events(
        &self,
        prefix: &str,
        revision: Revision,
        wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        let until = tokio::time::Instant::now() + wait;
        if *self.fault.borrow() == StoreFault::Hung {
            self.calls.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep_until(until + CALL_TIMEOUT).await;
            return Err(StoreError::ResponseLost("timed out".into()));
        }
        self.begin_call().await?;
        let mut changed = self.changed.subscribe();
        let mut fault = self.fault.subscribe();
        loop {
            if let Some(result) = self.events_after(prefix, revision.number) {
                if result == WatchResult::HistoryLost {
                    // Otherwise a client that asks in a loop would stop the paused clock.
                    tokio::time::sleep(ROUND_TRIP).await;
                }
                return Ok(result);
            }
            tokio::select! {
                _ = changed.changed() => {}
                _ = fault.changed() => {
                    if *fault.borrow() == StoreFault::Hung {
                        tokio::time::sleep_until(until + CALL_TIMEOUT).await;
                    }
                    return Err(StoreError::ResponseLost("cut".into()));
                }
                () = tokio::time::sleep_until(until) => {
                    let revision = self.revision();
                    return Ok(WatchResult::Events { events: Vec::new(), revision });
                }
            }
        }
    }

    async fn check_alive(&self) -> Result<u64, StoreError> {
        self.cheap_calls.fetch_add(1, Ordering::Relaxed);
        self.begin_call().await?;
        Ok(self.revision().era)
    }

    async fn open_lease(&self, _: Duration) -> Result<EraLease, StoreError> {
        self.begin_call().await?;
        let mut state = self.state.lock();
        state.last_lease += 1;
        let lease = EraLease { id: state.last_lease, era: state.revision.era };
        state.leases.insert(lease.id);
        Ok(lease)
    }

    async fn renew_lease(&self, lease: EraLease) -> Result<Option<u64>, StoreError> {
        self.begin_call().await?;
        let state = self.state.lock();
        Ok(state.leases.contains(&lease.id).then_some(state.revision.era))
    }

    async fn write_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: EraLease,
    ) -> Result<Option<u64>, StoreError> {
        self.begin_call().await?;
        let state = self.state.lock();
        if !state.leases.contains(&lease.id) {
            return Ok(None);
        }
        let era = state.revision.era;
        drop(state);
        self.put(key, &String::from_utf8_lossy(value));
        Ok(Some(era))
    }
}
