//! How backend servers are heard.

/// In what a server's word came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// The answer to a request.
    Response,
    /// The answer to a health check.
    HealthCheck,
}

impl ReportSource {
    /// The name written in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Response => "answer",
            Self::HealthCheck => "health-check",
        }
    }
}
