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

use super::caller_handler::TableInForce;
use super::dispatcher::Dispatcher;
use super::homes::HomesPlan;
use super::homes::all_homes;
use super::homes::is_home;
use crate::board::Blackboard;
use crate::peer::Links;
use crate::peer::PeerRequest;
use crate::peer::ServerLoadRow;
use crate::peer::ServerLoads;
use crate::task::TaskGuard;

/// Time between two words to a peer, if there is something new. Work takes some 200 ms, so
/// counts this old are wrong by a tenth of a slot.
const INTERVAL: Duration = Duration::from_millis(25);
/// The same, in intervals, while no request waits: choices between free servers need less.
const CALM_INTERVALS: u32 = 3;
/// Without anything new, a peer is told so after this many intervals, or it would forget.
const IDLE_INTERVALS: u32 = 10;
/// A peer that does not answer within this may have missed it; it is told everything again.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// Peers that are told at the full rate; with more of them each is told less often, as what
/// instances may spend on telling each other does not grow with their number.
const PEERS_AT_FULL_RATE: usize = 5;
/// Requests a second that callers of a zone may send for each slot of its share of the servers.
/// Work takes 0.2 to 0.5 s, so this fills most of the slots; more cannot be served for long.
const REQUESTS_PER_SLOT: f64 = 1.5;
/// Part of the connections that a server accepts for all homes together.
const HOMES_CONNECTIONS: f64 = 0.75;
/// How often the set of homes is looked at.
const HOMES_INTERVAL: Duration = Duration::from_millis(200);

/// The part of a server's connections that an instance may use: nearly all of the requests come
/// by the homes, and the rest by callers that keep an old address answer.
#[expect(clippy::cast_precision_loss, reason = "some hundred instances")]
fn connection_part(homes: usize, others: usize, is_home: bool) -> f64 {
    let (homes, others) = (homes.max(1) as f64, others as f64);
    match (is_home, others > 0.0) {
        (true, false) => 1.0 / homes,
        (true, true) => HOMES_CONNECTIONS / homes,
        (false, _) => (1.0 - HOMES_CONNECTIONS) / others.max(1.0),
    }
}

/// Tells loads while this instance is a home.
#[derive(Clone, Debug)]
pub struct LoadShare {
    pub board: Arc<Blackboard>,
    pub links: Links,
    pub dispatcher: Dispatcher,
    pub table: TableInForce,
}

impl LoadShare {
    /// Tells loads until the process ends.
    pub async fn run(self) {
        let mut told: HashMap<SocketAddr, TaskGuard> = HashMap::new();
        loop {
            self.plan_homes();
            let peers = self.peers();
            let stretch = u32::try_from(peers.len().div_ceil(PEERS_AT_FULL_RATE)).unwrap_or(1);
            told.retain(|peer, _| peers.contains(peer));
            for peer in peers {
                told.entry(peer)
                    .or_insert_with(|| TaskGuard::spawn(self.clone().tell(peer, stretch)));
            }
            tokio::time::sleep(HOMES_INTERVAL).await;
        }
    }

    /// Takes note of what the homes of a zone must carry, and of how many there are.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "some thousand slots"
    )]
    fn plan_homes(&self) {
        let settings = self.board.settings.gateway.as_ref();
        let zones = settings.map_or(1, |gateway| gateway.zones.len().max(1)) as f64;
        let demand_per_s = f64::from(self.dispatcher.slots()) / zones * REQUESTS_PER_SLOT;
        self.board.set_zone_demand_per_s(demand_per_s as u32);
        let view = self.board.members_view();
        let homes = all_homes(&view.rows, HomesPlan::of(&self.board)).len();
        self.dispatcher.share_slack(homes);
        let others = view.serving().saturating_sub(homes);
        let part = connection_part(homes, others, self.is_home());
        if let Some(table) = self.table.load().as_ref() {
            self.dispatcher.share_connections(&table.services, part);
        }
    }

    /// The other homes. An instance that is none still has the requests of callers that keep an
    /// old answer, so it tells them too.
    fn peers(&self) -> HashSet<SocketAddr> {
        let view = self.board.members_view();
        let homes = all_homes(&view.rows, HomesPlan::of(&self.board));
        let others = homes.iter().filter(|row| row.incarnation != self.board.incarnation);
        others.map(|row| row.peer).collect()
    }

    fn is_home(&self) -> bool {
        is_home(&self.board, HomesPlan::of(&self.board))
    }

    async fn tell(self, peer: SocketAddr, stretch: u32) {
        let mut acknowledged: HashMap<u32, ServerLoadRow> = HashMap::new();
        let mut idle_intervals = 0;
        let mut turns = tokio::time::interval(INTERVAL * stretch.max(1));
        turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            if self.dispatcher.idle()
                && acknowledged.values().all(|row| row.in_flight == 0)
                && !self.is_home()
            {
                // An instance that is no home has nothing to tell but its own requests.
                self.dispatcher.busy().await;
            }
            turns.tick().await;
            let now = self.dispatcher.own_loads();
            let changed = now.iter().filter(|row| acknowledged.get(&row.server) != Some(*row));
            let rows: Vec<ServerLoadRow> = changed.copied().collect();
            idle_intervals += 1;
            let due = if rows.is_empty() { IDLE_INTERVALS } else { CALM_INTERVALS };
            if idle_intervals < due && (rows.is_empty() || !self.dispatcher.contended()) {
                continue;
            }
            if rows.is_empty() && self.dispatcher.idle() {
                continue;
            }
            idle_intervals = 0;
            let loads = ServerLoads { from: self.board.incarnation, rows };
            let request = PeerRequest::ServerLoads(loads);
            match self.links.call(peer, &request, CALL_TIMEOUT).await {
                Ok(_) => acknowledged = now.into_iter().map(|row| (row.server, row)).collect(),
                Err(_) => acknowledged.clear(),
            }
        }
    }
}
