//! The gRPC service for operators.

use tonic::Request;
use tonic::Response;
use tonic::Status;
use uuid::Uuid;

use super::convert::service_from_wire;
use super::convert::status_from_edit_error;
use super::convert::status_from_error;
use super::convert::versioned_to_wire;
use crate::board::Counter;
use crate::catalog::Committer;
use crate::catalog::Edit;
use crate::catalog::merge_rows;
use crate::errors::Code;
use crate::errors::CodedError;
use crate::r#gen as wire;
use crate::r#gen::operator_server::Operator;
use crate::member::MemberRow;
use crate::model::VersionedService;
use crate::route::Router;
use crate::store::AnyStore;

/// Handles the operators' calls. A change is reported as accepted only once the store has committed
/// it.
#[derive(Clone, Debug)]
pub struct OperatorService {
    router: Router,
    committer: Committer<AnyStore>,
}

/// Parses the id of a change; an empty one gets a new random id.
fn parse_change_id(text: &str) -> Result<Uuid, Status> {
    if text.is_empty() {
        return Ok(Uuid::new_v4());
    }
    Uuid::parse_str(text).map_err(|err| {
        status_from_error(&CodedError::new(Code::ServiceInvalid, format!("change_id: {err}")))
    })
}

fn instance_to_wire(row: &MemberRow) -> wire::InstanceStatus {
    wire::InstanceStatus {
        name: row.name.clone(),
        zone: row.zone.clone(),
        caller_address: row.caller_address.to_string(),
        operator_address: row.operator_address.to_string(),
        state: row.state.name().into(),
        incarnation: row.incarnation,
    }
}

impl OperatorService {
    pub(super) fn new(router: Router) -> Self {
        let committer = Committer::new(router.store.clone());
        Self { router, committer }
    }

    async fn commit(
        &self,
        name: &str,
        edit: &Edit,
        change: &str,
    ) -> Result<Response<wire::PutServiceResponse>, Status> {
        let change_id = parse_change_id(change)?;
        let known = self.row(name);
        let committed = self.committer.commit(name, edit, change_id, known.as_ref()).await;
        let catalog_row: VersionedService =
            committed.map_err(|err| status_from_edit_error(&err))?;
        let current = Some(versioned_to_wire(&catalog_row));
        // The change applies here at once; other instances learn of it through their watches of the
        // store and through pushes from peers.
        let changed_rows = merge_rows(&self.router.board, vec![(name.to_owned(), catalog_row)]);
        crate::catalog::push_rows(&self.router.board, &self.router.links, &changed_rows);
        Ok(Response::new(wire::PutServiceResponse { current }))
    }

    fn row(&self, name: &str) -> Option<VersionedService> {
        self.router.board.catalog.lock().get(name).cloned()
    }
}

#[tonic::async_trait]
impl Operator for OperatorService {
    async fn put_service(
        &self,
        request: Request<wire::PutServiceRequest>,
    ) -> Result<Response<wire::PutServiceResponse>, Status> {
        let request = request.into_inner();
        let missing =
            || status_from_error(&CodedError::new(Code::ServiceInvalid, "service: missing"));
        let declared = request.service.ok_or_else(missing)?;
        let service = service_from_wire(declared).map_err(|err| status_from_error(&err))?;
        crate::model::check_service(&service).map_err(|err| status_from_error(&err))?;
        let name = service.name.clone();
        let edit = Edit::Put { service, expected: request.expected_revision };
        self.commit(&name, &edit, &request.change_id).await
    }

    async fn get_service(
        &self,
        request: Request<wire::GetServiceRequest>,
    ) -> Result<Response<wire::GetServiceResponse>, Status> {
        let name = request.into_inner().name;
        let live = self.row(&name).filter(|row| row.service.is_some());
        let row = live.ok_or_else(|| status_from_error(&CodedError::new(Code::NotFound, name)))?;
        Ok(Response::new(wire::GetServiceResponse { current: Some(versioned_to_wire(&row)) }))
    }

    async fn list_services(
        &self,
        _request: Request<wire::ListServicesRequest>,
    ) -> Result<Response<wire::ListServicesResponse>, Status> {
        let rows = self.router.board.catalog.lock().live();
        let services = rows.iter().map(|(_, row)| versioned_to_wire(row)).collect();
        Ok(Response::new(wire::ListServicesResponse { services }))
    }

    async fn delete_service(
        &self,
        request: Request<wire::DeleteServiceRequest>,
    ) -> Result<Response<wire::PutServiceResponse>, Status> {
        let request = request.into_inner();
        let edit = Edit::Delete { expected: request.expected_revision };
        self.commit(&request.name, &edit, &request.change_id).await
    }

    async fn set_drain(
        &self,
        request: Request<wire::SetDrainRequest>,
    ) -> Result<Response<wire::PutServiceResponse>, Status> {
        let request = request.into_inner();
        let edit = Edit::Drain { server: request.backend_server, drained: request.drained };
        self.commit(&request.service, &edit, &request.change_id).await
    }

    async fn set_budget(
        &self,
        request: Request<wire::SetBudgetRequest>,
    ) -> Result<Response<wire::PutServiceResponse>, Status> {
        let request = request.into_inner();
        let edit = Edit::Budget { per_s: request.measuring_budget_per_s };
        self.commit(&request.service, &edit, &request.change_id).await
    }

    async fn status(
        &self,
        _request: Request<wire::StatusRequest>,
    ) -> Result<Response<wire::StatusResponse>, Status> {
        let board = &self.router.board;
        let view = board.members_view();
        let own = view.rows.iter().find(|row| row.incarnation == board.incarnation);
        let revisions =
            board.catalog.lock().all().into_iter().map(|(service, row)| wire::RevisionInForce {
                service,
                revision: row.revision,
                deleted: row.service.is_none(),
            });
        let counters = Counter::ALL.iter().map(|(counter, name, _)| wire::Counter {
            name: (*name).to_owned(),
            value: board.counters.get(*counter),
        });
        Ok(Response::new(wire::StatusResponse {
            own: own.map(|row| instance_to_wire(row)),
            instances: view.rows.iter().map(|row| instance_to_wire(row)).collect(),
            revisions: revisions.collect(),
            store_reachable: board.store_up(),
            counters: counters.collect(),
        }))
    }

    async fn timeline(
        &self,
        request: Request<wire::TimelineRequest>,
    ) -> Result<Response<wire::TimelineResponse>, Status> {
        let board = &self.router.board;
        let events = board.events.after(request.into_inner().after_stamp);
        let events = events.iter().map(|event| {
            let (kind, detail) = event.kind.name_and_detail();
            let instance = board.settings.instance.name.clone();
            wire::Event { stamp: event.stamp, instance, kind: kind.into(), detail }
        });
        Ok(Response::new(wire::TimelineResponse { events: events.collect() }))
    }
}
