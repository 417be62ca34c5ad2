//! The sources of backend servers' reports.

/// Which response of a backend server carried a report of its load or state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// The response to a caller's request.
    Response,
    /// The response to a health check.
    HealthCheck,
}

impl ReportSource {
    /// The name in log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Response => "answer",
            Self::HealthCheck => "health-check",
        }
    }
}
