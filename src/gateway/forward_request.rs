//! A complete request of a caller, to be forwarded to a backend server.

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
use super::RequestOrigin;
use super::Route;
use super::Server;
use crate::balance::RequestSpec;
use crate::clock::now_us;
use crate::quarantine::FailedSend;
use crate::quarantine::Fingerprints;
use crate::retry::EarlierAttempt;
use crate::retry::RetryClass;
use crate::route::is_hop_by_hop;

/// A request with everything that each attempt to send it needs.
#[derive(Debug)]
pub struct ForwardRequest {
    pub id: Option<HeaderValue>,
    pub origin: RequestOrigin,
    /// Identify repetitions of the same request, whatever its id.
    pub fingerprints: Fingerprints,
    pub method: Method,
    /// Path and query, byte for byte as received.
    pub path_and_query: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub route: Arc<Route>,
    /// The caller; `None` if no key is required.
    pub caller: Option<Caller>,
    /// Token of the workspace's quota that the request consumes.
    pub quota: QuotaToken,
    pub service: Arc<str>,
    /// Path of the service's health check.
    pub health_path: Option<String>,
    pub arrived_us: u64,
    /// The attempt of the same caller that was refused before; `None` for a first attempt.
    pub earlier: Option<EarlierAttempt>,
    /// Estimated time that the caller spent on earlier attempts, in microseconds.
    pub spent_before_us: u64,
    /// The caller's deadline or the end of the route's timeout, whichever comes first.
    pub deadline_us: u64,
}

impl ForwardRequest {
    /// Queue priority, where 0 is served first. The workspace's takes precedence over the route's.
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

    /// Milliseconds since the caller's first attempt, as far as it is known.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "milliseconds until a deadline")]
    pub fn spent_ms(&self) -> f64 {
        let elapsed_us = now_us().saturating_sub(self.arrived_us);
        (elapsed_us + self.spent_before_us) as f64 / 1000.0
    }

    /// The class of a retry of this request, by whether its caller can still retry itself. Callers
    /// retry once, after a refusal or if the request is idempotent; a remembered refusal, or time
    /// spent on earlier attempts, shows that this is that retry.
    #[must_use]
    pub const fn retry_class(&self) -> RetryClass {
        if self.spent_before_us == 0 && self.earlier.is_none() {
            RetryClass::CallerCanRetry
        } else {
            RetryClass::LastAttempt
        }
    }

    /// The request id as text, for logs.
    #[must_use]
    pub fn id_text(&self) -> &str {
        self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Describes an attempt that `server` did not answer completely.
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

    /// The request's requirements for a backend server other than those in `tried`.
    #[must_use]
    pub fn spec(&self, tried: &[Arc<str>]) -> RequestSpec {
        #[expect(clippy::cast_precision_loss, reason = "a latency target of a few seconds")]
        let target_ms = self.route.aim_ms as f64;
        RequestSpec {
            route: self.route.name.as_str().into(),
            workspace: self.caller.as_ref().map(|caller| Arc::clone(&caller.workspace.name)),
            priority: self.priority(),
            target_ms,
            arrived_us: self.arrived_us,
            spent_before_us: self.spent_before_us,
            deadline_us: self.deadline_us,
            tried_servers: tried.iter().cloned().collect(),
        }
    }

    /// Encodes the request head for the backend server `server_id`, with the time that now remains.
    #[must_use]
    pub fn encode_head(&self, names: &HeaderNames, server_id: &str) -> BytesMut {
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
        let connection_only = connection_options(&self.headers);
        for (name, value) in &self.headers {
            if !is_set_by_gateway(names, name)
                && !connection_only.iter().any(|other| name.as_str().eq_ignore_ascii_case(other))
            {
                line(&[name.as_str().as_bytes(), b": ", value.as_bytes()]);
            }
        }
        let remaining_ms = self.remaining_ms().to_string();
        line(&[names.timeout_ms.as_str().as_bytes(), b": ", remaining_ms.as_bytes()]);
        if let Some(caller) = &self.caller {
            let name = caller.workspace.name.as_bytes();
            line(&[names.workspace.as_str().as_bytes(), b": ", name]);
        }
        line(&[names.expected_server.as_str().as_bytes(), b": ", server_id.as_bytes()]);
        let bodyless = self.method == Method::GET || self.method == Method::HEAD;
        if !self.body.is_empty() || !bodyless {
            let length = self.body.len().to_string();
            line(&[b"content-length: ", length.as_bytes()]);
        }
        line(&[]);
        head
    }
}

/// Whether a header is set by this instance, or concerns only the caller's connection.
fn is_set_by_gateway(names: &HeaderNames, name: &HeaderName) -> bool {
    *name == names.timeout_ms
        || *name == names.expected_server
        || *name == names.api_key
        || *name == names.workspace
        || *name == http::header::CONTENT_LENGTH
        || *name == http::header::EXPECT
        || is_hop_by_hop(name)
}

/// Header names that the `connection` header limits to this connection.
fn connection_options(headers: &HeaderMap) -> Vec<&str> {
    let values = headers.get_all(http::header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts.flat_map(|text| text.split(',')).map(str::trim).collect()
}
