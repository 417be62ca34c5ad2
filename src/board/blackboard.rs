//! Shared state of one instance.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use log::info;
use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::Counters;
use super::EventKind;
use super::EventRing;
use super::Latencies;
use super::MembersView;
use super::StopDeadline;
use super::StoreEra;
use crate::catalog::Catalog;
use crate::clock::now_ms;
use crate::conf::Settings;
use crate::measure::ShardWitnesses;
use crate::member::FailedCalls;
use crate::member::MemberChange;
use crate::member::MemberRow;
use crate::member::MemberState;
use crate::member::MemberTable;
use crate::member::Pace;
use crate::outcome::ClaimWitnesses;
use crate::outcome::OutcomeTable;
use crate::quarantine::Quarantine;
use crate::reach::ServerReach;
use crate::route::ServiceState;

/// The active services, by name.
pub type ServiceMap = HashMap<String, Arc<ServiceState>>;

/// Up to this many member changes are logged one by one. More at once come from anti-entropy and
/// are logged as one summary.
const MEMBERS_LOGGED_MAX: usize = 8;

/// Phase in the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Running,
    /// Shutting down: still serves, but is no longer advertised to callers.
    Leaving,
    Stopped,
}

/// Shared state of one instance: written by controllers, read by the request path, which reads only
/// snapshots and atomics.
#[derive(Debug)]
pub struct Blackboard {
    pub settings: Settings,
    /// Random number, drawn at each process start.
    pub incarnation: u64,
    /// The member table, written by the membership controllers.
    pub members: Mutex<MemberTable>,
    /// How long pings and suspicions last at the moment.
    pub pace: Mutex<Pace>,
    /// Peers to which a call failed, to be checked by the failure detector.
    pub failed_calls: FailedCalls,
    /// The configuration, written by the catalog controllers.
    pub catalog: Mutex<Catalog>,
    pub outcomes: OutcomeTable,
    /// Claims on keys that this instance remembers for others.
    pub claim_witnesses: ClaimWitnesses,
    /// Holders of shards that this instance remembers for others.
    pub shard_witnesses: ShardWitnesses,
    /// Requests that are rejected because they crash servers.
    pub quarantine: Quarantine,
    /// What this instance knows about its paths to the backend servers.
    pub reach: Arc<ServerReach>,
    pub counters: Counters,
    pub latencies: Latencies,
    pub events: EventRing,
    pub store_era: StoreEra,
    /// Notified when a request starts to wait for a slot, here or at another home of the service.
    pub queue_formed: Notify,
    /// The published members. The write lock is held while changes are taken from the member table
    /// and applied: otherwise, of two tasks that publish at once, the one with older changes could
    /// apply them last and hide a member. Changed in place unless a reader holds the current
    /// snapshot.
    view: RwLock<Arc<MembersView>>,
    /// The active services.
    services: ArcSwap<ServiceMap>,
    /// Counts changes that the placement depends on.
    changed: watch::Sender<u64>,
    /// Whether the last call to the platform's store succeeded.
    store_up: AtomicBool,
    /// The availability zones that operators have evacuated.
    evacuated_zones: ArcSwap<Vec<Arc<str>>>,
    /// Requests per second that the homes of a zone together must be able to carry.
    zone_demand_per_s: AtomicU32,
    /// The [`Phase`] of the process.
    phase: AtomicU8,
    /// The time by which all requests are answered, once the instance stops.
    pub stop_deadline: StopDeadline,
    /// Callers' requests in flight.
    in_flight: Arc<AtomicUsize>,
}

/// Counts a caller's request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The member row of this instance at its start.
fn own_row(settings: &Settings, incarnation: u64) -> MemberRow {
    MemberRow {
        incarnation,
        generation: 0,
        state: MemberState::Alive,
        name: settings.instance.name.clone(),
        zone: settings.instance.zone.clone(),
        caller_address: settings.listen.caller,
        operator_address: settings.listen.operator,
        peer_address: settings.listen.peer,
        capacity_per_s: settings.instance.capacity_per_s(),
        reaches_servers: true,
        uptime_ms: 0,
        successor: None,
    }
}

