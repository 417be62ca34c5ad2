//! A request that one instance forwards to another, and the response.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Message;
use super::PeerBody;
use crate::quarantine::Fingerprints;
use crate::route::Outcome;

/// Why a request is forwarded. A request is only forwarded to a later stage, so it cannot loop
/// between instances that disagree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ForwardStage {
    /// Received directly from its caller.
    Entry,
    /// To the owner of its idempotency key.
    Owner,
    /// To a home of its service.
    Home,
    /// From a home without a free slot to a home that has one.
    Spill,
}

/// The head of a request that one instance forwards to another.
pub trait ForwardedHead {
    /// Time until the deadline when the request was sent.
    fn remaining(&self) -> Duration;
}

/// Head of a forwarded request; the body follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHead {
    pub service: String,
    /// Fingerprints of the request as its caller sent it.
    pub fingerprints: Fingerprints,
    pub method: String,
    /// Path and query.
    pub target: String,
    pub headers: Vec<(String, Vec<u8>)>,
    /// The idempotency key.
    pub key: Option<String>,
    /// Whether the sender considers the request idempotent; the receiver treats it so only if it
    /// agrees.
    pub idempotent: bool,
    pub stage: ForwardStage,
    /// Time until the deadline; a duration, since clocks differ between instances.
    pub remaining_us: u64,
}

/// Head of the response to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardReplyHead {
    pub outcome: Outcome,
    /// Result code.
    pub code: u16,
    pub retry_after_ms: u64,
    /// HTTP status.
    pub status: u16,
    pub headers: Vec<(String, Vec<u8>)>,
    /// Length of the body, if known in advance.
    pub body_bytes: Option<u64>,
    /// Free slots at the home that answered.
    pub free_slots: u32,
}

/// Response to a forwarded request; a truncated body ends with an error.
#[derive(Debug)]
pub struct ForwardReply {
    pub head: ForwardReplyHead,
    pub body: PeerBody,
}

impl Message for ForwardHead {}

impl ForwardedHead for ForwardHead {
    fn remaining(&self) -> Duration {
        Duration::from_micros(self.remaining_us)
    }
}

impl Message for ForwardReplyHead {}
