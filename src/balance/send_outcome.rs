//! Outcomes of sends to backend servers.

/// How a send ended, as far as it concerns the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// A complete response that is not a failure.
    Answered,
    /// A complete response with a failure status.
    Failed,
    /// The server reported that it did not run the request.
    Refused,
    /// The connection was refused or timed out while it was opened.
    Unreachable,
    /// The connection broke, or the response was malformed.
    Broken,
    /// No response before the request's deadline.
    TimedOut,
    /// The caller disconnected, or another send finished first.
    Cancelled,
    /// The server proved unsuitable before the request was sent.
    Unsent,
}
