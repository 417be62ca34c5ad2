//! Health checks, which tell load and pace of the servers of the own zone.

use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Dialect;
use super::caller_handler::CurrentRouteTable;
use super::dispatcher::Dispatcher;
use super::health_check::check_health;
use super::home_planner::near_part;
use super::server::Server;
use crate::balance::ServerSubset;
use crate::board::Blackboard;
use crate::board::Counter;
use crate::conf::GatewaySettings;

/// Health checks a second to a server by one home, as long as the operators' bound allows them.
/// They only have to find servers that fell silent, and to tell which look fast; each request asks
/// the one it is meant for. At thirty a second the share answered in time was the same.
const PROBES_PER_SERVER_PER_S: u32 = 8;
/// Seconds between two checks of a server that tells no load. There a check waits for a slot like
/// any request: it takes one from a request, and says nothing of the server if it is not answered
/// soon.
const NO_LOAD_INTERVAL_S: u32 = 2;
/// A server in the own zone answers a health check within some milliseconds; one that takes
/// longer than this does not answer at all.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// One health check a second for so many requests a second that the instance can carry: a check
/// takes about a fifth of the processor's time of a request, so this leaves nine tenths to these.
const CAPACITY_PER_PROBE: u32 = 2;

/// Checks a second for each request a second: a request chooses among servers that were looked at lately,
/// and more looks than that tell the next one nothing.
const PROBES_PER_REQUEST: f64 = 3.0;
/// Seconds in which each server is checked once where there are few requests: one that fell silent is found
/// before they come.
const IDLE_PROBE_INTERVAL_S: u32 = 2;
/// Weight of one turn in the rate of requests.
const RATE_EWMA_WEIGHT: f64 = 0.1;

/// The servers that this home checks, looked up again only when the list or its part changed.
#[derive(Debug, Default)]
struct ProbedServers {
    servers: Vec<Arc<Server>>,
    part: Option<ServerSubset>,
    list_version: u64,
}

impl ProbedServers {
    fn refresh(&mut self, dispatcher: &Dispatcher, part: ServerSubset) {
        let list_version = dispatcher.list_version();
        if self.part.as_ref() == Some(&part) && self.list_version == list_version {
            return;
        }
        self.list_version = list_version;
        self.servers = dispatcher.near_servers(&part);
        self.part = Some(part);
    }
}

/// Requests a second of this instance, over the last turns.
#[derive(Debug, Default)]
struct RequestRate {
    last_count: u64,
    per_s: f64,
}

impl RequestRate {
    #[expect(clippy::cast_precision_loss, reason = "requests of one turn")]
    fn update(&mut self, counted: u64, turns_per_s: u32) {
        let now_per_s = counted.saturating_sub(self.last_count) as f64 * f64::from(turns_per_s);
        self.last_count = counted;
        self.per_s += RATE_EWMA_WEIGHT * (now_per_s - self.per_s);
    }
}

/// Checks the servers of the own zone while this instance is one of the zone's homes.
#[derive(Clone, Debug)]
pub struct Prober<D> {
    pub dialect: D,
    pub board: Arc<Blackboard>,
    pub dispatcher: Dispatcher,
    pub table: CurrentRouteTable,
    pub settings: GatewaySettings,
}

impl<D: Dialect> Prober<D> {
    /// Checks until the process ends.
    pub async fn run(self) {
        // Instances may disagree for a moment on who checks a server: half of the bound is left.
        let rate = PROBES_PER_SERVER_PER_S.min(self.settings.probes_per_s_max / 2);
        if rate == 0 {
            return;
        }
        let mut turns = tokio::time::interval(Duration::from_secs(1) / rate);
        turns.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut turn = 0;
        let mut own = ProbedServers::default();
        let mut requests = RequestRate::default();
        loop {
            turns.tick().await;
            turn += 1;
            requests.update(self.board.counters.get(Counter::Requests), rate);
            if let Some(part) = near_part(&self.board) {
                own.refresh(&self.dispatcher, part);
                let untold = turn % (rate * NO_LOAD_INTERVAL_S) == 0;
                if !self.dispatcher.is_evacuated(&self.board.settings.instance.zone) {
                    self.probe_due(&own.servers, turn, untold, requests.per_s);
                }
            }
        }
    }

    /// Checks this home's part of the zone's servers; those that tell no load only once, and where
    /// `untold` says so.
    fn probe_due(&self, servers: &[Arc<Server>], turn: u32, untold: bool, requests_per_s: f64) {
        let turns = self.ticks_per_probe(servers.len(), requests_per_s);
        for server in servers {
            let first = !server.health_checked.swap(true, Ordering::Relaxed);
            let due =
                turn.wrapping_add(server.key) % turns == 0 && self.dispatcher.reports_load(server);
            if (first || untold || due) && !self.dispatcher.in_cooldown(server) {
                tokio::spawn(self.clone().probe(Arc::clone(server)));
            }
        }
    }

    /// Turns in which each of so many servers is checked once, so that the checks of a large zone
    /// leave the processor to requests, and are no more than the requests that choose by them need.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "some hundred requests a second"
    )]
    fn ticks_per_probe(&self, servers: usize, requests_per_s: f64) -> u32 {
        let servers = u32::try_from(servers).unwrap_or(u32::MAX);
        let useful_per_s = (PROBES_PER_REQUEST * requests_per_s) as u32;
        let useful_per_s = useful_per_s.max(servers / IDLE_PROBE_INTERVAL_S);
        let affordable_per_s = self.board.own_capacity_per_s() / CAPACITY_PER_PROBE;
        let affordable_per_s = affordable_per_s.min(useful_per_s);
        let wanted_per_s = servers.saturating_mul(PROBES_PER_SERVER_PER_S);
        wanted_per_s.div_ceil(affordable_per_s.max(1)).max(1)
    }

    async fn probe(self, server: Arc<Server>) {
        let table = self.table.load_full();
        let rule = table.as_ref().and_then(|table| table.services.get(&server.row.service));
        let Some(path) = rule.map(|rule| rule.health_path.as_str()) else {
            return;
        };
        self.board.counters.add(Counter::Probes);
        self.dispatcher.record_use(&server);
        let checked = async {
            let mut conn = match server.conns.take(PROBE_TIMEOUT).await {
                Ok(conn) => conn,
                // All connections carry requests, whose answers tell as much.
                Err(err) => return (err.kind() == ErrorKind::QuotaExceeded).then_some(()),
            };
            let keep = check_health(&self.dialect, &self.dispatcher, &server, &mut conn, path)
                .await
                .ok()?;
            if keep {
                server.conns.put_back(conn);
            }
            Some(())
        };
        let checked = tokio::time::timeout(PROBE_TIMEOUT, checked).await;
        if !matches!(checked, Ok(Some(()))) && self.dispatcher.reports_load(&server) {
            self.dispatcher.record_check_timeout(&server);
        }
    }
}
