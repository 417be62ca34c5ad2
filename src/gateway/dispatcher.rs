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
use super::dispatcher_peers::PeersHeard;
use super::grant::Grant;
use super::server::Server;
use super::server_starts::ServerStarts;
use super::servers_in_use::ServersInUse;
use crate::balance::Ask;
use crate::balance::Choice;
use crate::balance::Refusal;
use crate::balance::RepeatAllowance;
use crate::balance::SendEnd;
use crate::balance::ServerTrack;
use crate::balance::ServicePool;
use crate::clock::now_us;
use crate::cold::ColdRule;
use crate::evacuation::Evacuations;
use crate::model::ServerRow;
use crate::starts::HomeShare;

/// How often queues are looked at, while somebody waits, for requests that became late and servers
/// that came back.
const TURN: Duration = Duration::from_millis(10);
/// Time between two clean-ups of servers that are gone.
const TIDY_INTERVAL: Duration = Duration::from_millis(500);

/// What a waiting request is told.
type Offer = Result<Box<Grant>, Refusal>;

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) pools: HashMap<Arc<str>, ServicePool>,
    pub(super) servers: HashMap<Arc<str>, Arc<Server>>,
    /// The same servers by the hash by which instances name them to each other.
    pub(super) by_key: HashMap<u32, Arc<Server>>,
    pub(super) starts: ServerStarts,
    pub(super) claims: AddressClaims,
    pub(super) evacuations: Evacuations,
    /// By service.
    pub(super) cold_rules: HashMap<Arc<str>, ColdRule>,
    pub(super) home_share: Arc<HomeShare>,
    pub(super) peers: PeersHeard,
    pub(super) in_use: ServersInUse,
    /// Whether any server is unlisted and not forgotten yet.
    pub(super) any_unlisted: bool,
    /// Raised by each change of the list of servers.
    pub(super) list_version: u64,
    waiting: HashMap<u64, oneshot::Sender<Offer>>,
}

impl State {
    /// Services for which requests wait.
    pub(super) fn waited_for(&self) -> Vec<Arc<str>> {
        let waited_for = self.pools.iter().filter(|(_, pool)| pool.waiting() > 0);
        waited_for.map(|(service, _)| Arc::clone(service)).collect()
    }
}

/// Hands out slots; clones share.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    zone: Arc<str>,
    /// Of all instances together.
    pub(super) allowance: RepeatAllowance,
    /// Instances that divide the slack of the repeat budget.
    pub(super) sharers: Arc<AtomicUsize>,
    tickets: Arc<AtomicU64>,
    pub(super) state: Arc<Mutex<State>>,
    /// Slots that are handed out now.
    granted: Arc<AtomicUsize>,
    /// Told when the first slot is handed out after none was.
    began: Arc<Notify>,
    /// Told when a request begins to wait.
    queued: Arc<Notify>,
}

/// Takes a request out of the queue when its caller leaves.
struct InQueue<'a> {
    dispatcher: &'a Dispatcher,
    service: &'a Arc<str>,
    ticket: u64,
}

impl Drop for InQueue<'_> {
    fn drop(&mut self) {
        let mut state = self.dispatcher.state.lock();
        if state.waiting.remove(&self.ticket).is_some()
            && let Some(pool) = state.pools.get_mut(self.service)
        {
            pool.cancel(self.ticket);
        }
    }
}

fn random() -> f64 {
    rand::rng().random_range(0.0..1.0)
}

impl Dispatcher {
    /// A dispatcher of an instance in `zone` that knows no server yet.
    #[must_use]
    pub fn new(zone: &str, allowance: RepeatAllowance) -> Self {
        Self {
            zone: zone.into(),
            allowance,
            sharers: Arc::new(AtomicUsize::new(1)),
            tickets: Arc::default(),
            state: Arc::default(),
            granted: Arc::default(),
            began: Arc::default(),
            queued: Arc::default(),
        }
    }

