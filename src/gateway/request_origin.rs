//! Where a request came from.

/// Whether a request came directly from its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    Caller,
    /// From another instance, which has no path to the servers. It is never forwarded again.
    Peer {
        /// Servers that the other instance sent the request to.
        sends: u32,
        /// Whether the other instance has counted the request towards the retry budget.
        counted: bool,
    },
}

impl RequestOrigin {
    /// Whether the request may be forwarded to another instance.
    #[must_use]
    pub const fn may_forward(self) -> bool {
        matches!(self, Self::Caller)
    }

    /// Servers that the request was sent to before it arrived here.
    #[must_use]
    pub const fn earlier_sends(self) -> u32 {
        match self {
            Self::Caller => 0,
            Self::Peer { sends, .. } => sends,
        }
    }

    /// Whether the request was counted towards the retry budget before it arrived here.
    #[must_use]
    pub const fn is_counted(self) -> bool {
        matches!(self, Self::Peer { counted: true, .. })
    }
}
