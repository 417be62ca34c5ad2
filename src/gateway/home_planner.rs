//! Plans the homes of each zone and this instance's share of the resources that all homes share.

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
use crate::starts::HomeSet;
use crate::workspace::WorkspaceTable;

/// Requests per second that are planned for each slot in a zone's share of the servers. A request
/// takes 0.2 to 0.5 s, so this rate uses most slots; a higher one cannot be sustained.
const REQUESTS_PER_SLOT_PER_S: f64 = 1.5;
/// Fraction of a server's connections that is reserved for the homes together.
const HOMES_CONNECTION_SHARE: f64 = 0.75;
/// How often the servers and the members are checked for changes.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// The fraction of a server's connections that one instance may use. Nearly all requests arrive
/// through the homes, the rest from callers that still use an old address answer.
#[expect(clippy::cast_precision_loss, reason = "there are some hundred instances")]
fn connection_share(homes: usize, others: usize, is_home: bool) -> f64 {
    let (homes, others) = (homes.max(1) as f64, others as f64);
    match (is_home, others > 0.0) {
        (true, false) => 1.0 / homes,
        (true, true) => HOMES_CONNECTION_SHARE / homes,
        (false, _) => (1.0 - HOMES_CONNECTION_SHARE) / others.max(1.0),
    }
}

/// Which servers this instance prefers as one of the homes of its zone; `None` if it is not a home.
pub(super) fn own_subset(board: &Blackboard) -> Option<ServerSubset> {
    let (index, homes) = home_index(board, HomesPlan::of(board))?;
    Some(ServerSubset { zone: board.settings.instance.zone.as_str().into(), index, homes })
}

/// Keeps the plan of homes and this instance's shares up to date.
#[derive(Clone, Debug)]
pub struct HomePlanner {
    pub board: Arc<Blackboard>,
    pub dispatcher: Dispatcher,
    pub table: CurrentRouteTable,
    pub quotas: Arc<Quotas>,
}

/// The inputs of the last plan; while they stay the same, nothing is recomputed.
#[derive(Clone, Debug, Default, PartialEq)]
struct PlanInputs {
    /// Incarnations of the homes of all zones.
    homes: Vec<u64>,
    /// Number of the other instances.
    others: usize,
    /// Version of the configuration in use; `None` before the first one.
    config_version: Option<u64>,
    /// Version of the server list.
    list_version: u64,
}

impl HomePlanner {
    /// Runs until the process ends.
    pub async fn run(self) {
        let mut previous = PlanInputs::default();
        let mut zone_majority = ZoneMajority::default();
        loop {
            previous = self.plan(previous);
            self.update_quota_homes(&mut zone_majority);
            tokio::time::sleep(PLAN_INTERVAL).await;
        }
    }

    /// Updates which homes hold the quota tokens, if any workspace has a quota.
    fn update_quota_homes(&self, zone_majority: &mut ZoneMajority) {
        let table = self.table.load();
        let workspaces = table.as_ref().and_then(|table| table.workspaces.as_ref());
        if !workspaces.is_some_and(WorkspaceTable::any_limited) {
            return;
        }
        let view = self.board.members_view();
        let settings = &self.board.settings;
        let lacks_members = self.may_lack_members(view.running_count());
        let homes =
            if lacks_members { Vec::new() } else { all_homes(&view, HomesPlan::of(&self.board)) };
        let home = |row: &Arc<MemberRow>| QuotaHome {
            zone: row.zone.as_str().into(),
            incarnation: row.incarnation,
            peer: row.peer_address,
        };
        let zones = settings.gateway.as_ref().map_or(&[][..], |gateway| &gateway.zones);
        let placement = QuotaPlacement {
            zones: zones.iter().map(|zone| zone.as_str().into()).collect(),
            own_zone: settings.instance.zone.as_str().into(),
            own_incarnation: self.board.incarnation,
            homes: homes.iter().map(home).collect(),
            sees_zone_majority: zone_majority.has_majority(
                &view,
                &settings.instance.zone,
                now_us(),
            ),
        };
        self.quotas.set_placement(placement, now_us());
    }

    /// The current inputs, and the homes of all zones.
    fn plan_inputs(&self) -> (PlanInputs, Vec<Arc<MemberRow>>) {
        let view = self.board.members_view();
        let homes = all_homes(&view, HomesPlan::of(&self.board));
        let inputs = PlanInputs {
            homes: homes.iter().map(|row| row.incarnation).collect(),
            others: view.running_count().saturating_sub(homes.len()),
            config_version: self.table.load().as_ref().map(|table| table.version),
            list_version: self.dispatcher.list_version(),
        };
        (inputs, homes)
    }

    /// Recomputes the demand that the homes of a zone must carry, the homes, and this instance's
    /// shares, unless the inputs are the `previous` ones. Returns the current inputs.
    fn plan(&self, previous: PlanInputs) -> PlanInputs {
        let (inputs, _) = self.plan_inputs();
        if inputs == previous {
            return previous;
        }
        let demand_changed = (inputs.config_version, inputs.list_version)
            != (previous.config_version, previous.list_version);
        if demand_changed && self.dispatcher.has_servers() {
            self.board.set_zone_demand_per_s(self.zone_demand_per_s());
        }
        let (inputs, homes) = self.plan_inputs();
        if inputs.homes != previous.homes {
            let names: Vec<&str> = homes.iter().map(|row| row.name.as_str()).collect();
            info!(
                event = "homes-changed", homes = names.join(" ").as_str(),
                instances = inputs.others + homes.len(),
                zone_demand_per_s = self.board.zone_demand_per_s();
                ""
            );
        }
        self.dispatcher.set_home_set(self.home_set(&inputs));
        let is_home = inputs.homes.contains(&self.board.incarnation);
        self.dispatcher.set_instance_counts(homes.len(), inputs.others, is_home);
        if self.may_lack_members(inputs.homes.len() + inputs.others) {
            self.dispatcher.withhold_retry_slack();
        }
        self.dispatcher.set_subset(own_subset(&self.board).as_ref());
        let share = connection_share(homes.len(), inputs.others, is_home);
        if let Some(table) = self.table.load().as_ref() {
            self.dispatcher.set_connection_share(&table.services, share);
        }
        inputs
    }

    /// Whether this instance knows no other although seeds are configured: it may be one of
    /// hundreds that start at this moment.
    fn may_lack_members(&self, known: usize) -> bool {
        known <= 1 && !self.board.settings.peers.seeds.is_empty()
    }

    /// The homes among which the starts of requests at overloaded servers are divided.
    fn home_set(&self, inputs: &PlanInputs) -> HomeSet {
        let lacks_members = self.may_lack_members(inputs.homes.len() + inputs.others);
        let homes = (!lacks_members).then(|| inputs.homes.clone());
        HomeSet { homes, own: self.board.incarnation }
    }

    /// Requests per second that the homes of one zone must be able to carry.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "there are some thousand slots"
    )]
    fn zone_demand_per_s(&self) -> u32 {
        let table = self.table.load();
        let slots = table.as_ref().map_or(0, |table| self.dispatcher.total_slots(&table.services));
        let settings = self.board.settings.gateway.as_ref();
        let zones = settings.map_or(1, |gateway| gateway.zones.len().max(1)) as f64;
        (f64::from(slots) / zones * REQUESTS_PER_SLOT_PER_S) as u32
    }
}
