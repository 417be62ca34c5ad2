//! Commands on one service.

use std::fmt::Write;
use std::path::Path;

use super::ToolClient;
use super::read_declaration;
use crate::errors::CodedError;
use crate::r#gen as wire;
use crate::operator::service_from_wire;
use crate::operator::service_to_wire;

/// The output after a committed change of the service `what`.
fn format_committed(row: &wire::Versioned, what: &str, json: bool) -> String {
    if json {
        return format!("{}\n", serde_json::json!({ "service": what, "revision": row.revision }));
    }
    format!("committed {what} at revision {}\n", row.revision)
}

/// Commits the declaration in `file`.
///
/// # Errors
/// An invalid declaration, or the error of the instance.
pub async fn put_file(
    client: &mut ToolClient,
    file: &Path,
    expected_revision: u64,
    json: bool,
) -> Result<String, CodedError> {
    let service = read_declaration(file)?;
    let row = client.put(&service_to_wire(&service), expected_revision).await?;
    Ok(format_committed(&row, &service.name, json))
}

/// Prints one service as a declaration.
///
/// # Errors
/// The error of the instance.
pub async fn get(client: &mut ToolClient, name: &str, json: bool) -> Result<String, CodedError> {
    let row = client.get(name).await?;
    let service = service_from_wire(row.service.unwrap_or_default())?;
    let text = serde_json::to_string_pretty(&service).unwrap_or_default();
    if json {
        return Ok(format!("{{\"revision\": {}, \"service\": {text}}}\n", row.revision));
    }
    Ok(format!("// revision {}\n{text}\n", row.revision))
}

/// Lists all services with revision, number of backend servers and probe budget.
///
/// # Errors
/// The error of the instance.
pub async fn list(client: &mut ToolClient, json: bool) -> Result<String, CodedError> {
    let rows = client.list().await?;
    let named = rows.iter().filter_map(|row| Some((row.revision, row.service.as_ref()?)));
    if json {
        let items: Vec<serde_json::Value> = named
            .map(|(revision, service)| {
                let servers = service.backend_servers.len();
                serde_json::json!({ "name": service.name, "revision": revision, "backend_servers": servers })
            })
            .collect();
        return Ok(format!("{}\n", serde_json::Value::from(items)));
    }
    let mut text =
        format!("{:<32} {:>8} {:>8} {:>8}\n", "SERVICE", "REVISION", "SERVERS", "BUDGET");
    for (revision, service) in named {
        let _ = writeln!(
            text,
            "{:<32} {revision:>8} {:>8} {:>6}/s",
            service.name,
            service.backend_servers.len(),
            service.measuring_budget_per_s
        );
    }
    Ok(text)
}

/// Deletes a service.
///
/// # Errors
/// The error of the instance.
pub async fn delete(
    client: &mut ToolClient,
    name: &str,
    expected_revision: u64,
    json: bool,
) -> Result<String, CodedError> {
    let row = client.delete(name, expected_revision).await?;
    Ok(format_committed(&row, name, json))
}

/// Starts or ends the draining of a backend server.
///
/// # Errors
/// The error of the instance.
pub async fn set_drain(
    client: &mut ToolClient,
    service: &str,
    backend_server: &str,
    drained: bool,
    json: bool,
) -> Result<String, CodedError> {
    let row = client.set_drain(service, backend_server, drained).await?;
    Ok(format_committed(&row, service, json))
}

/// Sets the probe budget of a service, in probes per second.
///
/// # Errors
/// The error of the instance.
pub async fn set_budget(
    client: &mut ToolClient,
    service: &str,
    per_s: u32,
    json: bool,
) -> Result<String, CodedError> {
    let row = client.set_budget(service, per_s).await?;
    Ok(format_committed(&row, service, json))
}
