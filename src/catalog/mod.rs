//! The operators' configuration: merging, committing and replicating it.

mod committer;
mod merge;
mod spread;
mod watcher;

pub use committer::Committer;
pub use committer::Edit;
pub use committer::EditError;
pub use merge::Catalog;
pub use merge::ServiceRows;
pub use spread::merge_rows;
pub use spread::push_rows;
pub use spread::run_repair;
pub use watcher::SERVICES_PREFIX;
pub use watcher::decode_entry;
pub use watcher::is_watcher;
pub use watcher::run_watcher;