/// Logs which members became isolated from the backend servers, or reach them again.
fn log_reach_changes(before: &MembersView, changes: &[MemberChange]) {
    let updated = changes.iter().filter_map(|change| match change {
        MemberChange::Updated(row) => Some(row),
        MemberChange::Removed(_) => None,
    });
    let with_new_reach = updated.filter(|row| {
        let known = before.row(row.incarnation).is_none_or(|known| known.reaches_servers);
        known != row.reaches_servers
    });
    let (mut isolated, mut back) = (Vec::new(), Vec::new());
    for row in with_new_reach {
        let names = if row.reaches_servers { &mut back } else { &mut isolated };
        names.push(row.name.as_str());
    }
    if isolated.is_empty() && back.is_empty() {
        return;
    }
    isolated.truncate(MEMBERS_LOGGED_MAX);
    back.truncate(MEMBERS_LOGGED_MAX);
    info!(
        event = "members-reach", isolated = isolated.join(" ").as_str(),
        back = back.join(" ").as_str();
        "members that lost their paths to the backend servers, or have them again"
    );
}

impl Blackboard {
    /// The state of an instance that starts now.
    #[must_use]
    pub fn new(settings: Settings, incarnation: u64) -> Self {
        let members = MemberTable::new(own_row(&settings, incarnation), now_ms());
        let outcomes = OutcomeTable::new(incarnation, &settings.outcomes);
        let claim_witnesses = ClaimWitnesses::new(&settings.outcomes);
        let pace = Pace::new(settings.peers.ping_timeout_ms);
        let board = Self {
            settings,
            incarnation,
            members: Mutex::new(members),
            pace: Mutex::new(pace),
            catalog: Mutex::default(),
            outcomes,
            claim_witnesses,
            shard_witnesses: ShardWitnesses::default(),
            failed_calls: FailedCalls::default(),
            quarantine: Quarantine::default(),
            reach: Arc::default(),
            counters: Counters::default(),
            latencies: Latencies::default(),
            events: EventRing::default(),
            store_era: StoreEra::default(),
            queue_formed: Notify::new(),
            view: RwLock::default(),
            services: ArcSwap::default(),
            changed: watch::Sender::new(0),
            store_up: AtomicBool::new(true),
            evacuated_zones: ArcSwap::default(),
            zone_demand_per_s: AtomicU32::new(0),
            phase: AtomicU8::new(Phase::Running as u8),
            stop_deadline: StopDeadline::default(),
            in_flight: Arc::default(),
        };
        board.publish_members();
        board
    }

    /// Records an event in the event ring and the log.
    pub fn record_event(&self, kind: EventKind) {
        let (name, detail) = kind.name_and_detail();
        info!(event = name, instance = self.settings.instance.name.as_str(); "{name} {detail}");
        self.events.push(kind);
    }

    /// The current snapshot of the members.
    #[must_use]
    pub fn members_view(&self) -> Arc<MembersView> {
        Arc::clone(&self.view.read())
    }

    /// Records that a call to a peer failed. The failure detector then checks the peer, if a member
    /// at its address is believed to be alive.
    pub fn record_failed_call(&self, peer: SocketAddr) {
        let now_ms = now_ms();
        if self.members.lock().is_alive_at(peer, now_ms) {
            self.failed_calls.add(peer, now_ms);
        }
    }

    /// Publishes changes of the member table to the request path and logs them.
    pub fn publish_members(&self) {
        let mut view = self.view.write();
        let changes = self.members.lock().take_changes(now_ms());
        if changes.is_empty() {
            return;
        }
        self.record_member_changes(&view, &changes);
        log_reach_changes(&view, &changes);
        let current = Arc::make_mut(&mut view);
        for change in changes {
            current.apply(change);
        }
        drop(view);
        self.notify_changed();
    }

