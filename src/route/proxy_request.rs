//! A request while an instance handles it.

use std::borrow::Cow;

use bytes::Bytes;

use super::Upstream;
use super::fields;
use crate::clock::now_us;
use crate::outcome::IdempotencyKey;
use crate::peer::ForwardHead;
use crate::peer::ForwardStage;
use crate::quarantine::FailedSend;
use crate::quarantine::Fingerprints;

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct ProxyRequest {
    pub service: String,
    /// Equal each time the caller sends the request, at any instance.
    pub fingerprints: Fingerprints,
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Only the fields that are forwarded.
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Bytes,
    pub key: Option<IdempotencyKey>,
    /// Whether every instance that has handled it so far considers it idempotent.
    pub idempotent: bool,
    pub stage: ForwardStage,
    /// On this process's monotonic clock, in microseconds.
    pub deadline_us: u64,
}

impl ProxyRequest {
    /// Time until the deadline, in microseconds.
    #[must_use]
    pub fn remaining_us(&self) -> u64 {
        self.deadline_us.saturating_sub(now_us())
    }

    /// The path without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// The caller's request id for logs, or `-` without one.
    #[must_use]
    pub fn id(&self) -> Cow<'_, str> {
        let id = self.headers.iter().find(|(name, _)| name == fields::REQUEST_ID);
        id.map_or(Cow::Borrowed("-"), |(_, value)| String::from_utf8_lossy(value))
    }

    /// Describes a send of this request to `upstream` that got no complete answer.
    #[must_use]
    pub fn failed_send(&self, upstream: &Upstream) -> FailedSend {
        FailedSend {
            id: self.id().into_owned(),
            service: self.service.clone(),
            server: upstream.id.clone(),
            server_hash: upstream.id_hash,
            address: upstream.address,
        }
    }

    /// The head of this request for forwarding to another instance.
    #[must_use]
    pub fn forward_head(&self, stage: ForwardStage) -> ForwardHead {
        ForwardHead {
            service: self.service.clone(),
            fingerprints: self.fingerprints,
            method: self.method.clone(),
            target: self.target.clone(),
            headers: self.headers.clone(),
            key: self.key.as_ref().map(|key| key.text.clone()),
            idempotent: self.idempotent,
            stage,
            remaining_us: self.remaining_us(),
        }
    }

    /// A request that another instance forwarded here.
    #[must_use]
    pub fn from_peer(head: ForwardHead, body: Bytes) -> Self {
        let key = head.key.as_deref().and_then(|text| IdempotencyKey::parse(text).ok());
        Self {
            service: head.service,
            fingerprints: head.fingerprints,
            method: head.method,
            target: head.target,
            headers: head.headers,
            body,
            key,
            idempotent: head.idempotent,
            stage: head.stage,
            deadline_us: now_us().saturating_add(head.remaining_us),
        }
    }
}
