//! Workspaces, and the API keys that identify the workspace of a request.
//!
//! A key is stored, compared and passed on only as a [`KeyHash`], so that no log line, message or
//! status page can reveal one.

mod key_hash;
mod key_redaction;
mod workspace;
mod workspace_table;

pub use key_hash::KeyHash;
pub use key_redaction::redact_keys;
pub use workspace::Workspace;
pub use workspace_table::KeyAccess;
pub use workspace_table::WorkspaceTable;
