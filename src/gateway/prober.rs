//! Health checks, which tell load and pace of the servers of the own zone.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Dialect;
use super::caller_handler::TableInForce;
use super::dispatcher::Dispatcher;
use super::health_check::check;
use super::homes::is_home;
use super::server::Server;
use crate::board::Blackboard;
use crate::board::Counter;
use crate::conf::GatewaySettings;

/// Health checks a second to a server by one home, as long as the operators' bound allows them.
/// They only have to find servers that fell silent, and to tell which look fast; each request asks
/// the one it is meant for. At thirty a second the share answered in time was the same.
const PROBES_PER_S: u32 = 8;
/// Seconds between two checks of a server that tells no load. There a check waits for a slot like
/// any request: it takes one from a request, and says nothing of the server if it is not answered
/// soon.
const UNTOLD_INTERVAL_S: u32 = 2;
/// A server in the own zone answers a health check within some milliseconds; one that takes
/// longer than this does not answer at all.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Checks the servers of the own zone while this instance is one of the zone's homes.
#[derive(Clone, Debug)]
pub struct Prober<D> {
    pub dialect: D,
    pub board: Arc<Blackboard>,
    pub dispatcher: Dispatcher,
    pub table: TableInForce,
    pub settings: GatewaySettings,
}

impl<D: Dialect> Prober<D> {
    /// Checks until the process ends.
    pub async fn run(self) {
        let homes = u32::try_from(self.settings.homes_per_zone).unwrap_or(u32::MAX);
        // Instances may disagree for a moment on who is a home: half of the bound is left.
        let allowed = self.settings.probes_per_s_max / homes.saturating_mul(2).max(1);
        let rate = PROBES_PER_S.min(allowed);
        if rate == 0 {
            return;
        }
        let mut turns = tokio::time::interval(Duration::from_secs(1) / rate);
        turns.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut turn = 0;
        loop {
            turns.tick().await;
            turn += 1;
            if is_home(&self.board, self.settings.homes_per_zone) {
                self.probe_all(turn % (rate * UNTOLD_INTERVAL_S) == 0);
            }
        }
    }

    /// Checks the servers of the zone; those that tell no load only once, and where `all` says so.
    fn probe_all(&self, all: bool) {
        let zone = &*self.board.settings.instance.zone;
        for server in self.dispatcher.servers() {
            let first = !server.asked.swap(true, Ordering::Relaxed);
            let due = all || first || self.dispatcher.tells_load(&server);
            if *server.zone == *zone && due {
                tokio::spawn(self.clone().probe(server));
            }
        }
    }

    async fn probe(self, server: Arc<Server>) {
        let table = self.table.load_full();
        let rule = table.as_ref().and_then(|table| table.services.get(&server.service));
        let Some(path) = rule.map(|rule| rule.health_path.as_str()) else {
            return;
        };
        self.board.counters.add(Counter::Probes);
        let checked = async {
            let mut conn = server.conns.take(PROBE_TIMEOUT).await.ok()?;
            let keep =
                check(&self.dialect, &self.dispatcher, &server, &mut conn, path).await.ok()?;
            if keep {
                server.conns.put_back(conn);
            }
            Some(())
        };
        let checked = tokio::time::timeout(PROBE_TIMEOUT, checked).await;
        if !matches!(checked, Ok(Some(()))) && self.dispatcher.tells_load(&server) {
            self.dispatcher.unheard(&server);
        }
    }
}
