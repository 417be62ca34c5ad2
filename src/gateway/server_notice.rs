//! What a backend server says of itself in an answer.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;

use super::Dialect;
use crate::limit::InvalidRateLimit;
use crate::limit::RateLimit;
use crate::model::LoadReport;

/// The word of a server that leaves.
const DRAINING_VALUE: &str = "1";

/// The words of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerNotice {
    pub load: Option<LoadReport>,
    /// `None` where the server names no limit.
    pub rate_limit: Result<Option<RateLimit>, InvalidRateLimit>,
    /// Whether it says that it leaves.
    pub draining: bool,
    /// For how long the server, which turned the request away, wants none of this instance; `None` where
    /// it does not ask for rest.
    pub retry_after: Result<Option<Duration>, InvalidRetryAfter>,
}

/// A time of rest that is no number of seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRetryAfter;

impl ServerNotice {
    /// Reads the fields of an answer.
    #[must_use]
    pub fn read<D: Dialect>(dialect: &D, status: StatusCode, headers: &HeaderMap) -> Self {
        let fields = dialect.header_names();
        let load = text(headers, &fields.load).and_then(|text| dialect.parse_load(text));
        let limit = headers.get(&fields.rate_limit).map(|value| {
            let header_text = value.to_str().map_err(|_| InvalidRateLimit)?;
            header_text.parse()
        });
        let turned_away = status == StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = if turned_away { rest(headers) } else { Ok(None) };
        let draining =
            text(headers, &fields.draining).is_some_and(|text| text.trim() == DRAINING_VALUE);
        Self { load, rate_limit: limit.transpose(), draining, retry_after }
    }
}

/// The time in seconds that an answer asks for, with fractions.
fn rest(headers: &HeaderMap) -> Result<Option<Duration>, InvalidRetryAfter> {
    let Some(value) = headers.get(http::header::RETRY_AFTER) else {
        return Ok(None);
    };
    let seconds = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    let rest = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    rest.map(Some).ok_or(InvalidRetryAfter)
}

/// A field's text, if it is there and readable.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
