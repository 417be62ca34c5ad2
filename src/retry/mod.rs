//! Allocation of the retry budget: which requests get the retries that it allows, and which
//! callers have come back after a refusal; no I/O.

mod decayed_count;
mod expiring_count;
mod lender_turn;
mod refused_requests;
mod rejected_sends;
mod request_hash;
mod retry_budget;
mod retry_demand;
mod retry_loans;
mod retry_rank;

pub use lender_turn::LenderTurn;
pub use refused_requests::EarlierAttempt;
pub use refused_requests::RefusedRequests;
pub use request_hash::RequestHash;
pub use retry_budget::DenialReason;
pub use retry_budget::RetryAllowance;
pub use retry_budget::RetryBudget;
pub use retry_budget::RetryDenial;
pub use retry_budget::RetryUsage;
pub use retry_loans::RetryLoans;
pub use retry_rank::RetryClass;
pub use retry_rank::RetryRank;
