//! Header fields that callers and backend servers meet, and which of them travel on.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

/// Where callers ask which addresses to use.
pub const ADDRESSES_PATH: &str = "/.sorrelwick/v1/addresses";
/// Names the service; without it the host does.
pub const SERVICE: &str = "sorrelwick-service";
/// Names one attempt of a caller, in logs.
pub const REQUEST_ID: &str = "x-request-id";
/// Time that the caller still allows, in milliseconds.
pub const TIMEOUT_MS: &str = "sorrelwick-timeout-ms";
pub const OUTCOME: &str = "sorrelwick-outcome";
pub const CODE: &str = "sorrelwick-code";
pub const INSTANCE: &str = "sorrelwick-instance";
/// When to come back, finer than `retry-after`.
pub const RETRY_AFTER_MS: &str = "sorrelwick-retry-after-ms";
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Set to `draining` by a backend server that leaves.
pub const BACKEND_STATE: &str = "x-backend-state";
/// Requests that a backend server has in flight from everywhere.
pub const BACKEND_LOAD: &str = "x-backend-load";
pub const DRAINING: &str = "draining";

const OWN_PREFIX: &str = "sorrelwick-";
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a field concerns one connection only.
#[must_use]
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(&name.as_str())
}

/// Whether a field is for the next end only, or one of ours that nobody else may set.
fn is_not_forwarded(name: &HeaderName) -> bool {
    is_hop_by_hop(name) || name.as_str().starts_with(OWN_PREFIX)
}

/// The fields that travel on, as pairs for messages between instances.
#[must_use]
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let named: Vec<String> = connection_options(headers);
    let travel = headers.iter().filter(|(name, _)| {
        !is_not_forwarded(name) && !named.iter().any(|other| other == name.as_str())
    });
    travel.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec())).collect()
}

/// Fields that the `connection` field declares to be for the next end only.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all("connection").iter().filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// Pairs as a header map; pairs that are no header are left out.
#[must_use]
pub fn header_map(pairs: &[(String, Vec<u8>)]) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    headers
}

/// A field's text, if it is there and readable.
#[must_use]
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
