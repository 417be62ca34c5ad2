//! Conversions between the messages of the operators' API and the domain types.

use tonic::Status;

use crate::catalog::EditError;
use crate::errors::Code;
use crate::errors::CodedError;
use crate::errors::TABLE;
use crate::r#gen as wire;
use crate::model::BackendServer;
use crate::model::Preference;
use crate::model::RequestKind;
use crate::model::Service;
use crate::model::VersionedService;

/// Metadata key with the number of an error's result code.
const CODE_METADATA_KEY: &str = "sorrelwick-code";

fn invalid(field: &str, why: impl std::fmt::Display) -> CodedError {
    CodedError::new(Code::ServiceInvalid, format!("{field}: {why}"))
}

fn server_from_wire(server: wire::BackendServer) -> Result<BackendServer, CodedError> {
    let address = server.address.parse();
    let address = address.map_err(|_| {
        invalid("backend_servers.address", format!("'{}' is not IP:port", server.address))
    })?;
    Ok(BackendServer {
        id: server.id,
        address,
        zone: server.zone,
        slots: server.slots,
        connections_max: server.connections_max,
        drained: server.drained,
    })
}

fn kind_from_wire(kind: wire::RequestKind) -> RequestKind {
    RequestKind {
        name: kind.name,
        method: kind.method,
        path_prefix: kind.path_prefix,
        idempotent: kind.idempotent,
        key_required: kind.key_required,
    }
}

/// Converts a service sent by an operator, without validating it.
///
/// # Errors
/// `ServiceInvalid` for values that the domain types cannot represent.
pub fn service_from_wire(service: wire::Service) -> Result<Service, CodedError> {
    let preference = match service.preference() {
        wire::Preference::Tail => Preference::Tail,
        wire::Preference::Cost | wire::Preference::Unspecified => Preference::Cost,
    };
    let statuses = service.refusal_statuses.iter().map(|status| u16::try_from(*status));
    let refusal_statuses =
        statuses.collect::<Result<_, _>>().map_err(|err| invalid("refusal_statuses", err))?;
    let servers = service.backend_servers.into_iter().map(server_from_wire);
    Ok(Service {
        name: service.name,
        kinds: service.kinds.into_iter().map(kind_from_wire).collect(),
        backend_servers: servers.collect::<Result<_, _>>()?,
        measuring_budget_per_s: service.measuring_budget_per_s,
        preference,
        refusal_statuses,
        timeout_ms: service.timeout_ms,
        health_path: service.health_path,
    })
}

/// Converts a service to its message.
#[must_use]
pub fn service_to_wire(service: &Service) -> wire::Service {
    let kinds = service.kinds.iter().map(|kind| wire::RequestKind {
        name: kind.name.clone(),
        method: kind.method.clone(),
        path_prefix: kind.path_prefix.clone(),
        idempotent: kind.idempotent,
        key_required: kind.key_required,
    });
    let servers = service.backend_servers.iter().map(|server| wire::BackendServer {
        id: server.id.clone(),
        address: server.address.to_string(),
        zone: server.zone.clone(),
        slots: server.slots,
        connections_max: server.connections_max,
        drained: server.drained,
    });
    let preference = match service.preference {
        Preference::Cost => wire::Preference::Cost,
        Preference::Tail => wire::Preference::Tail,
    };
    wire::Service {
        name: service.name.clone(),
        kinds: kinds.collect(),
        backend_servers: servers.collect(),
        measuring_budget_per_s: service.measuring_budget_per_s,
        preference: preference.into(),
        refusal_statuses: service.refusal_statuses.iter().map(|s| u32::from(*s)).collect(),
        timeout_ms: service.timeout_ms,
        health_path: service.health_path.clone(),
    }
}

/// Converts a service with its revision to its message.
#[must_use]
pub fn versioned_to_wire(row: &VersionedService) -> wire::Versioned {
    wire::Versioned {
        revision: row.revision,
        change_id: row.change_id.to_string(),
        service: row.service.as_ref().map(service_to_wire),
        deleted: row.service.is_none(),
    }
}

/// Converts an error to a gRPC status, with the number of its result code in the metadata.
#[must_use]
pub fn status_from_error(err: &CodedError) -> Status {
    let text = err.to_string();
    let mut status = match err.code {
        Code::Conflict => Status::aborted(text),
        Code::NotFound => Status::not_found(text),
        Code::StoreUnreachable => Status::unavailable(text),
        Code::CommitUnknown => Status::unknown(text),
        Code::Unauthenticated => Status::unauthenticated(text),
        _ => Status::invalid_argument(text),
    };
    status.metadata_mut().insert(CODE_METADATA_KEY, err.code.number().into());
    status
}

/// Converts an edit's error to a gRPC status; the text of a conflict names the current revision.
#[must_use]
pub fn status_from_edit_error(err: &EditError) -> Status {
    status_from_error(&err.coded)
}

/// The result code in a gRPC status, or `OperatorUnreachable` for a status without a known code.
#[must_use]
pub fn code_from_status(status: &Status) -> Code {
    let number = status.metadata().get(CODE_METADATA_KEY).and_then(|value| value.to_str().ok());
    let number: Option<u16> = number.and_then(|text| text.parse().ok());
    let row = TABLE.iter().find(|row| Some(row.0.number()) == number);
    row.map_or(Code::OperatorUnreachable, |row| row.0)
}
