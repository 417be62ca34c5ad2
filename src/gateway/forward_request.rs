//! A caller's request, read whole, on its way to a backend server.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;

use super::Caller;
use super::HeaderNames;
use super::QuotaToken;
use super::Route;
use super::Server;
use crate::balance::RequestSpec;
use crate::balance::RetryNeed;
use crate::clock::now_us;
use crate::quarantine::FailedSend;
use crate::quarantine::Fingerprints;
use crate::route::is_hop_by_hop;

/// Everything that every send of the request needs.
#[derive(Debug)]
pub struct ForwardRequest {
    pub id: Option<HeaderValue>,
    /// The same each time that its caller sends it, whatever the id.
    pub fingerprints: Fingerprints,
    pub method: Method,
    /// Path and query, byte for byte.
    pub path_and_query: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub route: Arc<Route>,
    /// Whose request it is; `None` where no key is needed.
    pub caller: Option<Caller>,
    /// Its token of the workspace's quota.
    pub quota: QuotaToken,
    pub service: Arc<str>,
    /// Where the servers of the service answer health checks.
    pub health_path: Option<String>,
    pub arrived_us: u64,
    /// Time that its caller spent on it before.
    pub spent_us: u64,
    /// When the caller's own deadline or the route's timeout ends it, whichever is first.
    pub deadline_us: u64,
}

impl ForwardRequest {
    /// 0 is served first; the workspace's goes before the route's.
    #[must_use]
    pub fn priority(&self) -> u32 {
        let of_workspace = self.caller.as_ref().and_then(|caller| caller.workspace.priority);
        of_workspace.unwrap_or(self.route.priority)
    }

    /// Milliseconds until the deadline.
    #[must_use]
    pub fn remaining_ms(&self) -> u64 {
        self.deadline_us.saturating_sub(now_us()) / 1000
    }

    /// Who repeats it if this instance does not. Callers come back once with what was refused, or
    /// with what is idempotent; the time spent before tells that this one did.
    #[must_use]
    pub const fn retry_need(&self) -> RetryNeed {
        if self.spent_us == 0 { RetryNeed::CallerCanRetry } else { RetryNeed::LastChance }
    }

    /// The id as text, for logs.
    #[must_use]
    pub fn id_text(&self) -> &str {
        self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// A send of it to `server` that brought no whole answer.
    #[must_use]
    pub fn failed_send(&self, server: &Server) -> FailedSend {
        FailedSend {
            id: self.id_text().to_owned(),
            service: server.row.service.to_string(),
            server: server.row.id.to_string(),
            server_hash: server.key,
            address: server.conns.address(),
        }
    }

    /// What it needs of a backend server other than those in `tried`.
    #[must_use]
    pub fn spec(&self, tried: &[Arc<str>]) -> RequestSpec {
        #[expect(clippy::cast_precision_loss, reason = "an aim of some seconds")]
        let aim_ms = self.route.aim_ms as f64;
        RequestSpec {
            route: self.route.name.as_str().into(),
            workspace: self.caller.as_ref().map(|caller| Arc::clone(&caller.workspace.name)),
            priority: self.priority(),
            target_ms: aim_ms,
            arrived_us: self.arrived_us,
            spent_before_us: self.spent_us,
            deadline_us: self.deadline_us,
            tried_servers: tried.iter().cloned().collect(),
        }
    }

    /// The head as it is sent to the backend server `server_id`, with the time that is left now.
    #[must_use]
    pub fn encode_head(&self, fields: &HeaderNames, server_id: &str) -> BytesMut {
        let mut head = BytesMut::with_capacity(512);
        let mut line = |parts: &[&[u8]]| {
            for part in parts {
                head.extend_from_slice(part);
            }
            head.extend_from_slice(b"\r\n");
        };
        line(&[
            self.method.as_str().as_bytes(),
            b" ",
            self.path_and_query.as_bytes(),
            b" HTTP/1.1",
        ]);
        let named = connection_options(&self.headers);
        for (name, value) in &self.headers {
            if !is_set_by_gateway(fields, name)
                && !named.iter().any(|other| name.as_str().eq_ignore_ascii_case(other))
            {
                line(&[name.as_str().as_bytes(), b": ", value.as_bytes()]);
            }
        }
        let left = self.remaining_ms().to_string();
        line(&[fields.timeout_ms.as_str().as_bytes(), b": ", left.as_bytes()]);
        if let Some(caller) = &self.caller {
            let name = caller.workspace.name.as_bytes();
            line(&[fields.workspace.as_str().as_bytes(), b": ", name]);
        }
        line(&[fields.expected_server.as_str().as_bytes(), b": ", server_id.as_bytes()]);
        let bodyless = self.method == Method::GET || self.method == Method::HEAD;
        if !self.body.is_empty() || !bodyless {
            let length = self.body.len().to_string();
            line(&[b"content-length: ", length.as_bytes()]);
        }
        line(&[]);
        head
    }
}

/// Fields that this instance sets, and those that concern only the caller's connection.
fn is_set_by_gateway(fields: &HeaderNames, name: &HeaderName) -> bool {
    *name == fields.timeout_ms
        || *name == fields.expected_server
        || *name == fields.api_key
        || *name == fields.workspace
        || *name == http::header::CONTENT_LENGTH
        || *name == http::header::EXPECT
        || is_hop_by_hop(name)
}

/// Names that the `connection` field declares to be for one connection only.
fn connection_options(headers: &HeaderMap) -> Vec<&str> {
    let values = headers.get_all(http::header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts.flat_map(|text| text.split(',')).map(str::trim).collect()
}
