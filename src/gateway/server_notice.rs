//! What a backend server reports about itself in the headers of a response.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;

use super::Dialect;
use crate::limit::InvalidRateLimit;
use crate::limit::InvalidRetryAfter;
use crate::limit::RateLimit;
use crate::limit::parse_retry_after;
use crate::model::LoadReport;

/// Header value of a server that drains.
const DRAINING_VALUE: &str = "1";

/// The reports in one response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerNotice {
    pub load: Option<LoadReport>,
    /// `None` if the server sets no limit.
    pub rate_limit: Result<Option<RateLimit>, InvalidRateLimit>,
    /// Whether the server says that it drains.
    pub draining: bool,
    /// How long a server that refused the request asks this instance for no further ones; `None` if
    /// it sent no such time.
    pub retry_after: Result<Option<Duration>, InvalidRetryAfter>,
}

impl ServerNotice {
    /// Reads the reports from the headers of a response.
    #[must_use]
    pub fn read<D: Dialect>(dialect: &D, status: StatusCode, headers: &HeaderMap) -> Self {
        let names = dialect.header_names();
        let load = header_text(headers, &names.load).and_then(|text| dialect.parse_load(text));
        let load = load.filter(LoadReport::is_plausible);
        let rate_limit = headers.get(&names.rate_limit).map(|value| {
            let text = value.to_str().map_err(|_| InvalidRateLimit)?;
            text.parse()
        });
        let refused = status == StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = if refused { retry_after(headers) } else { Ok(None) };
        let draining =
            header_text(headers, &names.draining).is_some_and(|text| text.trim() == DRAINING_VALUE);
        Self { load, rate_limit: rate_limit.transpose(), draining, retry_after }
    }
}

/// The time of the `Retry-After` header.
fn retry_after(headers: &HeaderMap) -> Result<Option<Duration>, InvalidRetryAfter> {
    let Some(value) = headers.get(http::header::RETRY_AFTER) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| InvalidRetryAfter)?;
    parse_retry_after(text).map(Some)
}

/// The value of a header, if it is present and valid text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
