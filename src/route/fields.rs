//! Header fields exchanged with callers and backend servers, and which of them are forwarded.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

/// The path at which callers fetch the addresses to use.
pub const ADDRESSES_PATH: &str = "/.sorrelwick/v1/addresses";
/// The name of the service; if absent, the host names it.
pub const SERVICE: &str = "sorrelwick-service";
/// The caller's id of one attempt, for logs.
pub const REQUEST_ID: &str = "x-request-id";
/// Time until the caller's deadline, in milliseconds.
pub const TIMEOUT_MS: &str = "sorrelwick-timeout-ms";
/// Whether the request ran: a [`super::Outcome`].
pub const OUTCOME: &str = "sorrelwick-outcome";
/// The number of the result code.
pub const CODE: &str = "sorrelwick-code";
/// The name of the instance that answered.
pub const INSTANCE: &str = "sorrelwick-instance";
/// When to retry, in milliseconds; `retry-after` has whole seconds only.
pub const RETRY_AFTER_MS: &str = "sorrelwick-retry-after-ms";
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Set to [`DRAINING`] by a backend server that is leaving.
pub const BACKEND_STATE: &str = "x-backend-state";
/// Requests that a backend server has in flight, from all senders.
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

/// Whether a field applies to a single connection only.
#[must_use]
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(&name.as_str())
}

/// Whether a field is not forwarded: a hop-by-hop one, or one that only this process may set.
fn is_not_forwarded(name: &HeaderName) -> bool {
    is_hop_by_hop(name) || name.as_str().starts_with(OWN_PREFIX)
}

/// The fields that are forwarded, as pairs for messages between instances.
#[must_use]
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let options: Vec<String> = connection_options(headers);
    let forwarded = headers.iter().filter(|(name, _)| {
        !is_not_forwarded(name) && !options.iter().any(|other| other == name.as_str())
    });
    forwarded.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec())).collect()
}

/// The hop-by-hop fields that the `connection` field lists.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all("connection").iter().filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// Converts pairs to a header map, without those that are not valid header fields.
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

/// The text of a field, if it is present and visible ASCII.
#[must_use]
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
