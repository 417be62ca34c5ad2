//! An error with a result code and a detail text.

use super::Code;

/// An error as operators see it: a result code and the details needed to fix the cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CodedError {
    /// The result code.
    pub code: Code,
    /// What is wrong, and which values are allowed.
    pub detail: String,
}

impl CodedError {
    /// Creates an error from a code and its detail.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into() }
    }
}

impl std::fmt::Display for CodedError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.code, self.detail)
    }
}

impl std::error::Error for CodedError {}
