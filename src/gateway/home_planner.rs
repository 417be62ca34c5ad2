//! How many homes there are, and what part each instance has of what all of them share.

use std::sync::Arc;
use std::time::Duration;

use log::info;

use super::caller_handler::CurrentRouteTable;
use super::dispatcher::Dispatcher;
use super::homes::HomesPlan;
use super::homes::all_homes;
use super::homes::home_index;
use super::zone_majority::ZoneMajority;
use crate::balance::ServerSubset;
use crate::board::Blackboard;
use crate::clock::now_us;
use crate::member::MemberRow;
use crate::quota::QuotaHome;
use crate::quota::QuotaPlacement;
use crate::quota::Quotas;
use crate::starts::HomeShare;
use crate::workspace::WorkspaceTable;

/// Requests a second that callers of a zone may send for each slot of its share of the servers.
/// Work takes 0.2 to 0.5 s, so this fills most of the slots; more cannot be served for long.
const REQUESTS_PER_SLOT_PER_S: f64 = 1.5;
/// Part of the connections that a server accepts for all homes together.
const HOMES_CONNECTION_SHARE: f64 = 0.75;
/// How often the servers and the members are looked at.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// The part of a server's connections that an instance may use: nearly all of the requests come
/// by the homes, and the rest by callers that keep an old address answer.
#[expect(clippy::cast_precision_loss, reason = "some hundred instances")]
fn connection_share(homes: usize, others: usize, is_home: bool) -> f64 {
    let (homes, others) = (homes.max(1) as f64, others as f64);
    match (is_home, others > 0.0) {
        (true, false) => 1.0 / homes,
        (true, true) => HOMES_CONNECTION_SHARE / homes,
        (false, _) => (1.0 - HOMES_CONNECTION_SHARE) / others.max(1.0),
    }
}

/// The servers that this instance chooses among first, as one of the homes of its zone.
pub(super) fn near_part(board: &Blackboard) -> Option<ServerSubset> {
    let (place, homes) = home_index(board, HomesPlan::of(board))?;
    Some(ServerSubset { zone: board.settings.instance.zone.as_str().into(), index: place, homes })
}

/// Keeps the plan of homes, and this instance's parts, up to date.
#[derive(Clone, Debug)]
pub struct HomePlanner {
    pub board: Arc<Blackboard>,
    pub dispatcher: Dispatcher,
    pub table: CurrentRouteTable,
    pub quotas: Arc<Quotas>,
}

/// What the last plan was made of; while it stays, nothing is worked out anew.
#[derive(Clone, Debug, Default, PartialEq)]
struct PlanInputs {
    /// Homes, by incarnation.
    homes: Vec<u64>,
    others: usize,
    /// Version of the configuration; `None` without one.
    table: Option<u64>,
    servers: u64,
}

impl HomePlanner {
    /// Plans until the process ends.
    pub async fn run(self) {
        let mut before = PlanInputs::default();
        let mut sight = ZoneMajority::default();
        loop {
            before = self.plan(before);
            self.update_quota_homes(&mut sight);
            tokio::time::sleep(PLAN_INTERVAL).await;
        }
    }

    /// Who holds the tokens of workspaces, as long as any has a quota.
    fn update_quota_homes(&self, sight: &mut ZoneMajority) {
        let table = self.table.load();
        let workspaces = table.as_ref().and_then(|table| table.workspaces.as_ref());
        if !workspaces.is_some_and(WorkspaceTable::any_limited) {
            return;
        }
        let view = self.board.members_view();
        let settings = &self.board.settings;
        let one_of_many = self.may_lack_members(view.serving());
        let homes =
            if one_of_many { Vec::new() } else { all_homes(&view, HomesPlan::of(&self.board)) };
        let home = |row: &Arc<MemberRow>| QuotaHome {
            zone: row.zone.as_str().into(),
            incarnation: row.incarnation,
            peer: row.peer,
        };
        let zones = settings.gateway.as_ref().map_or(&[][..], |gateway| &gateway.zones);
        let share = QuotaPlacement {
            zones: zones.iter().map(|zone| zone.as_str().into()).collect(),
            own_zone: settings.instance.zone.as_str().into(),
            own_incarnation: self.board.incarnation,
            homes: homes.iter().map(home).collect(),
            sees_zone_majority: sight.has_majority(&view, &settings.instance.zone, now_us()),
        };
        self.quotas.set_placement(share, now_us());
    }

    fn plan_inputs(&self) -> (PlanInputs, Vec<Arc<MemberRow>>) {
        let view = self.board.members_view();
        let homes = all_homes(&view, HomesPlan::of(&self.board));
        let basis = PlanInputs {
            homes: homes.iter().map(|row| row.incarnation).collect(),
            others: view.serving().saturating_sub(homes.len()),
            table: self.table.load().as_ref().map(|table| table.version),
            servers: self.dispatcher.list_version(),
        };
        (basis, homes)
    }

    /// Works out what the homes of a zone must carry, who they are, and the own parts.
    fn plan(&self, before: PlanInputs) -> PlanInputs {
        let (basis, _) = self.plan_inputs();
        if basis == before {
            return before;
        }
        let known_anew = (basis.table, basis.servers) != (before.table, before.servers);
        if known_anew && self.dispatcher.has_servers() {
            self.board.set_zone_demand_per_s(self.zone_demand_per_s());
        }
        let (basis, homes) = self.plan_inputs();
        if basis.homes != before.homes {
            let names: Vec<&str> = homes.iter().map(|row| row.name.as_str()).collect();
            info!(
                event = "homes-changed", homes = names.join(" ").as_str(),
                instances = basis.others + homes.len(),
                zone_demand_per_s = self.board.zone_demand_per_s();
                ""
            );
        }
        self.dispatcher.set_home_set(self.home_share(&basis));
        let own = basis.homes.contains(&self.board.incarnation);
        self.dispatcher.set_home_count(homes.len(), own);
        self.dispatcher.set_subset(near_part(&self.board).as_ref());
        let part = connection_share(homes.len(), basis.others, own);
        if let Some(table) = self.table.load().as_ref() {
            self.dispatcher.set_connection_share(&table.services, part);
        }
        basis
    }

    /// An instance that knows no other, though there are some, may be one of hundreds that start at this
    /// moment.
    fn may_lack_members(&self, known: usize) -> bool {
        known <= 1 && !self.board.settings.peers.seeds.is_empty()
    }

    /// Who shares what servers in need may get.
    fn home_share(&self, basis: &PlanInputs) -> HomeShare {
        let one_of_many = self.may_lack_members(basis.homes.len() + basis.others);
        let homes = (!one_of_many).then(|| basis.homes.clone());
        HomeShare { homes, own: self.board.incarnation }
    }

    /// Requests a second that the homes of one zone must be able to carry.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "some thousand slots"
    )]
    fn zone_demand_per_s(&self) -> u32 {
        let table = self.table.load();
        let slots = table.as_ref().map_or(0, |table| self.dispatcher.total_slots(&table.services));
        let settings = self.board.settings.gateway.as_ref();
        let zones = settings.map_or(1, |gateway| gateway.zones.len().max(1)) as f64;
        (f64::from(slots) / zones * REQUESTS_PER_SLOT_PER_S) as u32
    }
}
