//! Validation of a declared service.

use std::collections::HashSet;
use std::net::SocketAddr;

use super::RequestKind;
use super::Service;
use crate::errors::Code;
use crate::errors::CodedError;

/// Largest number of backend servers in one service.
pub const BACKEND_SERVERS_MAX: usize = 2_000;
/// Largest number of request kinds in one service.
const KINDS_MAX: usize = 64;
/// Longest name of a service, kind, server or zone, in bytes.
const NAME_LEN_MAX: usize = 100;
/// Largest number of slots of one backend server.
const SLOTS_MAX: u32 = 10_000;
/// Largest probe budget of a service, in probes per second.
const MEASURING_BUDGET_PER_S_MAX: u32 = 10_000;
/// Longest default deadline of a service.
const TIMEOUT_MAX_MS: u32 = 600_000;

fn invalid(field: &str, allowed: &str) -> CodedError {
    CodedError::new(Code::ServiceInvalid, format!("{field}: {allowed}"))
}

fn check_name(field: &str, name: &str) -> Result<(), CodedError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    if name.is_empty() || name.len() > NAME_LEN_MAX || !name.chars().all(allowed) {
        let text = format!("'{name}' must be 1 to {NAME_LEN_MAX} of a-z, A-Z, 0-9, '-', '_', '.'");
        return Err(invalid(field, &text));
    }
    Ok(())
}

/// Whether a server can listen at this address.
#[must_use]
pub const fn is_connectable(address: SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified()
}

/// Whether a text can stand in the head of a request as its path.
#[must_use]
pub fn is_request_path(text: &str) -> bool {
    text.starts_with('/') && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn check_kind(kind: &RequestKind) -> Result<(), CodedError> {
    check_name("kinds.name", &kind.name)?;
    if !kind.path_prefix.starts_with('/') {
        return Err(invalid("kinds.path_prefix", "must start with '/'"));
    }
    if kind.method.chars().any(|c| !c.is_ascii_uppercase()) {
        return Err(invalid("kinds.method", "must be upper-case letters or empty"));
    }
    if kind.idempotent && kind.key_required {
        return Err(invalid("kinds.key_required", "must be false for an idempotent kind"));
    }
    Ok(())
}

fn check_servers(service: &Service) -> Result<(), CodedError> {
    if service.backend_servers.len() > BACKEND_SERVERS_MAX {
        let text = format!("at most {BACKEND_SERVERS_MAX} are allowed");
        return Err(invalid("backend_servers", &text));
    }
    let mut ids = HashSet::new();
    let mut addresses = HashSet::new();
    for server in &service.backend_servers {
        check_name("backend_servers.id", &server.id)?;
        check_name("backend_servers.zone", &server.zone)?;
        if !ids.insert(&server.id) {
            return Err(invalid("backend_servers.id", &format!("'{}' stands twice", server.id)));
        }
        if !addresses.insert(server.address) {
            let text = format!("'{}' stands twice", server.address);
            return Err(invalid("backend_servers.address", &text));
        }
        if !is_connectable(server.address) {
            let text = format!("'{}' cannot be connected to", server.address);
            return Err(invalid("backend_servers.address", &text));
        }
        if !(1..=SLOTS_MAX).contains(&server.slots) {
            return Err(invalid("backend_servers.slots", &format!("1 to {SLOTS_MAX}")));
        }
        if server.connections_max < server.slots {
            return Err(invalid("backend_servers.connections_max", "at least the slots"));
        }
    }
    Ok(())
}

/// Validates a declaration.
///
/// # Errors
/// `ServiceInvalid`, with the field and the allowed values.
pub fn check_service(service: &Service) -> Result<(), CodedError> {
    check_name("name", &service.name)?;
    if service.kinds.len() > KINDS_MAX {
        return Err(invalid("kinds", &format!("at most {KINDS_MAX} are allowed")));
    }
    service.kinds.iter().try_for_each(check_kind)?;
    check_servers(service)?;
    if service.measuring_budget_per_s > MEASURING_BUDGET_PER_S_MAX {
        return Err(invalid(
            "measuring_budget_per_s",
            &format!("at most {MEASURING_BUDGET_PER_S_MAX}"),
        ));
    }
    if !(1..=TIMEOUT_MAX_MS).contains(&service.timeout_ms) {
        return Err(invalid("timeout_ms", &format!("1 to {TIMEOUT_MAX_MS}")));
    }
    if service.refusal_statuses.iter().any(|status| !(400..=599).contains(status)) {
        return Err(invalid("refusal_statuses", "each must be 400 to 599"));
    }
    if !is_request_path(&service.health_path) {
        return Err(invalid("health_path", "must be a path, of printable ASCII without spaces"));
    }
    Ok(())
}
