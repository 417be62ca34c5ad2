//! The result of a call, and the response to an address query.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;

/// One instance of the response to an address query.
#[derive(Clone, Debug, Deserialize)]
pub struct InstanceAddress {
    pub address: SocketAddr,
    pub zone: String,
    pub key_prefix: String,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct AddressResponse {
    pub keep_ms: u64,
    pub addresses: Vec<InstanceAddress>,
}

/// Result of a call, as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// A complete response.
    Answered {
        status: u16,
        /// `ran`, `not-run` or `unknown`.
        outcome: String,
        code: u16,
        retry_after_ms: u64,
        body: Bytes,
    },
    /// No connection: nothing was sent.
    NotSent,
    /// The connection was closed before the response was complete.
    Broken,
}

impl CallResult {
    /// The outcome in sorrelwick's header; empty if there is none.
    #[must_use]
    pub fn outcome(&self) -> &str {
        match self {
            Self::Answered { outcome, .. } => outcome,
            Self::NotSent | Self::Broken => "",
        }
    }

    /// The result code; 0 if there is none.
    #[must_use]
    pub const fn code(&self) -> u16 {
        match self {
            Self::Answered { code, .. } => *code,
            Self::NotSent | Self::Broken => 0,
        }
    }

    /// The body of a complete response; empty if there is none.
    #[must_use]
    pub fn body(&self) -> &[u8] {
        match self {
            Self::Answered { body, .. } => body,
            Self::NotSent | Self::Broken => &[],
        }
    }
}
