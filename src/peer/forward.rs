//! A request that one instance passes to another, and its answer.

use bytes::Bytes;
use h2::RecvStream;
use serde::Deserialize;
use serde::Serialize;

use super::Message;
use crate::quarantine::Fingerprints;
use crate::route::Outcome;

/// Why a request is passed; each later stage is passed on less often, so that no request can
/// travel in circles between instances that disagree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Straight from its caller.
    Entry,
    /// To the owner of its idempotency key.
    Owner,
    /// To a home of its service.
    Home,
    /// From a home without a free slot to one that has one.
    Spill,
}

/// A passed request without its body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHead {
    pub service: String,
    /// Of the request as its caller sent it.
    pub fingerprints: Fingerprints,
    pub method: String,
    /// Path and query.
    pub target: String,
    pub headers: Vec<(String, Vec<u8>)>,
    pub key: Option<String>,
    /// What the sender holds it to be; the receiver treats it so only if it agrees.
    pub idempotent: bool,
    pub stage: Stage,
    /// Time until the deadline; a length, as clocks differ.
    pub remaining_us: u64,
}

/// The first part of the answer to a passed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardReplyHead {
    pub outcome: Outcome,
    pub code: u16,
    pub retry_after_ms: u64,
    pub status: u16,
    pub headers: Vec<(String, Vec<u8>)>,
    /// Length of the body where it is known beforehand.
    pub body_bytes: Option<u64>,
    /// Slots that the answering home has free.
    pub free_slots: u32,
}

/// The answer to a passed request; the body ends with an error when it was cut short.
#[derive(Debug)]
pub struct ForwardReply {
    pub head: ForwardReplyHead,
    /// Body bytes that came with the head.
    pub first: Bytes,
    pub rest: RecvStream,
}

impl Message for ForwardHead {}

impl Message for ForwardReplyHead {}
