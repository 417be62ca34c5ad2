//! Applies configuration and membership changes to the request path.

use std::collections::HashMap;
use std::sync::Arc;

use smallvec::SmallVec;

use super::ServiceState;
use super::service_state::ServiceRuntime;
use crate::board::Blackboard;
use crate::board::MembersView;
use crate::board::ServiceMap;
use crate::decide::HomeCandidate;
use crate::decide::assign_keepers;
use crate::decide::select_homes;
use crate::member::MemberRow;
use crate::model::Service;

/// The homes of one service, and the backend servers of which this instance is the keeper.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The homes in the zone given to [`Self::decide`] come first.
    pub homes: SmallVec<[Arc<MemberRow>; 4]>,
    /// For each backend server, whether this instance is its keeper.
    pub is_keeper: Vec<bool>,
}

impl Placement {
    /// Selects the homes of `service` among `members`, for the instance `own` and callers in
    /// `zone`.
    #[must_use]
    pub fn decide(service: &Service, members: &[Arc<MemberRow>], own: u64, zone: &str) -> Self {
        let mut available: Vec<&Arc<MemberRow>> =
            members.iter().filter(|row| row.state.accepts_work()).collect();
        // If no instance reaches servers, one is as good as another.
        if available.iter().any(|row| row.reaches_servers) {
            available.retain(|row| row.reaches_servers);
        }
        let candidates: Vec<HomeCandidate<'_>> = available
            .iter()
            .map(|row| HomeCandidate { incarnation: row.incarnation, zone: &row.zone })
            .collect();
        let selected = select_homes(&service.name, &candidates, &service.zone_slots());
        let home_candidates: SmallVec<[HomeCandidate<'_>; 8]> =
            selected.iter().map(|&at| candidates[at]).collect();
        let servers: Vec<(&str, &str)> = service
            .backend_servers
            .iter()
            .map(|server| (server.id.as_str(), server.zone.as_str()))
            .collect();
        let keepers = assign_keepers(&servers, &home_candidates);
        let keeps = |keeper: &usize| home_candidates[*keeper].incarnation == own;
        let mut is_keeper: Vec<bool> = keepers.iter().map(keeps).collect();
        is_keeper.resize(service.backend_servers.len(), false);
        let mut homes: SmallVec<[Arc<MemberRow>; 4]> =
            selected.iter().map(|&at| Arc::clone(available[at])).collect();
        homes.sort_by_key(|home| home.zone != zone);
        Self { homes, is_keeper }
    }
}

/// Rebuilds the snapshot of all services; services that existed before keep their runtime state.
pub fn rebuild_services(board: &Blackboard) {
    let members = board.members_view();
    let before = board.services();
    let rows = board.catalog.lock().live();
    let mut services: ServiceMap = HashMap::with_capacity(rows.len());
    for (name, versioned) in rows {
        let Some(spec) = versioned.service else {
            continue;
        };
        let state = build_state(board, &members, before.get(&name), versioned.revision, spec);
        services.insert(name, Arc::new(state));
    }
    board.set_services(services);
}

fn build_state(
    board: &Blackboard,
    members: &MembersView,
    before: Option<&Arc<ServiceState>>,
    revision: u64,
    spec: Service,
) -> ServiceState {
    let zone = &board.settings.instance.zone;
    let placement = Placement::decide(&spec, &members.rows, board.incarnation, zone);
    let runtime = before.map_or_else(
        || ServiceRuntime::new(board.settings.requests.queue_max, board.incarnation),
        |state| state.runtime.clone(),
    );
    let serving_instances = u32::try_from(members.running_count()).unwrap_or(u32::MAX);
    runtime.slot_queue.apply(&spec, &placement.is_keeper, serving_instances);
    let is_home = placement.homes.iter().any(|home| home.incarnation == board.incarnation);
    ServiceState { revision, spec: Arc::new(spec), homes: placement.homes, is_home, runtime }
}

/// Rebuilds the services after each change of configuration or membership.
pub async fn run_placement(board: Arc<Blackboard>) {
    let mut changes = board.subscribe_changes();
    loop {
        changes.mark_unchanged();
        rebuild_services(&board);
        if changes.changed().await.is_err() {
            return;
        }
    }
}
