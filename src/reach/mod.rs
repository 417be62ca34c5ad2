//! Whether this instance reaches the backend servers: an instance that lost its network paths to
//! them, while other instances still have theirs, is *isolated*.
//!
//! [`ReachTracker`] collects evidence from sends and health checks. When it is in doubt, the
//! [`ReachMonitor`] checks a few servers over new connections and asks other instances whether they
//! reach them; [`ServerReach`] holds the result for the request path.

mod check_result;
mod reach_answerer;
mod reach_evidence;
mod reach_monitor;
mod reach_tracker;
mod return_hold;
mod server_checker;
mod server_reach;
mod service_verdict;
mod survey;

pub use check_result::CheckResult;
pub use reach_answerer::ReachAnswerer;
pub use reach_evidence::ReachEvidence;
pub use reach_monitor::ReachMonitor;
pub use reach_tracker::ReachTracker;
pub use return_hold::ReturnHold;
pub use server_checker::ServerChecker;
pub use server_reach::ServerReach;
