//! Replaces the API keys in a configuration by their hashes.

use serde_json::Map;
use serde_json::Value;

use super::KeyHash;

/// Field with the list of workspaces.
const WORKSPACES: &str = "workspaces";
/// Field with the keys of a workspace, as written by the operators, and the field that replaces it.
const API_KEYS: &str = "api_keys";
const KEY_HASHES: &str = "key_hashes";
const NAME: &str = "name";
/// The other fields of a workspace; all are numbers.
const NUMBER_FIELDS: [&str; 3] = ["priority", "rate_per_s", "burst"];

/// Replaces the keys in a configuration by their hashes. A configuration that mentions workspaces
/// but cannot be parsed becomes empty, since keys may be anywhere in it.
#[must_use]
pub fn redact_keys(config: Vec<u8>) -> Vec<u8> {
    let mentions_workspaces =
        config.windows(WORKSPACES.len()).any(|word| word == WORKSPACES.as_bytes());
    if !mentions_workspaces {
        return config;
    }
    let Ok(Value::Object(mut document)) = serde_json::from_slice(&config) else {
        return Vec::new();
    };
    if let Some(workspaces) = document.get_mut(WORKSPACES) {
        *workspaces = redacted_list(workspaces);
    }
    // A map of parsed values can always be serialized.
    serde_json::to_vec(&document).unwrap_or_default()
}

/// A value that is not a list becomes a list of one unreadable workspace: without a list, requests
/// would need no key.
fn redacted_list(workspaces: &Value) -> Value {
    let Value::Array(workspaces) = workspaces else {
        return Value::Array(vec![Value::Null]);
    };
    Value::Array(workspaces.iter().map(redacted_workspace).collect())
}

/// Keeps only the known fields of a workspace, and only if of the expected type, so that a key in
/// the wrong place is dropped.
fn redacted_workspace(workspace: &Value) -> Value {
    let Value::Object(workspace) = workspace else {
        return Value::Null;
    };
    let mut redacted = Map::new();
    if let Some(name) = workspace.get(NAME) {
        let text = name.as_str().map_or(Value::Null, Value::from);
        redacted.insert(NAME.to_owned(), text);
    }
    for field in NUMBER_FIELDS {
        if let Some(value) = workspace.get(field) {
            let number = if value.is_number() { value.clone() } else { Value::Null };
            redacted.insert(field.to_owned(), number);
        }
    }
    let key_hashes = workspace.get(API_KEYS).map_or(Value::Null, hashes);
    redacted.insert(KEY_HASHES.to_owned(), key_hashes);
    Value::Object(redacted)
}

/// Hashes a list of keys; null if the value is not a list of strings.
fn hashes(keys: &Value) -> Value {
    let Value::Array(keys) = keys else {
        return Value::Null;
    };
    let hash = |key: &Value| key.as_str().map(|key| KeyHash::of(key.as_bytes()).to_hex().into());
    keys.iter().map(hash).collect::<Option<Vec<Value>>>().map_or(Value::Null, Value::Array)
}
