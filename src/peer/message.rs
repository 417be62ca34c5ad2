//! Control messages between instances.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Message;
use super::Packed;
use crate::member::MemberRequest;
use crate::member::MemberRow;
use crate::member::WitnessReply;
use crate::member::WitnessRequest;
use crate::model::VersionedService;
use crate::outcome::OwnerSnapshot;
use crate::quarantine::SuspectRecord;
use crate::store::Item;
use crate::store::ItemEvent;
use crate::store::Revision;

/// Load of one home of a service, sent to its other homes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNote {
    /// Name of the service.
    pub service: String,
    /// Incarnation of the sender.
    pub from: u64,
    /// Free slots at the sender.
    pub free_slots: u32,
    /// Requests queued at the sender.
    pub queued: u32,
}

/// A home's request for its share of the probe budgets of some services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    pub from: u64,
    pub services: Vec<String>,
}

/// The sender's in-flight requests at one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoadRow {
    /// Hash of the server's id and start time. Among some thousand servers, a collision occurs less
    /// than once in a million, and only makes two servers look more loaded than they are.
    pub server_hash: u32,
    pub in_flight: u16,
    /// Current service time relative to the usual one, in percent; 0 if the sender does not know
    /// it.
    pub slowdown_percent: u16,
}

/// Changes of one instance's loads since its last message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoads {
    pub from: u64,
    pub rows: Vec<ServerLoadRow>,
}

/// A part of the platform's store that instances replicate to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Feed {
    /// The configuration.
    Config,
    /// All backend servers.
    Servers,
    /// Some backend servers of each service, for an instance that is not a home and rarely gets a
    /// request.
    SomeServers {
        /// Hash of the availability zone's name, see [`zone_hash`].
        zone: u64,
    },
}

/// The hash by which instances refer to an availability zone.
#[must_use]
pub fn zone_hash(zone: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(zone.as_bytes())
}

/// The data of a response to a feed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedReply {
    /// All events after the requested revision, up to `revision`.
    Events { events: Packed<Vec<ItemEvent>>, revision: Revision },
    /// A snapshot of all items at `revision`.
    Snapshot { items: Packed<Vec<Item>>, revision: Revision },
    /// The responder does not have that part.
    Unknown,
}

/// Response to a feed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedResponse {
    pub reply: FeedReply,
    /// Time since the responder last confirmed that its copy is complete.
    pub age_ms: u64,
    /// Time at which the responder's copy was last proved to be the store's newest, relative to the
    /// arrival of the request; negative if before it. `None` without a proof.
    pub proof_after_ms: Option<i64>,
    /// Requests per second that the homes of each zone must be able to carry, as far as the
    /// responder knows the servers; 0 if it knows none.
    pub zone_demand_per_s: u32,
}

/// A request from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A request of the membership protocol.
    Member(MemberRequest),
    /// Asks for an indirect ping of an instance that the sender could not reach.
    IndirectPing { target: SocketAddr },
    /// Asks for the configuration summary unless the receiver's configuration has this digest.
    Digest { digest: u64 },
    /// Configuration changes; merging them is idempotent.
    Changes(Vec<(String, VersionedService)>),
    /// Asks for the configuration of these services.
    Fetch(Vec<String>),
    /// Load of the sender as a home of a service; the reply carries the receiver's free slots.
    Load(LoadNote),
    /// The sender has seen a backend server begin to drain (`true`) or return (`false`).
    ServerLeaving { service: String, server: String, leaving: bool },
    /// All backend servers that the platform lists as draining.
    ServersLeaving(Vec<SocketAddr>),
    /// Asks for probe budget.
    Grant(GrantRequest),
    /// The sender's in-flight requests at backend servers.
    ServerLoads(ServerLoads),
    /// Long poll for changes after a revision; the receiver holds it for up to `hold_ms` while
    /// there are none.
    Feed { feed: Feed, after: Option<Revision>, hold_ms: u64 },
    /// Records of requests suspected of crashing servers. The receiver answers with those of them
    /// that it holds in another state and, if `complete` says that these are all the sender has,
    /// with any others too.
    Suspects { records: Vec<SuspectRecord>, complete: bool },
    /// Asks for tokens of a workspace's quota, in millitokens.
    QuotaTokens { workspace: String, wanted_millitokens: u32 },
    /// Asks whether the receiver reaches backend servers of these services.
    ReachesServers { services: Vec<String> },
    /// Asks the receiver to remember a claim or a lease of the sender.
    Witness(WitnessRequest),
    /// Recorded outcomes of an instance that stops; the receiver becomes the owner of its
    /// idempotency keys.
    HandOver {
        part: OwnerSnapshot,
        /// Whether this is the last part.
        last: bool,
    },
    /// Asks for some of the receiver's retry budget for a service.
    RetryLoan { service: String, wanted: u32 },
}

/// A reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Accepted, with nothing to return.
    Done,
    /// Rows of the responder's member table.
    Members(Vec<MemberRow>),
    /// Answer to a direct ping.
    Ack {
        /// The responder's hybrid logical clock.
        stamp: u64,
        /// Hash of the responder's members digest.
        digest_hash: u64,
        /// Digest of the responder's records of suspect requests.
        suspects_digest: u64,
        /// Rows that the responder gossips.
        gossip: Vec<MemberRow>,
    },
    /// The buckets in which the two members digests differ, and the fingerprints of the responder's
    /// rows in them.
    Differing {
        buckets: Vec<usize>,
        fingerprints: Vec<u32>,
    },
    /// Whether an indirect ping was answered.
    Reached(bool),
    Suspects(Vec<SuspectRecord>),
    /// Revision of each service, sent if the digests differ.
    Summary(Vec<(String, u64)>),
    Changes(Vec<(String, VersionedService)>),
    /// Probes per second granted for each requested service, valid for `grant_ms` from the request.
    Granted(Vec<u32>),
    /// Free slots at the responder.
    FreeSlots(u32),
    /// Response to a feed request.
    Feed(FeedResponse),
    Witness(WitnessReply),
    /// For each service, whether the responder reaches its backend servers.
    ReachesServers(Vec<bool>),
    /// Tokens that the responder gives away, in millitokens.
    QuotaTokens(u32),
    /// The request was not served; contains a result code.
    Failed(u16),
    /// Retries that the responder lends.
    RetryLoan(u32),
}

impl FeedReply {
    /// Number of its bytes that are already compressed.
    fn packed_bytes(&self) -> usize {
        match self {
            Self::Events { events, .. } => events.bytes().len(),
            Self::Snapshot { items, .. } => items.bytes().len(),
            Self::Unknown => 0,
        }
    }
}

impl Message for PeerRequest {}

impl Message for PeerReply {
    fn packed_bytes(&self) -> usize {
        match self {
            Self::Feed(response) => response.reply.packed_bytes(),
            _ => 0,
        }
    }
}
