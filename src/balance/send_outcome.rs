//! Ends of sends.

/// How a send ended, as far as the server is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// A whole answer that is no failure.
    Answered,
    /// A whole answer that tells of a failure.
    Failed,
    /// The server said that it did not run the request.
    Refused,
    /// The connection was refused or could not be opened in time.
    Unreachable,
    /// The connection broke, or brought bytes that are no answer.
    Broken,
    /// No answer in the time that the request had.
    TimedOut,
    /// The caller left or another send was faster.
    Cancelled,
    /// The server turned out to be no place for the request before it was sent.
    Unsent,
}