    /// Records the members whose state changed; many at once as one event.
    fn record_member_changes(&self, before: &MembersView, changes: &[MemberChange]) {
        let updated = changes.iter().filter_map(|change| {
            let MemberChange::Updated(row) = change else {
                return None;
            };
            let known = before.row(row.incarnation).map(|row| row.state);
            (known != Some(row.state)).then_some(row)
        });
        let updated: Vec<&MemberRow> = updated.collect();
        let dead = updated.iter().filter(|row| row.state == MemberState::Dead).count();
        self.counters.add_many(super::Counter::MembersLost, dead as u64);
        if updated.len() > MEMBERS_LOGGED_MAX {
            let known = before.rows.len();
            return self.record_event(EventKind::Members { changed: updated.len(), dead, known });
        }
        for row in updated {
            let (name, incarnation) = (row.name.clone(), row.incarnation);
            self.record_event(EventKind::Member { name, incarnation, state: row.state.name() });
        }
    }

    /// A snapshot of the active services.
    #[must_use]
    pub fn services(&self) -> arc_swap::Guard<Arc<ServiceMap>> {
        self.services.load()
    }

    /// Replaces the active services; called by the placement controller.
    pub fn set_services(&self, services: ServiceMap) {
        self.services.store(Arc::new(services));
    }

    /// Notifies the placement controller that its inputs changed.
    pub fn notify_changed(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Subscribes to changes of what the placement depends on.
    #[must_use]
    pub fn subscribe_changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Whether the last call to the platform's store succeeded.
    #[must_use]
    pub fn store_up(&self) -> bool {
        self.store_up.load(Ordering::Acquire)
    }

    /// Records the result of a call to the store; only a change between up and down is an event.
    pub fn record_store_result(&self, error: Option<String>) {
        self.counters.add(super::Counter::StoreCalls);
        let up = error.is_none();
        if !up {
            self.counters.add(super::Counter::StoreFailures);
        }
        if self.store_up.swap(up, Ordering::AcqRel) == up {
            return;
        }
        match error {
            Some(why) => self.record_event(EventKind::StoreLost { why }),
            None => self.record_event(EventKind::StoreBack),
        }
    }

    /// Records the era of the platform's store, as an answer of the store or of a peer states it.
    pub fn record_store_era(&self, era: u64) {
        if let Some(before) = self.store_era.record(era) {
            self.record_event(EventKind::StoreRestored { before, era });
        }
    }

    /// Requests per second that this instance can carry.
    #[must_use]
    pub fn own_capacity_per_s(&self) -> u32 {
        self.settings.instance.capacity_per_s()
    }

    /// The availability zones that operators have evacuated.
    #[must_use]
    pub fn evacuated_zones(&self) -> Arc<Vec<Arc<str>>> {
        self.evacuated_zones.load_full()
    }

    /// Sets the availability zones that operators have evacuated.
    pub fn set_evacuated_zones(&self, zones: Vec<Arc<str>>) {
        self.evacuated_zones.store(Arc::new(zones));
    }

    /// Requests per second that the homes of a zone together must be able to carry.
    #[must_use]
    pub fn zone_demand_per_s(&self) -> u32 {
        self.zone_demand_per_s.load(Ordering::Acquire)
    }

    /// Sets the demand that the homes of a zone must carry; called by the controller that knows the
    /// servers.
    pub fn set_zone_demand_per_s(&self, demand_per_s: u32) {
        self.zone_demand_per_s.store(demand_per_s, Ordering::Release);
    }

    /// The phase of the process.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Running,
            1 => Phase::Leaving,
            _ => Phase::Stopped,
        }
    }

    /// Advances the phase; it never goes back.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Counts a caller's request as in flight until the returned guard is dropped.
    #[must_use]
    pub fn start_request(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(Arc::clone(&self.in_flight))
    }

    /// Number of callers' requests in flight.
    #[must_use]
    pub fn requests_in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }
}
