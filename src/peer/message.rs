//! The messages of the control plane between instances.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::member::MemberRow;
use crate::model::Versioned;
use crate::outcome::OwnerSnapshot;

/// Slots that a home of a service has free, told to its other homes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNote {
    pub service: String,
    pub from: u64,
    pub free: u32,
    pub waiting: u32,
}

/// A home asks another instance for its share of measuring budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    pub from: u64,
    pub services: Vec<String>,
}

/// What one instance asks another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A newcomer asks for all members.
    Join(MemberRow),
    Ping {
        from: MemberRow,
        stamp: u64,
        rumours: Vec<MemberRow>,
    },
    /// Asks for a ping of another instance, which the sender could not reach.
    PingFor {
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
    Leaving {
        service: String,
        server: String,
        leaving: bool,
    },
    /// Backend servers that the platform lists as leaving, all of them.
    Listed(Vec<SocketAddr>),
    Grant(GrantRequest),
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
        rumours: Vec<MemberRow>,
    },
    Reached(bool),
    /// Revision of each service, as far as the digests differ.
    Summary(Vec<(String, u64)>),
    Changes(Vec<(String, Versioned)>),
    /// Probes a second granted for each service asked, for the asker's `grant_ms` from asking.
    Granted(Vec<u32>),
    /// Slots that the answering home has free.
    Free(u32),
    /// The request was not served; a result code.
    Failed(u16),
}
