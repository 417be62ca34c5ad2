//! The messages of the control plane between instances.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Message;
use super::Packed;
use crate::member::MemberRequest;
use crate::member::MemberRow;
use crate::model::Versioned;
use crate::outcome::OwnerSnapshot;
use crate::quarantine::SuspectRecord;
use crate::store::Item;
use crate::store::ItemEvent;

/// Slots that a home of a service has free, told to its other homes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNote {
    pub service: String,
    pub from: u64,
    pub free_slots: u32,
    pub queued: u32,
}

/// A home asks another instance for its share of measuring budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    pub from: u64,
    pub services: Vec<String>,
}

/// Requests that the sender has at one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoadRow {
    /// Hash of the server's id and start; two of some thousand servers share one less than once in
    /// a million, and then only look fuller than they are.
    pub server_hash: u32,
    pub in_flight: u16,
    /// How long work takes there now, 100 as usual; 0 where the sender does not know it.
    pub slowdown_percent: u16,
}

/// What changed in the loads of one instance since it was last heard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoads {
    pub from: u64,
    pub rows: Vec<ServerLoadRow>,
}

/// A part of the platform's store that instances pass on to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Feed {
    Config,
    Servers,
    /// Some backend servers of each service, for an instance that is no home and seldom gets a request.
    SomeServers {
        /// Of the availability zone's name, see [`zone_hash`].
        zone: u64,
    },
}

/// The hash by which instances name an availability zone to each other.
#[must_use]
pub fn zone_hash(zone: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(zone.as_bytes())
}

/// What an instance that knows a part of the store tells one that asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedReply {
    /// All events after the revision asked for, up to `revision`.
    Events { events: Packed<Vec<ItemEvent>>, revision: u64 },
    /// All items, complete up to `revision`.
    All { items: Packed<Vec<Item>>, revision: u64 },
    /// It does not know that part itself.
    Unknown,
}

/// The answer to a question for a part of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedResponse {
    pub reply: FeedReply,
    /// How long ago the answering instance was last certain that nothing is missing.
    pub age_ms: u64,
    /// When that is proved to have been the store's newest, from when the question came; negative where that
    /// was before. `None` without a proof.
    pub proof_after_ms: Option<i64>,
    /// What the homes of each zone must carry, as the answering instance knows from the servers; 0 where it
    /// knows none.
    pub zone_demand_per_s: u32,
}

/// What one instance asks another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    Member(MemberRequest),
    /// Asks for a ping of another instance, which the sender could not reach.
    IndirectPing {
        target: SocketAddr,
    },
    /// Asks for the summary of the configuration unless it has this digest.
    Digest {
        digest: u64,
    },
    /// Changes of configuration; merging them twice does no harm.
    Changes(Vec<(String, Versioned)>),
    /// Asks for these services of the configuration.
    Fetch(Vec<String>),
    Load(LoadNote),
    /// A backend server that was seen leaving (`true`) or seen back (`false`).
    ServerLeaving {
        service: String,
        server: String,
        leaving: bool,
    },
    /// Backend servers that the platform lists as leaving, all of them.
    ServersLeaving(Vec<SocketAddr>),
    Grant(GrantRequest),
    ServerLoads(ServerLoads),
    /// Asks for what changed after a revision; held for up to `hold_ms` while nothing did.
    Feed {
        feed: Feed,
        after: Option<u64>,
        hold_ms: u64,
    },
    /// Requests under which servers ended; the other answers with those of them that it knows
    /// otherwise, and where these are `all` that the sender knows, with any others too.
    Suspects {
        records: Vec<SuspectRecord>,
        complete: bool,
    },
    /// Asks for tokens of a workspace's quota, in thousandths.
    QuotaTokens {
        workspace: String,
        wanted_millitokens: u32,
    },
    /// Outcomes of an instance that stops; the receiver answers for its keys from now on.
    HandOver {
        part: OwnerSnapshot,
        last: bool,
    },
}

/// What the other answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    Done,
    Members(Vec<MemberRow>),
    Ack {
        stamp: u64,
        /// Of what the answering instance believes of all members.
        digest_hash: u64,
        /// Of the requests under which servers ended.
        suspects_digest: u64,
        gossip: Vec<MemberRow>,
    },
    /// The parts of the members in which the digests differ, and the fingerprints of what the
    /// answering instance believes there.
    Differing {
        buckets: Vec<usize>,
        fingerprints: Vec<u32>,
    },
    Reached(bool),
    Suspects(Vec<SuspectRecord>),
    /// Revision of each service, as far as the digests differ.
    Summary(Vec<(String, u64)>),
    Changes(Vec<(String, Versioned)>),
    /// Probes a second granted for each service asked, for the asker's `grant_ms` from asking.
    Granted(Vec<u32>),
    /// Slots that the answering home has free.
    FreeSlots(u32),
    Feed(FeedResponse),
    /// Tokens that the answering instance has given away, in thousandths.
    QuotaTokens(u32),
    /// The request was not served; a result code.
    Failed(u16),
}

impl FeedReply {
    /// Bytes of it that are compressed already.
    fn packed_bytes(&self) -> usize {
        match self {
            Self::Events { events, .. } => events.bytes().len(),
            Self::All { items, .. } => items.bytes().len(),
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
