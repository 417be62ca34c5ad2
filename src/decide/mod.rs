//! Decisions without I/O, as functions of the known state, the time and seeded random numbers.

mod admit;
pub mod baseline;
mod choose_server;
mod hedge;
mod homes;
mod quantile;
mod queue_age;
mod ratio_budget;
mod retry;
mod server_load;
mod slot_pool;

pub use admit::Admission;
pub use admit::QueueView;
pub use admit::decide_admission;
pub use choose_server::choose_server;
pub use hedge::HEDGE_SHARE;
pub use hedge::hedge_delay_us;
pub use homes::HomeCandidate;
pub use homes::assign_keepers;
pub use homes::select_homes;
pub use quantile::Quantile;
pub use queue_age::QueueAge;
pub use ratio_budget::RatioBudget;
pub use retry::RETRY_SHARE;
pub use retry::RetryView;
pub use retry::may_retry;
pub use server_load::AttemptOutcome;
pub use server_load::ServerLoad;
pub use server_load::ServerScope;
pub use slot_pool::SlotPool;
