//! Shared state of an instance: controllers write it, the request path reads it.

mod blackboard;
mod counters;
mod events;
mod latencies;
mod members_view;
mod stop_deadline;
mod store_era;

pub use blackboard::Blackboard;
pub use blackboard::InFlightGuard;
pub use blackboard::Phase;
pub use blackboard::ServiceMap;
pub use counters::Counter;
pub use counters::Counters;
pub use events::Event;
pub use events::EventKind;
pub use events::EventRing;
pub use latencies::Latencies;
pub use latencies::Latency;
pub use members_view::MembersView;
pub use members_view::compare_rank;
pub use stop_deadline::StopDeadline;
pub use store_era::StoreEra;
