//! Health checks, which report load and slowdown of the servers in the own zone.

use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Dialect;
use super::caller_handler::CurrentRouteTable;
use super::dispatcher::Dispatcher;
use super::health_check::check_health;
use super::home_planner::own_subset;
use super::server::Server;
use crate::balance::ServerSubset;
use crate::board::Blackboard;
use crate::board::Counter;
use crate::conf::GatewaySettings;

/// Maximum health checks per second that one home sends to one server. They only need to detect
/// servers that stopped responding and to show which ones look fast, since each request also checks
/// the server that it is meant for. Thirty per second gave the same share of timely answers.
const PROBES_PER_SERVER_PER_S: u32 = 8;
/// Interval, in seconds, of checks of a server that does not report its load. Such a server queues
/// a check like any request: the check takes a slot from a request, and a late answer says nothing
/// about the server.
const NO_LOAD_INTERVAL_S: u32 = 2;
/// Timeout of a health check. A server in the own zone answers within some milliseconds; a slower
/// one counts as not answering.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Requests per second of the instance's capacity for each health check per second. A check takes
/// about a fifth of the CPU time of a request, so this leaves nine tenths for requests.
const CAPACITY_PER_PROBE: u32 = 2;

/// Checks per second for each request per second. A request chooses among recently checked servers;
/// more checks would not improve the choice.
const PROBES_PER_REQUEST: f64 = 3.0;
/// Interval, in seconds, in which every server is checked at least once when there are few
/// requests, so that an unresponsive server is found before they arrive.
const IDLE_PROBE_INTERVAL_S: u32 = 2;
/// Weight of the latest tick in the moving average of the request rate.
const RATE_EWMA_WEIGHT: f64 = 0.1;

/// The servers that this home checks, refreshed only when the server list or the home's subset of
/// it changed.
#[derive(Debug, Default)]
struct ProbedServers {
    servers: Vec<Arc<Server>>,
    /// The subset that `servers` was taken from.
    subset: Option<ServerSubset>,
    /// Version of the server list that `servers` was taken from.
    list_version: u64,
}

impl ProbedServers {
    fn refresh(&mut self, dispatcher: &Dispatcher, subset: ServerSubset) {
        let list_version = dispatcher.list_version();
        if self.subset.as_ref() == Some(&subset) && self.list_version == list_version {
            return;
        }
        self.list_version = list_version;
        self.servers = dispatcher.servers_in_subset(&subset);
        self.subset = Some(subset);
    }
}

/// Exponential moving average of this instance's requests per second.
#[derive(Debug, Default)]
struct RequestRate {
    /// Total number of requests at the last tick.
    last_count: u64,
    per_s: f64,
}

impl RequestRate {
    /// Updates the average with the total number of requests so far.
    #[expect(clippy::cast_precision_loss, reason = "the requests of one tick are few")]
    fn update(&mut self, counted: u64, ticks_per_s: u32) {
        let now_per_s = counted.saturating_sub(self.last_count) as f64 * f64::from(ticks_per_s);
        self.last_count = counted;
        self.per_s += RATE_EWMA_WEIGHT * (now_per_s - self.per_s);
    }
}

/// Sends health checks to this home's subset of the servers of its zone; none while this instance
/// is not a home.
#[derive(Clone, Debug)]
pub struct Prober<D> {
    pub dialect: D,
    pub board: Arc<Blackboard>,
    pub dispatcher: Dispatcher,
    pub table: CurrentRouteTable,
    pub settings: GatewaySettings,
}

impl<D: Dialect> Prober<D> {
    /// Runs until the process ends.
    pub async fn run(self) {
        // Two instances may briefly both consider themselves responsible for a server, so each uses
        // half of the configured limit.
        let rate = PROBES_PER_SERVER_PER_S.min(self.settings.probes_per_s_max / 2);
        if rate == 0 {
            return;
        }
        let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut tick = 0;
        let mut probed = ProbedServers::default();
        let mut request_rate = RequestRate::default();
        loop {
            ticks.tick().await;
            tick += 1;
            request_rate.update(self.board.counters.get(Counter::Requests), rate);
            if let Some(subset) = own_subset(&self.board) {
                probed.refresh(&self.dispatcher, subset);
                let no_load_due = tick % (rate * NO_LOAD_INTERVAL_S) == 0;
                if !self.dispatcher.is_evacuated(&self.board.settings.instance.zone) {
                    self.probe_due(&probed.servers, tick, no_load_due, request_rate.per_s);
                }
            }
        }
    }

    /// Starts the checks that are due at this tick. A server that does not report its load is
    /// checked once initially, and then only when `no_load_due` is set.
    fn probe_due(
        &self,
        servers: &[Arc<Server>],
        tick: u32,
        no_load_due: bool,
        requests_per_s: f64,
    ) {
        let ticks = self.ticks_per_probe(servers.len(), requests_per_s);
        for server in servers {
            let first = !server.health_checked.swap(true, Ordering::Relaxed);
            let due =
                tick.wrapping_add(server.key) % ticks == 0 && self.dispatcher.reports_load(server);
            if (first || no_load_due || due) && !self.dispatcher.in_cooldown(server) {
                tokio::spawn(self.clone().probe(Arc::clone(server)));
            }
        }
    }

    /// Number of ticks in which each of `servers` servers is checked once. It limits the checks of
    /// a large zone to what leaves the CPU to requests, and to what the requests need for their
    /// choice.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates are some hundred per second"
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

    /// Sends one health check and records a missing answer.
    async fn probe(self, server: Arc<Server>) {
        let table = self.table.load_full();
        let service_config =
            table.as_ref().and_then(|table| table.services.get(&server.row.service));
        let Some(path) = service_config.map(|rule| rule.health_path.as_str()) else {
            return;
        };
        self.board.counters.add(Counter::Probes);
        self.dispatcher.record_use(&server);
        let checked = async {
            let mut conn = match server.conns.take(PROBE_TIMEOUT).await {
                Ok(conn) => conn,
                // All connections are in use; the answers to their requests are as informative as a
                // check.
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
