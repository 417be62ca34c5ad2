//! Reports this home's in-flight requests at each backend server, and the slowdown of the servers
//! of its zone, to the other homes. Without the reports, two homes would use the same free slots
//! during a burst; a server that gets twice as many requests as it has slots slows down for all of
//! them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use super::dispatcher::Dispatcher;
use super::dispatcher_peers::PEER_TIMEOUT_US;
use super::homes::HomesPlan;
use super::homes::all_homes;
use super::homes::is_home;
use super::reported_loads::ReportedLoads;
use crate::board::Blackboard;
use crate::clock::now_us;
use crate::member::MemberRow;
use crate::peer::PeerClient;
use crate::peer::PeerRequest;
use crate::peer::ServerLoadRow;
use crate::peer::ServerLoads;
use crate::task::TaskGuard;

/// Interval of reports to one peer while there are changes. A request takes some 200 ms, so counts
/// this old are off by about a tenth of a slot.
const REPORT_INTERVAL: Duration = Duration::from_millis(25);
/// Interval of the reports, in units of [`REPORT_INTERVAL`], while no request is queued: choosing
/// among free servers needs less precision.
const UNCONTENDED_INTERVALS: u32 = 3;
/// Intervals after which an unchanged report is sent as a keepalive: a peer drops reports that are
/// older than a second.
const KEEPALIVE_INTERVALS: u32 = 10;
/// Upper limit of the interval factor; a home without queued requests then reports every 0.45 s.
const INTERVAL_FACTOR_MAX: u32 = 6;
/// Timeout of a report. A peer that did not answer may have missed it, so everything is sent again.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time without a report, in microseconds, after which a peer has certainly expired everything,
/// even if the last report arrived late.
const PEER_EXPIRY_US: u64 = PEER_TIMEOUT_US + 500_000;
/// Number of peers up to which each gets reports at the full rate. The interval grows with the
/// number of peers beyond it, so that the total cost of reports does not grow with the fleet.
const PEERS_AT_FULL_RATE: usize = 5;
/// How often the set of homes is checked for changes.
const HOMES_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of checks without requests after which an instance that is not a home stops reporting; by
/// then the peers know that it has none in flight.
const IDLE_CHECKS_MAX: u32 = 10;

/// A home that receives reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ReportTarget {
    /// Distinguishes a restarted peer, which has received nothing yet.
    incarnation: u64,
    address: SocketAddr,
    /// Whether the peer is in this instance's zone.
    same_zone: bool,
}

/// Reduces a report to what another zone needs: in-flight requests without the slowdown. The
/// slowdown of each server changes several times per second, so the bytes sent between zones would
/// grow with the square of the fleet. A home asks a server of another zone for its slowdown before
/// each request to it.
fn strip_for_other_zone(loads: &mut Vec<ServerLoadRow>) {
    loads.retain(|row| row.in_flight > 0);
    for row in loads {
        row.slowdown_percent = 0;
    }
}

/// Reports loads while this instance is a home or has requests in flight.
#[derive(Clone, Debug)]
pub struct LoadReporter<L> {
    pub board: Arc<Blackboard>,
    pub links: L,
    pub dispatcher: Dispatcher,
}

impl<L: PeerClient> LoadReporter<L> {
    /// Runs until the process ends.
    pub async fn run(self) {
        let mut reporters: HashMap<ReportTarget, TaskGuard> = HashMap::new();
        let mut idle_checks = 0;
        loop {
            // An instance that is not a home reports only its own in-flight requests.
            let reports = self.is_home() || !self.dispatcher.is_idle();
            idle_checks = if reports { 0 } else { idle_checks + 1 };
            if idle_checks < IDLE_CHECKS_MAX {
                self.update_reporters(&mut reporters);
            } else {
                reporters.clear();
            }
            let wait =
                tokio::time::timeout(HOMES_CHECK_INTERVAL, self.dispatcher.wait_until_busy());
            if reports {
                tokio::time::sleep(HOMES_CHECK_INTERVAL).await;
            } else {
                let _ = wait.await;
            }
        }
    }

