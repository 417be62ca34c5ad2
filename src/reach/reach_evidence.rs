//! What one send or health check shows about the path to its server.

/// Evidence on the path from this instance to one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachEvidence {
    /// The server responded on an open connection.
    Responded,
    /// The server responded on a connection that was opened for this exchange.
    RespondedOnNewConnection,
    /// No connection could be opened.
    ConnectFailed,
    /// A health check was not answered in time, or an open connection broke.
    NoResponse,
}
