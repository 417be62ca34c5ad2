//! Measuring within the operators' budgets: seats, shares and probes.

mod grants;
mod prober;
mod purse;
mod roster;
mod seat;

pub use grants::grant;
pub use prober::run_prober;
pub use purse::Purse;
pub use purse::tokens_of_seat;
pub use roster::mark_listed;
pub use roster::run_roster;
pub use seat::Seat;
pub use seat::run_seat;
