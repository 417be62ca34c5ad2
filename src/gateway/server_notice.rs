//! What a backend server says of itself in an answer.

use http::HeaderMap;
use http::HeaderName;

use super::Dialect;
use crate::limit::LimitUnreadable;
use crate::limit::RateLimit;
use crate::model::LoadReport;

/// The words of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerNotice {
    pub load: Option<LoadReport>,
    /// `None` where the server names no limit.
    pub limit: Result<Option<RateLimit>, LimitUnreadable>,
}

impl ServerNotice {
    /// Reads the fields of an answer.
    #[must_use]
    pub fn read<D: Dialect>(dialect: &D, headers: &HeaderMap) -> Self {
        let fields = dialect.fields();
        let load = text(headers, &fields.load).and_then(|text| dialect.parse_load(text));
        let limit = headers.get(&fields.rate_limit).map(|value| {
            let text = value.to_str().map_err(|_| LimitUnreadable)?;
            text.parse()
        });
        Self { load, limit: limit.transpose() }
    }
}

/// A field's text, if it is there and readable.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
