//! Assigns backend servers to requests, for all services.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use parking_lot::Mutex;
use rand::RngExt;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use super::address_claims::AddressClaims;
use super::dispatcher_peers::PeerLiveness;
use super::grant::Grant;
use super::server::Server;
use super::server_starts::ServerStarts;
use super::servers_in_use::ServersInUse;
use crate::balance::Refusal;
use crate::balance::RequestSpec;
use crate::balance::SendOutcome;
use crate::balance::ServerChoice;
use crate::balance::ServicePool;
use crate::balance::TrackedServer;
use crate::clock::now_us;
use crate::cold::ColdPolicy;
use crate::evacuation::Evacuations;
use crate::model::ServerRow;
use crate::reach::ReachEvidence;
use crate::reach::ServerReach;
use crate::retry::RetryAllowance;
use crate::starts::HomeSet;

/// Interval at which the queues, while not empty, are checked for expired requests and for servers
/// that became available again.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between removals of servers that are gone.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);

/// What a queued request receives: a slot or a refusal.
type QueueOutcome = Result<Box<Grant>, Refusal>;

/// State of the dispatcher, behind its lock.
#[derive(Debug, Default)]
pub(super) struct DispatcherState {
    pub(super) pools: HashMap<Arc<str>, ServicePool>,
    pub(super) servers: HashMap<Arc<str>, Arc<Server>>,
    /// The same servers by the hash that identifies them in messages between instances.
    pub(super) by_key: HashMap<u32, Arc<Server>>,
    pub(super) starts: ServerStarts,
    /// The server in use at each address.
    pub(super) claims: AddressClaims,
    pub(super) evacuations: Evacuations,
    /// Limits for servers that warm up, by service.
    pub(super) cold_policies: HashMap<Arc<str>, ColdPolicy>,
    /// The homes that share the limits for servers that warm up.
    pub(super) home_set: Arc<HomeSet>,
    pub(super) peers: PeerLiveness,
    /// Servers with connections.
    pub(super) in_use: ServersInUse,
    /// Whether any unlisted server has not been removed yet.
    pub(super) any_unlisted: bool,
    /// Incremented by each change of the list of servers.
    pub(super) list_version: u64,
    /// Queued requests by ticket.
    waiters: HashMap<u64, oneshot::Sender<QueueOutcome>>,
}

impl DispatcherState {
    /// Services with queued requests.
    pub(super) fn services_with_queue(&self) -> Vec<Arc<str>> {
        let queued = self.pools.iter().filter(|(_, pool)| pool.queue_len() > 0);
        queued.map(|(service, _)| Arc::clone(service)).collect()
    }
}

/// Assigns slots of backend servers to requests. Clones share state.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    zone: Arc<str>,
    /// Retry budget of all instances together.
    pub(super) retry_allowance: RetryAllowance,
    /// This instance's part of the slack of the retry budget, as bits of a float.
    pub(super) retry_slack_share: Arc<AtomicU64>,
    /// Part of the refused callers that come back, as bits of a float.
    pub(super) return_share: Arc<AtomicU64>,
    /// Ticket of the next request, by which pools identify it.
    next_ticket: Arc<AtomicU64>,
    pub(super) state: Arc<Mutex<DispatcherState>>,
    pub(super) reach: Arc<ServerReach>,
    /// Slots in use.
    granted_slots: Arc<AtomicUsize>,
    /// Notified when the number of slots in use rises from zero.
    became_busy: Arc<Notify>,
    /// Notified when a request is queued.
    enqueued: Arc<Notify>,
}

/// Removes a request from the queue if its caller leaves.
struct QueueEntryGuard<'a> {
    dispatcher: &'a Dispatcher,
    service: &'a Arc<str>,
    ticket: u64,
}

impl Drop for QueueEntryGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.dispatcher.state.lock();
        if state.waiters.remove(&self.ticket).is_some()
            && let Some(pool) = state.pools.get_mut(self.service)
        {
            pool.cancel_queued(self.ticket);
        }
    }
}

fn random_unit() -> f64 {
    rand::rng().random_range(0.0..1.0)
}

impl Dispatcher {
    /// Creates a dispatcher without servers for an instance in `zone`.
    #[must_use]
    pub fn new(zone: &str, retry_allowance: RetryAllowance) -> Self {
        Self {
            zone: zone.into(),
            retry_allowance,
            retry_slack_share: Arc::new(AtomicU64::new(1.0_f64.to_bits())),
            return_share: Arc::new(AtomicU64::new(1.0_f64.to_bits())),
            next_ticket: Arc::default(),
            state: Arc::default(),
            reach: Arc::default(),
            granted_slots: Arc::default(),
            became_busy: Arc::default(),
            enqueued: Arc::default(),
        }
    }

