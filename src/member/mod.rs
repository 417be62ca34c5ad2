//! Membership between instances: who is there, who is suspected, who left.

mod joiner;
mod row;
mod swim;
mod table;

pub use joiner::run_joiner;
pub use row::MemberRow;
pub use row::MemberState;
pub use swim::announce;
pub use swim::answer_ping;
pub use swim::run_swim;
pub use table::MemberTable;
