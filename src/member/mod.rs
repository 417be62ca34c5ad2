//! Membership between instances: who is there, who is suspected, who left.

mod comparison;
mod digest;
mod joiner;
mod ring;
mod row;
mod swim;
mod table;

pub use comparison::answer_compare;
pub use comparison::answer_exchange;
pub use comparison::compare;
pub use digest::MembersDigest;
pub use joiner::run_joiner;
pub use row::MemberRow;
pub use row::MemberState;
pub use swim::announce;
pub use swim::answer_ping;
pub use swim::run_swim;
pub use table::MemberChange;
pub use table::MemberTable;
