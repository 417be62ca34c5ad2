//! The commands `plan` and `apply` for declarations kept in version control.

use std::fmt::Write;
use std::path::Path;

use super::Change;
use super::ToolClient;
use super::changes_between;
use super::read_directory;
use crate::errors::Code;
use crate::errors::CodedError;
use crate::model::Service;
use crate::operator::service_from_wire;
use crate::operator::service_to_wire;

async fn find_changes(
    client: &mut ToolClient,
    directory: &Path,
    prune: bool,
) -> Result<Vec<Change>, CodedError> {
    let declared = read_directory(directory)?;
    let mut current: Vec<(u64, Service)> = Vec::new();
    for row in client.list().await? {
        if let Some(service) = row.service {
            current.push((row.revision, service_from_wire(service)?));
        }
    }
    Ok(changes_between(&current, &declared, prune))
}

fn render(changes: &[Change], json: bool) -> String {
    if json {
        let text = serde_json::to_string_pretty(changes).unwrap_or_default();
        return format!("{text}\n");
    }
    if changes.is_empty() {
        return "nothing to change\n".into();
    }
    let mut text = String::new();
    for change in changes {
        let (action, service) = (change.action, &change.service);
        let _ = writeln!(text, "{action} {service} (revision {})", change.expected_revision);
        for line in &change.lines {
            let _ = writeln!(text, "  {line}");
        }
    }
    text
}

/// Shows what `apply` would change.
///
/// # Errors
/// An invalid declaration, or the error of the instance.
pub async fn plan(
    client: &mut ToolClient,
    directory: &Path,
    prune: bool,
    json: bool,
) -> Result<String, CodedError> {
    let changes = find_changes(client, directory, prune).await?;
    Ok(render(&changes, json))
}

async fn commit(client: &mut ToolClient, change: &Change) -> Result<u64, CodedError> {
    let committed = match &change.declared {
        Some(service) => client.put(&service_to_wire(service), change.expected_revision).await?,
        None => client.delete(&change.service, change.expected_revision).await?,
    };
    Ok(committed.revision)
}

/// Commits every change; after one that fails, the others are still tried.
///
/// # Errors
/// All failures in one error, after all changes were tried. Its code is that of the first failure
/// that is not a conflict, or `Conflict` if all are.
pub async fn apply(
    client: &mut ToolClient,
    directory: &Path,
    prune: bool,
    json: bool,
) -> Result<String, CodedError> {
    let changes = find_changes(client, directory, prune).await?;
    // Printed before the first commit, so that the changes are shown even if one fails.
    print!("{}", render(&changes, json));
    let mut text = String::new();
    let mut failures: Vec<CodedError> = Vec::new();
    for change in &changes {
        match commit(client, change).await {
            Ok(revision) => {
                let _ = writeln!(text, "committed {} at revision {revision}", change.service);
            }
            Err(err) => {
                let detail = format!("{}: {}", change.service, err.detail);
                failures.push(CodedError::new(err.code, detail));
            }
        }
    }
    let Some(first) = failures.first() else {
        return Ok(if json { String::new() } else { text });
    };
    eprint!("{text}");
    let all: Vec<String> = failures.iter().map(ToString::to_string).collect();
    let returned = failures.iter().find(|err| err.code != Code::Conflict).unwrap_or(first);
    Err(CodedError::new(returned.code, all.join("; ")))
}
