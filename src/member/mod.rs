//! Fleet membership: failure detection, gossip and anti-entropy between instances.

mod announce;
mod anti_entropy;
mod digest;
mod failure_detector;
mod gossip_queue;
mod handlers;
mod joiner;
mod local_health;
mod pace;
mod request;
mod ring;
mod row;
mod suspicion_timer;
mod table;
mod witnesses;

pub use announce::announce;
pub use announce::announce_targets;
pub use anti_entropy::sync_members;
pub use digest::MembersDigest;
pub use failure_detector::run_failure_detector;
pub use handlers::handle_indirect_ping;
pub use handlers::handle_member_request;
pub use joiner::run_joiner;
pub use local_health::LocalHealth;
pub use local_health::is_late;
pub use pace::Pace;
pub use request::MemberRequest;
pub use row::MemberRow;
pub use row::MemberState;
pub use suspicion_timer::SuspicionTimer;
pub use table::MemberChange;
pub use table::MemberTable;
pub use witnesses::WitnessReply;
pub use witnesses::WitnessRequest;
pub use witnesses::ask_witnesses;
pub use witnesses::handle_witness_request;