    fn ticket(&self) -> u64 {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    fn grant(&self, state: &mut State, choice: Choice, ticket: u64, ask: Ask) -> Option<Grant> {
        let server = Arc::clone(state.servers.get(&choice.server)?);
        state.in_use.note(&server);
        let dispatcher = self.clone();
        if self.granted.fetch_add(1, Ordering::AcqRel) == 0 {
            self.began.notify_waiters();
        }
        Some(Grant { server, choice, ticket, ask, end: SendEnd::Cancelled, dispatcher })
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
    pub fn note_use(&self, server: &Arc<Server>) {
        self.state.lock().in_use.note(server);
    }

    /// The usual time of such a request, in milliseconds.
    #[must_use]
    pub fn usual_ms(&self, service: &str, ask: &Ask) -> f64 {
        let state = self.state.lock();
        state.pools.get(service).map_or(ask.aim_ms, |pool| pool.typical_ms(ask))
    }

    /// A slot for a second send, only if one is free that nobody waits for.
    #[must_use]
    pub fn spare(&self, service: &str, ask: &Ask) -> Option<Grant> {
        let mut state = self.state.lock();
        let pool = state.pools.get_mut(service)?;
        if pool.waiting() > 0 {
            return None;
        }
        let ticket = self.ticket();
        let choice = pool.take(ticket, ask, &self.zone, now_us(), &mut random)?;
        self.grant(&mut state, choice, ticket, ask.clone())
    }

    /// A slot for a request, now or after some waiting.
    ///
    /// # Errors
    /// When none would come in time.
    pub async fn acquire(&self, service: &Arc<str>, ask: Ask) -> Result<Grant, Refusal> {
        let ticket = self.ticket();
        let mut undelivered = Vec::new();
        let offer = {
            let mut state = self.state.lock();
            state.forget_silent_peers(now_us());
            let pool = state.pools.entry(Arc::clone(service)).or_default();
            if pool.waiting() == 0
                && let Some(choice) = pool.take(ticket, &ask, &self.zone, now_us(), &mut random)
                && let Some(grant) = self.grant(&mut state, choice, ticket, ask.clone())
            {
                return Ok(grant);
            }
            let pool = state.pools.entry(Arc::clone(service)).or_default();
            pool.enqueue(ticket, ask, now_us())?;
            let (sender, offer) = oneshot::channel();
            state.waiting.insert(ticket, sender);
            self.queued.notify_one();
            self.serve_waiting(&mut state, service, &mut undelivered);
            offer
        };
        let queued = InQueue { dispatcher: self, service, ticket };
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

    pub(super) fn finish(&self, server: &Server, ticket: u64, ask: &Ask, end: SendEnd) {
        self.granted.fetch_sub(1, Ordering::AcqRel);
        let mut undelivered = Vec::new();
        let mut state = self.state.lock();
        let ServerRow { id, service, slots, .. } = &server.row;
        if let Some(pool) = state.pools.get_mut(service) {
            let before = pool.limit().last_slot_pays(*slots);
            pool.finish(id, ticket, ask, end, now_us());
            let after = pool.limit().last_slot_pays(*slots);
            if before != after {
                let (full, below) = pool.limit().means();
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
    fn with_track<T>(
        &self,
        server: &Server,
        work: impl FnOnce(&mut ServerTrack) -> T,
    ) -> Option<T> {
        self.state.lock().track(server).map(work)
    }

    /// Takes in the answer to a health check, and for how long the server says that it is cold.
    pub fn checked(&self, server: &Server, well: bool, cold_left_ms: Option<u64>) {
        self.with_track(server, |track| {
            track.checked(well, now_us());
            track.hear_cold(cold_left_ms, now_us());
        });
    }

    /// Whether any server of a service ever told its load.
    #[must_use]
    pub fn service_tells_load(&self, service: &str) -> bool {
        let state = self.state.lock();
        let told = |track: &ServerTrack| track.pace_age_us(now_us()).is_some();
        state.pools.get(service).is_some_and(|pool| pool.servers.iter().any(told))
    }

    /// Whether a server ever told its load.
    #[must_use]
    pub fn tells_load(&self, server: &Server) -> bool {
        self.with_track(server, |track| track.pace_age_us(now_us()).is_some()).unwrap_or(false)
    }

    /// Whether a server told its load after `since_us`.
    #[must_use]
    pub fn heard_since(&self, server: &Server, since_us: u64) -> bool {
        let age_us = self.with_track(server, |track| track.pace_age_us(now_us())).flatten();
        age_us.is_some_and(|age_us| now_us().saturating_sub(age_us) > since_us)
    }

    /// Takes note that a server did not answer a health check.
    pub fn unheard(&self, server: &Server) {
        self.with_track(server, |track| track.unheard(now_us()));
    }

    /// Whether nothing of this instance runs anywhere.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.granted.load(Ordering::Acquire) == 0
    }

    /// Returns at once while something runs, else as soon as something does.
    pub async fn busy(&self) {
        let began = self.began.notified();
        tokio::pin!(began);
        began.as_mut().enable();
        if self.idle() {
            began.await;
        }
    }

    /// Whether a server is no place any more for a request that was given a slot of it, expecting an
    /// answer after `expected_ms`; see [`ServicePool::worse`].
    #[must_use]
    pub fn worse(&self, server: &Server, ask: &Ask, expected_ms: f64) -> bool {
        let state = self.state.lock();
        let pool = state.pools.get(&server.row.service);
        pool.is_some_and(|pool| pool.worse(&server.row.id, server.key, ask, expected_ms, now_us()))
    }

    /// Whether requests wait for slots.
    #[must_use]
    pub fn contended(&self) -> bool {
        self.state.lock().pools.values().any(|pool| pool.waiting() > 0)
    }

    /// Offers free slots to those that wait. Grants that cannot be delivered are left in
    /// `undelivered`, to be dropped once the lock is released: dropping takes it again.
    pub(super) fn serve_waiting(
        &self,
        state: &mut State,
        service: &str,
        undelivered: &mut Vec<Grant>,
    ) {
        loop {
            let Some(pool) = state.pools.get_mut(service) else {
                return;
            };
            let Some((waiting, choice)) = pool.serve_waiting(&self.zone, now_us(), &mut random)
            else {
                return;
            };
            let sender = state.waiting.remove(&waiting.ticket);
            let Some(grant) = self.grant(state, choice, waiting.ticket, waiting.ask) else {
                continue;
            };
            if let Some(Err(Ok(grant))) = sender.map(|sender| sender.send(Ok(Box::new(grant)))) {
                undelivered.push(*grant);
            }
        }
    }

    /// Refuses the waiting requests that became late, and serves those that can be.
    fn turn(&self) {
        let mut undelivered = Vec::new();
        let mut state = self.state.lock();
        state.forget_silent_peers(now_us());
        for service in state.waited_for() {
            Self::refuse_late(&mut state, &service);
            self.serve_waiting(&mut state, &service, &mut undelivered);
        }
        drop(state);
    }

    fn refuse_late(state: &mut State, service: &str) {
        let Some(pool) = state.pools.get_mut(service) else {
            return;
        };
        let refusal = pool.refusal(now_us());
        for ticket in pool.expire(now_us()) {
            if let Some(sender) = state.waiting.remove(&ticket) {
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
                tokio::time::sleep(TIDY_INTERVAL).await;
                tidied.tidy();
            }
        };
        let serve = async move {
            loop {
                self.queued.notified().await;
                while self.contended() {
                    tokio::time::sleep(TURN).await;
                    self.turn();
                }
            }
        };
        tokio::join!(tidy, serve);
    }
}
