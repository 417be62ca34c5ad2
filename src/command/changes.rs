//! Computes the differences between declared and current services, without I/O.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

use crate::model::Service;

/// One service that `apply` would change.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    pub service: String,
    /// `create`, `update` or `delete`.
    pub action: &'static str,
    /// The current revision that the change applies to; 0 for a new service.
    pub expected_revision: u64,
    /// Lines such as `~ timeout_ms: 100 -> 200`.
    pub lines: Vec<String>,
    /// The service to commit; `None` for a deletion.
    #[serde(skip)]
    pub declared: Option<Service>,
}

/// Adds the leaf values of `value` to `rows`, keyed by their paths.
fn flatten(prefix: &str, value: &Value, rows: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let path =
                    if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
                flatten(&path, field, rows);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                let name = ["id", "name"].iter().find_map(|key| item.get(key)?.as_str());
                let name = name.map_or_else(|| index.to_string(), str::to_owned);
                flatten(&format!("{prefix}[{name}]"), item, rows);
            }
        }
        scalar => {
            rows.insert(prefix.to_owned(), scalar.to_string());
        }
    }
}

fn flatten_service(service: Option<&Service>) -> BTreeMap<String, String> {
    let mut rows = BTreeMap::new();
    let value = service.and_then(|service| serde_json::to_value(service).ok());
    if let Some(value) = value {
        flatten("", &value, &mut rows);
    }
    rows
}

fn diff(before: Option<&Service>, after: Option<&Service>) -> Vec<String> {
    let (before, after) = (flatten_service(before), flatten_service(after));
    let mut lines = Vec::new();
    for (path, old) in &before {
        match after.get(path) {
            None => lines.push(format!("- {path}: {old}")),
            Some(new) if new != old => lines.push(format!("~ {path}: {old} -> {new}")),
            Some(_) => {}
        }
    }
    for (path, new) in &after {
        if !before.contains_key(path) {
            lines.push(format!("+ {path}: {new}"));
        }
    }
    lines
}

/// The changes that turn `current`, services with their revisions, into `declared`. With `prune`,
/// services that are not declared are deleted.
#[must_use]
pub fn changes_between(
    current: &[(u64, Service)],
    declared: &[Service],
    prune: bool,
) -> Vec<Change> {
    let mut changes = Vec::new();
    for service in declared {
        let before = current.iter().find(|(_, other)| other.name == service.name);
        if before.is_some_and(|(_, other)| other == service) {
            continue;
        }
        changes.push(Change {
            service: service.name.clone(),
            action: if before.is_some() { "update" } else { "create" },
            expected_revision: before.map_or(0, |(revision, _)| *revision),
            lines: diff(before.map(|(_, other)| other), Some(service)),
            declared: Some(service.clone()),
        });
    }
    let undeclared = current
        .iter()
        .filter(|(_, service)| prune && !declared.iter().any(|other| other.name == service.name));
    for (revision, service) in undeclared {
        changes.push(Change {
            service: service.name.clone(),
            action: "delete",
            expected_revision: *revision,
            lines: diff(Some(service), None),
            declared: None,
        });
    }
    changes
}