    fn allocate_ticket(&self) -> u64 {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    fn grant_slot(
        &self,
        state: &mut DispatcherState,
        choice: ServerChoice,
        ticket: u64,
        spec: RequestSpec,
    ) -> Option<Grant> {
        let server = Arc::clone(state.servers.get(&choice.server)?);
        state.in_use.record(&server);
        let dispatcher = self.clone();
        if self.granted_slots.fetch_add(1, Ordering::AcqRel) == 0 {
            self.became_busy.notify_waiters();
        }
        Some(Grant { server, choice, ticket, spec, outcome: SendOutcome::Cancelled, dispatcher })
    }

    /// All known servers.
    #[must_use]
    pub fn servers(&self) -> Vec<Arc<Server>> {
        self.state.lock().servers.values().cloned().collect()
    }

    /// A number that changes with the list of servers.
    #[must_use]
    pub fn list_version(&self) -> u64 {
        self.state.lock().list_version
    }

    /// Records that connections to a server are used for something other than requests.
    pub fn record_use(&self, server: &Arc<Server>) {
        self.state.lock().in_use.record(server);
    }

    /// The typical duration of such a request, in milliseconds.
    #[must_use]
    pub fn typical_ms(&self, service: &str, spec: &RequestSpec) -> f64 {
        let state = self.state.lock();
        state.pools.get(service).map_or(spec.target_ms, |pool| pool.typical_ms(spec))
    }

    /// Takes a slot for a hedged request, if one is free and no request is queued.
    #[must_use]
    pub fn try_acquire_spare(&self, service: &str, spec: &RequestSpec) -> Option<Grant> {
        let mut state = self.state.lock();
        let pool = state.pools.get_mut(service)?;
        if pool.queue_len() > 0 {
            return None;
        }
        let ticket = self.allocate_ticket();
        let choice = pool.acquire_slot(ticket, spec, &self.zone, now_us(), &mut random_unit)?;
        self.grant_slot(&mut state, choice, ticket, spec.clone())
    }

    /// Takes a slot for a request, which waits in the queue if none is free.
    ///
    /// # Errors
    /// If no slot is expected to become free in time.
    pub async fn acquire(&self, service: &Arc<str>, spec: RequestSpec) -> Result<Grant, Refusal> {
        let ticket = self.allocate_ticket();
        let mut undelivered = Vec::new();
        let receiver = {
            let mut state = self.state.lock();
            state.remove_silent_peers(now_us());
            let pool = state.pools.entry(Arc::clone(service)).or_default();
            if pool.queue_len() == 0
                && let Some(choice) =
                    pool.acquire_slot(ticket, &spec, &self.zone, now_us(), &mut random_unit)
                && let Some(grant) = self.grant_slot(&mut state, choice, ticket, spec.clone())
            {
                return Ok(grant);
            }
            let pool = state.pools.entry(Arc::clone(service)).or_default();
            pool.enqueue(ticket, spec, now_us())?;
            let (sender, receiver) = oneshot::channel();
            state.waiters.insert(ticket, sender);
            self.enqueued.notify_one();
            self.serve_waiting(&mut state, service, &mut undelivered);
            receiver
        };
        let entry = QueueEntryGuard { dispatcher: self, service, ticket };
        let outcome = receiver.await;
        drop(entry);
        let refused = Refusal { no_server: true, ..Refusal::default() };
        outcome.unwrap_or(Err(refused)).map(|grant| *grant)
    }

    /// The refusal for a request that timed out in the queue, with this retry delay.
    #[must_use]
    pub fn refusal(&self, service: &str, retry_after_ms: u64) -> Refusal {
        let state = self.state.lock();
        let default = Refusal { retry_after_ms, ..Refusal::default() };
        let pool = state.pools.get(service);
        pool.map_or(default, |pool| Refusal { retry_after_ms, ..pool.refusal(now_us()) })
    }

    pub(super) fn finish(
        &self,
        server: &Server,
        ticket: u64,
        spec: &RequestSpec,
        outcome: SendOutcome,
    ) {
        self.granted_slots.fetch_sub(1, Ordering::AcqRel);
        let mut undelivered = Vec::new();
        let mut state = self.state.lock();
        let ServerRow { id, service, slots, .. } = &server.row;
        if let Some(pool) = state.pools.get_mut(service) {
            let before = pool.concurrency_limit().is_last_slot_enabled(*slots);
            pool.finish_request(id, ticket, spec, outcome, now_us());
            let after = pool.concurrency_limit().is_last_slot_enabled(*slots);
            if before != after {
                let (full, below) = pool.concurrency_limit().mean_ratios();
                info!(
                    event = "limit-changed", service = &**service, slots = slots,
                    last_slot_pays = after, took_when_full = full, took_below = below;
                    ""
                );
            }
        }
        self.serve_waiting(&mut state, service, &mut undelivered);
        drop(state);
        match outcome {
            SendOutcome::Unreachable => self.record_reach(server, ReachEvidence::ConnectFailed),
            SendOutcome::Broken => self.record_reach(server, ReachEvidence::NoResponse),
            _ => {}
        }
    }

    /// Applies `work` to the state of a server; `None` if the server is no longer known.
    fn with_tracked_server<T>(
        &self,
        server: &Server,
        work: impl FnOnce(&mut TrackedServer) -> T,
    ) -> Option<T> {
        self.state.lock().tracked_server(server).map(work)
    }

    /// Records the result of a health check, and how long the server says that it continues to warm
    /// up.
    pub fn record_health_check(&self, server: &Server, healthy: bool, warmup_left_ms: Option<u64>) {
        self.with_tracked_server(server, |tracked| {
            tracked.record_health_check(healthy, now_us());
            tracked.record_warmup_left(warmup_left_ms, now_us());
        });
    }

    /// Whether any server of a service has ever reported its load.
    #[must_use]
    pub fn service_reports_load(&self, service: &str) -> bool {
        let state = self.state.lock();
        let has_report = |tracked: &TrackedServer| tracked.slowdown_age_us(now_us()).is_some();
        state.pools.get(service).is_some_and(|pool| pool.servers.iter().any(has_report))
    }

    /// Whether a server has ever reported its load.
    #[must_use]
    pub fn reports_load(&self, server: &Server) -> bool {
        self.with_tracked_server(server, |tracked| tracked.slowdown_age_us(now_us()).is_some())
            .unwrap_or(false)
    }

    /// Whether a server has reported its load after `since_us`.
    #[must_use]
    pub fn reported_load_since(&self, server: &Server, since_us: u64) -> bool {
        let age_us =
            self.with_tracked_server(server, |tracked| tracked.slowdown_age_us(now_us())).flatten();
        age_us.is_some_and(|age_us| now_us().saturating_sub(age_us) > since_us)
    }

    /// Records that a server did not respond to a health check.
    pub fn record_check_timeout(&self, server: &Server) {
        self.with_tracked_server(server, |tracked| tracked.record_check_timeout(now_us()));
        self.record_reach(server, ReachEvidence::NoResponse);
    }

    /// Whether no request of this instance is running at any server.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.granted_slots.load(Ordering::Acquire) == 0
    }

