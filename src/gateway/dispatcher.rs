//! Gives requests their backend servers, over all services.

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
use crate::balance::RetryAllowance;
use crate::balance::SendOutcome;
use crate::balance::ServerChoice;
use crate::balance::ServicePool;
use crate::balance::TrackedServer;
use crate::clock::now_us;
use crate::cold::ColdRule;
use crate::evacuation::Evacuations;
use crate::model::ServerRow;
use crate::starts::HomeShare;

/// How often queues are looked at, while somebody waits, for requests that became late and servers
/// that came back.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two clean-ups of servers that are gone.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);

/// What a waiting request is told.
type QueueOutcome = Result<Box<Grant>, Refusal>;

#[derive(Debug, Default)]
pub(super) struct DispatcherState {
    pub(super) pools: HashMap<Arc<str>, ServicePool>,
    pub(super) servers: HashMap<Arc<str>, Arc<Server>>,
    /// The same servers by the hash by which instances name them to each other.
    pub(super) by_key: HashMap<u32, Arc<Server>>,
    pub(super) starts: ServerStarts,
    pub(super) claims: AddressClaims,
    pub(super) evacuations: Evacuations,
    /// By service.
    pub(super) cold_policies: HashMap<Arc<str>, ColdRule>,
    pub(super) home_set: Arc<HomeShare>,
    pub(super) peers: PeerLiveness,
    pub(super) in_use: ServersInUse,
    /// Whether any server is unlisted and not forgotten yet.
    pub(super) any_unlisted: bool,
    /// Raised by each change of the list of servers.
    pub(super) list_version: u64,
    waiters: HashMap<u64, oneshot::Sender<QueueOutcome>>,
}

impl DispatcherState {
    /// Services for which requests wait.
    pub(super) fn services_with_queue(&self) -> Vec<Arc<str>> {
        let waited_for = self.pools.iter().filter(|(_, pool)| pool.queue_len() > 0);
        waited_for.map(|(service, _)| Arc::clone(service)).collect()
    }
}

/// Hands out slots; clones share.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    zone: Arc<str>,
    /// Of all instances together.
    pub(super) retry_allowance: RetryAllowance,
    /// Instances that divide the slack of the repeat budget.
    pub(super) budget_sharers: Arc<AtomicUsize>,
    next_ticket: Arc<AtomicU64>,
    pub(super) state: Arc<Mutex<DispatcherState>>,
    /// Slots that are handed out now.
    granted_slots: Arc<AtomicUsize>,
    /// Told when the first slot is handed out after none was.
    became_busy: Arc<Notify>,
    /// Told when a request begins to wait.
    enqueued: Arc<Notify>,
}

