//! Membership between instances: who is there, who is suspected, who left.

mod announce;
mod answers;
mod comparison;
mod digest;
mod joiner;
mod local_health;
mod news;
mod request;
mod ring;
mod row;
mod suspicion;
mod swim;
mod table;

pub use announce::announce;
pub use announce::announce_targets;
pub use answers::handle_indirect_ping;
pub use answers::handle_member_request;
pub use comparison::sync_members;
pub use digest::MembersDigest;
pub use joiner::run_joiner;
pub use local_health::LocalHealth;
pub use local_health::is_late;
pub use request::MemberRequest;
pub use row::MemberRow;
pub use row::MemberState;
pub use suspicion::SuspicionTimer;
pub use swim::run_failure_detector;
pub use table::MemberChange;
pub use table::MemberTable;
