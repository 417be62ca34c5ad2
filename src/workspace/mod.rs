//! Who a caller belongs to: workspaces, and the keys by which their requests are told.
//!
//! A key is held, compared and handed on as a [`KeyHash`] only, so that no line, message or page can
//! show one.

mod key_hash;
mod sealed;
mod workspace;
mod workspace_table;

pub use key_hash::KeyHash;
pub use sealed::redact_keys;
pub use workspace::Workspace;
pub use workspace_table::KeyAccess;
pub use workspace_table::WorkspaceTable;
