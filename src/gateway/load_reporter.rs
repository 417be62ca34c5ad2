//! Tells the other homes how many requests this one has at each backend server, and how fast the
//! servers of its zone work.
//!
//! Without it two homes give out the same slots in a burst: a server that is sent twice what it
//! has slots for works slower, and everything there is late.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
use crate::peer::PeerCalls;
use crate::peer::PeerRequest;
use crate::peer::ServerLoadRow;
use crate::peer::ServerLoads;
use crate::task::TaskGuard;

/// Time between two words to a peer, if there is something new. Work takes some 200 ms, so
/// counts this old are wrong by a tenth of a slot.
const REPORT_INTERVAL: Duration = Duration::from_millis(25);
/// The same, in intervals, while no request waits: choices between free servers need less.
const UNCONTENDED_INTERVALS: u32 = 3;
/// Without anything new, a peer is told so after this many intervals, or it would forget: it does
/// so after a second.
const KEEPALIVE_INTERVALS: u32 = 10;
/// The most by which the intervals are stretched; a calm home is then heard every 0.45 s.
const INTERVAL_FACTOR_MAX: u32 = 6;
/// A peer that does not answer within this may have missed it; it is told everything again.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);
/// A peer that was not spoken to for so long has forgotten everything, also where the last word
/// reached it late.
const PEER_EXPIRY_US: u64 = PEER_TIMEOUT_US + 500_000;
/// Peers that are told at the full rate; with more of them each is told less often, as what
/// instances may spend on telling each other does not grow with their number.
const PEERS_AT_FULL_RATE: usize = 5;
/// How often the set of homes is looked at.
const HOMES_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Looks without requests after which an instance that is no home stops telling: the peers know by
/// then that it has none.
const IDLE_CHECKS_MAX: u32 = 10;

/// Another home that is told of the loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ReportTarget {
    /// One that starts again has heard nothing.
    incarnation: u64,
    address: SocketAddr,
    /// Whether it is in the zone of this instance.
    same_zone: bool,
}

/// Leaves what is told to another zone: requests at the servers, without their pace. That shifts several
/// times a second on each server, so telling it would cost bytes between zones with the square of the
/// fleet; a home asks a server of another zone for its pace before each request there.
fn strip_for_other_zone(loads: &mut Vec<ServerLoadRow>) {
    loads.retain(|row| row.in_flight > 0);
    for row in loads {
        row.pace_percent = 0;
    }
}

/// Tells loads while this instance is a home.
#[derive(Clone, Debug)]
pub struct LoadReporter<L> {
    pub board: Arc<Blackboard>,
    pub links: L,
    pub dispatcher: Dispatcher,
}

impl<L: PeerCalls> LoadReporter<L> {
    /// Tells loads until the process ends.
    pub async fn run(self) {
        let mut told: HashMap<ReportTarget, TaskGuard> = HashMap::new();
        let mut calm_turns = 0;
        loop {
            // An instance that is no home has nothing to tell but its own requests, if any.
            let speaks = self.is_home() || !self.dispatcher.is_idle();
            calm_turns = if speaks { 0 } else { calm_turns + 1 };
            if calm_turns < IDLE_CHECKS_MAX {
                self.update_reporters(&mut told);
            } else {
                told.clear();
            }
            let wait =
                tokio::time::timeout(HOMES_CHECK_INTERVAL, self.dispatcher.wait_until_busy());
            if speaks {
                tokio::time::sleep(HOMES_CHECK_INTERVAL).await;
            } else {
                let _ = wait.await;
            }
        }
    }

    /// Keeps one task for each peer.
    fn update_reporters(&self, told: &mut HashMap<ReportTarget, TaskGuard>) {
        let peers = self.peers();
        let stretch = u32::try_from(peers.len().div_ceil(PEERS_AT_FULL_RATE));
        let stretch = stretch.unwrap_or(INTERVAL_FACTOR_MAX).clamp(1, INTERVAL_FACTOR_MAX);
        told.retain(|peer, _| peers.contains(peer));
        for peer in peers {
            told.entry(peer)
                .or_insert_with(|| TaskGuard::spawn(self.clone().report_to(peer, stretch)));
        }
    }

    /// The other homes. An instance that is none still has the requests of callers that keep an old
    /// answer, so it tells those of its zone, whose servers it uses: of hundreds each telling the homes of
    /// all zones, words would grow with instances times homes.
    fn peers(&self) -> HashSet<ReportTarget> {
        let view = self.board.members_view();
        let homes = all_homes(&view, HomesPlan::of(&self.board));
        let others = homes.iter().filter(|row| row.incarnation != self.board.incarnation);
        let own_zone = &self.board.settings.instance.zone;
        let all = homes.iter().any(|row| row.incarnation == self.board.incarnation);
        let peer = |row: &Arc<MemberRow>| ReportTarget {
            incarnation: row.incarnation,
            address: row.peer,
            same_zone: row.zone == *own_zone,
        };
        others.map(peer).filter(|peer| all || peer.same_zone).collect()
    }

    fn is_home(&self) -> bool {
        is_home(&self.board, HomesPlan::of(&self.board))
    }

    async fn report_to(self, peer: ReportTarget, stretch: u32) {
        let mut told = ReportedLoads::default();
        let mut idle_intervals = 0;
        let mut spoke_us = now_us();
        let mut turns = tokio::time::interval(REPORT_INTERVAL * stretch);
        turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            if self.dispatcher.is_idle() && told.is_idle() && !self.is_home() {
                // An instance that is no home has nothing to tell but its own requests.
                self.dispatcher.wait_until_busy().await;
            }
            turns.tick().await;
            if now_us().saturating_sub(spoke_us) >= PEER_EXPIRY_US {
                told.clear();
            }
            let mut loads = self.dispatcher.own_loads();
            if !peer.same_zone {
                strip_for_other_zone(&mut loads);
            }
            let rows = told.changes(&loads);
            idle_intervals += 1;
            let idle_due = (KEEPALIVE_INTERVALS / stretch).max(UNCONTENDED_INTERVALS);
            let due = if rows.is_empty() { idle_due } else { UNCONTENDED_INTERVALS };
            if idle_intervals < due && (rows.is_empty() || !self.dispatcher.has_queue()) {
                continue;
            }
            if rows.is_empty() && self.dispatcher.is_idle() {
                continue;
            }
            idle_intervals = 0;
            spoke_us = now_us();
            let loads = ServerLoads { from: self.board.incarnation, rows };
            let request = PeerRequest::ServerLoads(loads.clone());
            if self.links.call(peer.address, &request, REPORT_TIMEOUT).await.is_ok() {
                told.record_delivered(&loads.rows);
            } else {
                told.record_maybe_delivered(&loads.rows);
            }
        }
    }
}