    /// Keeps one reporting task per peer.
    fn update_reporters(&self, reporters: &mut HashMap<ReportTarget, TaskGuard>) {
        let targets = self.report_targets();
        let interval_factor = u32::try_from(targets.len().div_ceil(PEERS_AT_FULL_RATE));
        let interval_factor =
            interval_factor.unwrap_or(INTERVAL_FACTOR_MAX).clamp(1, INTERVAL_FACTOR_MAX);
        reporters.retain(|peer, _| targets.contains(peer));
        for peer in targets {
            reporters
                .entry(peer)
                .or_insert_with(|| TaskGuard::spawn(self.clone().report_to(peer, interval_factor)));
        }
    }

    /// The peers to report to: for a home, all other homes. Another instance still has requests of
    /// callers that use an old address answer; it reports only to the homes of its zone, whose
    /// servers it uses. If hundreds of such instances reported to all homes, the traffic would grow
    /// with instances times homes.
    fn report_targets(&self) -> HashSet<ReportTarget> {
        let view = self.board.members_view();
        let homes = all_homes(&view, HomesPlan::of(&self.board));
        let others = homes.iter().filter(|row| row.incarnation != self.board.incarnation);
        let own_zone = &self.board.settings.instance.zone;
        let all = homes.iter().any(|row| row.incarnation == self.board.incarnation);
        let peer = |row: &Arc<MemberRow>| ReportTarget {
            incarnation: row.incarnation,
            address: row.peer_address,
            same_zone: row.zone == *own_zone,
        };
        others.map(peer).filter(|peer| all || peer.same_zone).collect()
    }

    fn is_home(&self) -> bool {
        is_home(&self.board, HomesPlan::of(&self.board))
    }

    /// Reports loads to one peer: changes soon while requests are queued, otherwise less often.
    async fn report_to(self, peer: ReportTarget, interval_factor: u32) {
        let mut reported = ReportedLoads::default();
        let mut intervals_since_report = 0;
        let mut reported_us = now_us();
        let mut ticks = tokio::time::interval(REPORT_INTERVAL * interval_factor);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            if self.dispatcher.is_idle() && reported.is_idle() && !self.is_home() {
                // An instance that is not a home reports only its own in-flight requests.
                self.dispatcher.wait_until_busy().await;
            }
            ticks.tick().await;
            if now_us().saturating_sub(reported_us) >= PEER_EXPIRY_US {
                reported.clear();
            }
            let mut loads = self.dispatcher.own_loads();
            if !peer.same_zone {
                strip_for_other_zone(&mut loads);
            }
            let rows = reported.changes(&loads);
            intervals_since_report += 1;
            let keepalive_due = (KEEPALIVE_INTERVALS / interval_factor).max(UNCONTENDED_INTERVALS);
            let due = if rows.is_empty() { keepalive_due } else { UNCONTENDED_INTERVALS };
            if intervals_since_report < due && (rows.is_empty() || !self.dispatcher.has_queue()) {
                continue;
            }
            if rows.is_empty() && self.dispatcher.is_idle() {
                continue;
            }
            intervals_since_report = 0;
            reported_us = now_us();
            let loads = ServerLoads { from: self.board.incarnation, rows };
            let request = PeerRequest::ServerLoads(loads.clone());
            let started = Instant::now();
            match self.links.call(peer.address, &request, REPORT_TIMEOUT).await {
                Ok(_) => reported.record_delivered(&loads.rows),
                Err(error) => {
                    if error.is_connection_lost(started.elapsed(), REPORT_TIMEOUT) {
                        self.board.record_failed_call(peer.address);
                    }
                    reported.record_maybe_delivered(&loads.rows);
                }
            }
        }
    }
}
