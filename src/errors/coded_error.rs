//! An error made of a code and what the reader needs to mend it.

use super::Code;

/// A numbered error with its detail, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CodedError {
    /// The numbered kind of error.
    pub code: Code,
    /// What was wrong, and what is allowed.
    pub detail: String,
}

impl CodedError {
    /// Joins a code with its detail.
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
