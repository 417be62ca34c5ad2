//! How backend servers are heard.

/// In what a server's word came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The answer to a request.
    Answer,
    /// The answer to a health check.
    Check,
}

impl Heard {
    /// The name written in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Check => "health-check",
        }
    }
}