    /// Waits until a request of this instance is running; returns at once if one is.
    pub async fn wait_until_busy(&self) {
        let became_busy = self.became_busy.notified();
        tokio::pin!(became_busy);
        became_busy.as_mut().enable();
        if self.is_idle() {
            became_busy.await;
        }
    }

    /// Whether a request that was given a slot of a server, and expects a response after
    /// `expected_ms`, should no longer be sent there; see [`ServicePool::is_worse`].
    #[must_use]
    pub fn is_worse(&self, server: &Server, spec: &RequestSpec, expected_ms: f64) -> bool {
        let state = self.state.lock();
        let pool = state.pools.get(&server.row.service);
        pool.is_some_and(|pool| {
            pool.is_worse(&server.row.id, server.key, spec, expected_ms, now_us())
        })
    }

    /// Whether any request is queued.
    #[must_use]
    pub fn has_queue(&self) -> bool {
        self.state.lock().pools.values().any(|pool| pool.queue_len() > 0)
    }

    /// Gives free slots to queued requests. Grants that cannot be delivered are left in
    /// `undelivered`: dropping one takes the lock, so the caller drops them after releasing it.
    pub(super) fn serve_waiting(
        &self,
        state: &mut DispatcherState,
        service: &str,
        undelivered: &mut Vec<Grant>,
    ) {
        loop {
            let Some(pool) = state.pools.get_mut(service) else {
                return;
            };
            let Some((waiting, choice)) =
                pool.dispatch_queued(&self.zone, now_us(), &mut random_unit)
            else {
                return;
            };
            let sender = state.waiters.remove(&waiting.ticket);
            let Some(grant) = self.grant_slot(state, choice, waiting.ticket, waiting.spec) else {
                continue;
            };
            if let Some(Err(Ok(grant))) = sender.map(|sender| sender.send(Ok(Box::new(grant)))) {
                undelivered.push(*grant);
            }
        }
    }

    /// Refuses queued requests that expired, and gives free slots to the others.
    fn process_queues(&self) {
        let mut undelivered = Vec::new();
        let mut state = self.state.lock();
        state.remove_silent_peers(now_us());
        for service in state.services_with_queue() {
            Self::refuse_expired(&mut state, &service);
            self.serve_waiting(&mut state, &service, &mut undelivered);
        }
        drop(state);
    }

    fn refuse_expired(state: &mut DispatcherState, service: &str) {
        let Some(pool) = state.pools.get_mut(service) else {
            return;
        };
        let refusal = pool.refusal(now_us());
        for ticket in pool.expire_queued(now_us()) {
            if let Some(sender) = state.waiters.remove(&ticket) {
                // The receiver is gone if the caller left; no refusal is needed then.
                let _ = sender.send(Err(refusal));
            }
        }
    }

    /// Serves and expires queued requests as time passes, and removes servers that are gone, until
    /// the process ends.
    ///
    /// Sleeps while no request is queued: polling a hundred times a second would cost an idle
    /// instance more than all of its other control work.
    pub async fn run(self) {
        let cleaner = self.clone();
        let clean_up_loop = async move {
            loop {
                tokio::time::sleep(CLEANUP_INTERVAL).await;
                cleaner.clean_up();
            }
        };
        let serve_loop = async move {
            loop {
                self.enqueued.notified().await;
                while self.has_queue() {
                    tokio::time::sleep(QUEUE_POLL_INTERVAL).await;
                    self.process_queues();
                }
            }
        };
        tokio::join!(clean_up_loop, serve_loop);
    }
}
