//! Takes the keys out of a configuration.

use serde_json::Map;
use serde_json::Value;

use super::KeyHash;

/// The list of workspaces in a configuration.
const WORKSPACES: &str = "workspaces";
/// The keys of a workspace as the operators write them, and their hashes in their place.
const API_KEYS: &str = "api_keys";
const KEY_HASHES: &str = "key_hashes";
const NAME: &str = "name";
/// What else is known of a workspace; each a number.
const NUMBER_FIELDS: [&str; 3] = ["priority", "rate_per_s", "burst"];

/// A configuration with the hashes of the keys in the place of the keys. One with workspaces that cannot
/// be read becomes empty: keys may stand anywhere in it.
#[must_use]
pub fn redact_keys(config: Vec<u8>) -> Vec<u8> {
    let named = config.windows(WORKSPACES.len()).any(|word| word == WORKSPACES.as_bytes());
    if !named {
        return config;
    }
    let Ok(Value::Object(mut document)) = serde_json::from_slice(&config) else {
        return Vec::new();
    };
    if let Some(workspaces) = document.get_mut(WORKSPACES) {
        *workspaces = redacted_list(workspaces);
    }
    // A map of values that were read can be written.
    serde_json::to_vec(&document).unwrap_or_default()
}

/// What is no list becomes one with a workspace that cannot be read: without any list, requests would need
/// no key.
fn redacted_list(workspaces: &Value) -> Value {
    let Value::Array(workspaces) = workspaces else {
        return Value::Array(vec![Value::Null]);
    };
    Value::Array(workspaces.iter().map(redacted_workspace).collect())
}

/// Only what is known of a workspace, and of the expected type: a key in the wrong place stays out.
fn redacted_workspace(workspace: &Value) -> Value {
    let Value::Object(workspace) = workspace else {
        return Value::Null;
    };
    let mut sealed = Map::new();
    if let Some(name) = workspace.get(NAME) {
        let text = name.as_str().map_or(Value::Null, Value::from);
        sealed.insert(NAME.to_owned(), text);
    }
    for field in NUMBER_FIELDS {
        if let Some(value) = workspace.get(field) {
            let number = if value.is_number() { value.clone() } else { Value::Null };
            sealed.insert(field.to_owned(), number);
        }
    }
    let key_hashes = workspace.get(API_KEYS).map_or(Value::Null, hashes);
    sealed.insert(KEY_HASHES.to_owned(), key_hashes);
    Value::Object(sealed)
}

/// The hashes of a list of keys; null if it is none.
fn hashes(keys: &Value) -> Value {
    let Value::Array(keys) = keys else {
        return Value::Null;
    };
    let hash = |key: &Value| key.as_str().map(|key| KeyHash::of(key.as_bytes()).to_hex().into());
    keys.iter().map(hash).collect::<Option<Vec<Value>>>().map_or(Value::Null, Value::Array)
}