/// Takes a request out of the queue when its caller leaves.
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
    /// A dispatcher of an instance in `zone` that knows no server yet.
    #[must_use]
    pub fn new(zone: &str, retry_allowance: RetryAllowance) -> Self {
        Self {
            zone: zone.into(),
            retry_allowance,
            budget_sharers: Arc::new(AtomicUsize::new(1)),
            next_ticket: Arc::default(),
            state: Arc::default(),
            granted_slots: Arc::default(),
            became_busy: Arc::default(),
            enqueued: Arc::default(),
        }
    }

    fn ticket(&self) -> u64 {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    fn grant_slot(
        &self,
        state: &mut DispatcherState,
        choice: ServerChoice,
        ticket: u64,
        ask: RequestSpec,
    ) -> Option<Grant> {
        let server = Arc::clone(state.servers.get(&choice.server)?);
        state.in_use.record(&server);
        let dispatcher = self.clone();
        if self.granted_slots.fetch_add(1, Ordering::AcqRel) == 0 {
            self.became_busy.notify_waiters();
        }
        Some(Grant { server, choice, ticket, spec: ask, end: SendOutcome::Cancelled, dispatcher })
    }

    /// All servers known now.
    #[must_use]
    pub fn servers(&self) -> Vec<Arc<Server>> {
        self.state.lock().servers.values().cloned().collect()
    }

    /// Changes whenever the list of servers does.
    #[must_use]
    pub fn list_version(&self) -> u64 {
        self.state.lock().list_version
    }

    /// Takes note that connections of a server are used beside requests.
    pub fn record_use(&self, server: &Arc<Server>) {
        self.state.lock().in_use.record(server);
    }

    /// The usual time of such a request, in milliseconds.
    #[must_use]
    pub fn typical_ms(&self, service: &str, ask: &RequestSpec) -> f64 {
        let state = self.state.lock();
        state.pools.get(service).map_or(ask.target_ms, |pool| pool.typical_ms(ask))
    }

    /// A slot for a second send, only if one is free that nobody waits for.
    #[must_use]
    pub fn try_acquire_spare(&self, service: &str, ask: &RequestSpec) -> Option<Grant> {
        let mut state = self.state.lock();
        let pool = state.pools.get_mut(service)?;
        if pool.queue_len() > 0 {
            return None;
        }
        let ticket = self.ticket();
        let choice = pool.acquire_slot(ticket, ask, &self.zone, now_us(), &mut random_unit)?;
        self.grant_slot(&mut state, choice, ticket, ask.clone())
    }

    /// A slot for a request, now or after some waiting.
    ///
    /// # Errors
    /// When none would come in time.
    pub async fn acquire(&self, service: &Arc<str>, ask: RequestSpec) -> Result<Grant, Refusal> {
        let ticket = self.ticket();
        let mut undelivered = Vec::new();
        let offer = {
            let mut state = self.state.lock();
            state.forget_silent_peers(now_us());
            let pool = state.pools.entry(Arc::clone(service)).or_default();
            if pool.queue_len() == 0
                && let Some(choice) =
                    pool.acquire_slot(ticket, &ask, &self.zone, now_us(), &mut random_unit)
                && let Some(grant) = self.grant_slot(&mut state, choice, ticket, ask.clone())
            {
                return Ok(grant);
            }
            let pool = state.pools.entry(Arc::clone(service)).or_default();
            pool.enqueue(ticket, ask, now_us())?;
            let (sender, offer) = oneshot::channel();
            state.waiters.insert(ticket, sender);
            self.enqueued.notify_one();
            self.serve_waiting(&mut state, service, &mut undelivered);
            offer
        };
        let queued = QueueEntryGuard { dispatcher: self, service, ticket };
        let offered = offer.await;
        drop(queued);
        let refused = Refusal { no_server: true, ..Refusal::default() };
        offered.unwrap_or(Err(refused)).map(|grant| *grant)
    }

    /// What a request is told whose time passed while it waited.
    #[must_use]
    pub fn refusal(&self, service: &str, retry_after_ms: u64) -> Refusal {
        let state = self.state.lock();
        let nothing = Refusal { retry_after_ms, ..Refusal::default() };
        let pool = state.pools.get(service);
        pool.map_or(nothing, |pool| Refusal { retry_after_ms, ..pool.refusal(now_us()) })
    }

    pub(super) fn finish(&self, server: &Server, ticket: u64, ask: &RequestSpec, end: SendOutcome) {
        self.granted_slots.fetch_sub(1, Ordering::AcqRel);
        let mut undelivered = Vec::new();
        let mut state = self.state.lock();
        let ServerRow { id, service, slots, .. } = &server.row;
        if let Some(pool) = state.pools.get_mut(service) {
            let before = pool.concurrency_limit().last_slot_pays(*slots);
            pool.finish_request(id, ticket, ask, end, now_us());
            let after = pool.concurrency_limit().last_slot_pays(*slots);
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
    }

    /// Does something with what is believed of a server; `None` for one that is forgotten.
    fn with_tracked_server<T>(
        &self,
        server: &Server,
        work: impl FnOnce(&mut TrackedServer) -> T,
    ) -> Option<T> {
        self.state.lock().tracked_server(server).map(work)
    }

    /// Takes in the answer to a health check, and for how long the server says that it is cold.
    pub fn record_health_check(&self, server: &Server, well: bool, cold_left_ms: Option<u64>) {
        self.with_tracked_server(server, |track| {
            track.record_health_check(well, now_us());
            track.record_warmup_left(cold_left_ms, now_us());
        });
    }

    /// Whether any server of a service ever told its load.
    #[must_use]
    pub fn service_reports_load(&self, service: &str) -> bool {
        let state = self.state.lock();
        let told = |track: &TrackedServer| track.slowdown_age_us(now_us()).is_some();
        state.pools.get(service).is_some_and(|pool| pool.servers.iter().any(told))
    }

    /// Whether a server ever told its load.
    #[must_use]
    pub fn reports_load(&self, server: &Server) -> bool {
        self.with_tracked_server(server, |track| track.slowdown_age_us(now_us()).is_some())
            .unwrap_or(false)
    }

    /// Whether a server told its load after `since_us`.
    #[must_use]
    pub fn reported_load_since(&self, server: &Server, since_us: u64) -> bool {
        let age_us =
            self.with_tracked_server(server, |track| track.slowdown_age_us(now_us())).flatten();
        age_us.is_some_and(|age_us| now_us().saturating_sub(age_us) > since_us)
    }

    /// Takes note that a server did not answer a health check.
    pub fn record_check_timeout(&self, server: &Server) {
        self.with_tracked_server(server, |track| track.record_check_timeout(now_us()));
    }

    /// Whether nothing of this instance runs anywhere.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.granted_slots.load(Ordering::Acquire) == 0
    }

    /// Returns at once while something runs, else as soon as something does.
    pub async fn wait_until_busy(&self) {
        let began = self.became_busy.notified();
        tokio::pin!(began);
        began.as_mut().enable();
        if self.is_idle() {
            began.await;
        }
    }

    /// Whether a server is no place any more for a request that was given a slot of it, expecting an
    /// answer after `expected_ms`; see [`ServicePool::worse`].
    #[must_use]
    pub fn is_worse(&self, server: &Server, ask: &RequestSpec, expected_ms: f64) -> bool {
        let state = self.state.lock();
        let pool = state.pools.get(&server.row.service);
        pool.is_some_and(|pool| {
            pool.is_worse(&server.row.id, server.key, ask, expected_ms, now_us())
        })
    }

    /// Whether requests wait for slots.
    #[must_use]
    pub fn has_queue(&self) -> bool {
        self.state.lock().pools.values().any(|pool| pool.queue_len() > 0)
    }

    /// Offers free slots to those that wait. Grants that cannot be delivered are left in
    /// `undelivered`, to be dropped once the lock is released: dropping takes it again.
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

    /// Refuses the waiting requests that became late, and serves those that can be.
    fn process_queues(&self) {
        let mut undelivered = Vec::new();
        let mut state = self.state.lock();
        state.forget_silent_peers(now_us());
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
                // A caller that left meanwhile needs no refusal.
                let _ = sender.send(Err(refusal));
            }
        }
    }

    /// Serves and refuses waiting requests as time passes, until the process ends.
    ///
    /// Without a queue it sleeps: at a hundred turns a second an idle instance would spend more on
    /// looking at nothing than on all of its other control work.
    pub async fn run(self) {
        let tidied = self.clone();
        let tidy = async move {
            loop {
                tokio::time::sleep(CLEANUP_INTERVAL).await;
                tidied.clean_up();
            }
        };
        let serve = async move {
            loop {
                self.enqueued.notified().await;
                while self.has_queue() {
                    tokio::time::sleep(QUEUE_POLL_INTERVAL).await;
                    self.process_queues();
                }
            }
        };
        tokio::join!(tidy, serve);
    }
}
