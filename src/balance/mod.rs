//! Which backend server a request goes to, who waits and who is refused; no I/O.

mod ask;
mod concurrency_limit;
mod near_part;
mod repeat_budget;
mod send_end;
mod server_health;
mod server_track;
mod service_pool;
mod service_queue;
mod service_rooms;
mod service_times;
mod start_bounds;
mod withheld;

pub use ask::Refusal;
pub use ask::RequestSpec;
pub use ask::ServerChoice;
pub use concurrency_limit::ConcurrencyLimit;
pub use near_part::SUBSET_MAX;
pub use near_part::ServerSubset;
pub use repeat_budget::RetryAllowance;
pub use repeat_budget::RetryBudget;
pub use repeat_budget::RetryNeed;
pub use send_end::SendOutcome;
pub use server_health::ServerHealth;
pub use server_track::InFlightRequest;
pub use server_track::TrackedServer;
pub use server_track::server_key;
pub use service_pool::ServicePool;
pub use service_times::ServiceTimes;
pub use start_bounds::StartLimits;
pub use withheld::ServerExclusion;
