//! Selection of backend servers, queuing and refusal of requests; no I/O.

mod available_server;
mod concurrency_limit;
mod request_spec;
mod send_outcome;
mod server_exclusion;
mod server_health;
mod server_subset;
mod service_pool;
mod service_queue;
mod service_times;
mod start_limits;
mod tracked_server;

pub use concurrency_limit::ConcurrencyLimit;
pub use request_spec::Refusal;
pub use request_spec::RequestSpec;
pub use request_spec::ServerChoice;
pub use send_outcome::SendOutcome;
pub use server_exclusion::ServerExclusion;
pub use server_health::ServerHealth;
pub use server_subset::SUBSET_MAX;
pub use server_subset::ServerSubset;
pub use service_pool::ServicePool;
pub use service_times::ServiceTimes;
pub use start_limits::StartLimits;
pub use tracked_server::InFlightRequest;
pub use tracked_server::TrackedServer;
pub use tracked_server::server_key;
