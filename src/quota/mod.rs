//! Request quotas of workspaces, enforced across all instances.
//!
//! The token bucket of a workspace is split over a few homes (instances that callers are directed
//! to), each refilled at a fraction of the rate. An instance that runs out borrows tokens from
//! these homes, at a steady pace while it is short; they expire unless used in time. Tokens are
//! moved, never created, so the total stays within the bound whatever instances believe
//! of each other.

mod borrowed_tokens;
mod lender_schedule;
mod quota_bucket;
mod quota_placement;
mod quota_tolerance;
mod quotas;
mod recent_rate;

pub use quota_placement::QuotaHome;
pub use quota_placement::QuotaPlacement;
pub use quota_tolerance::QuotaTolerance;
pub use quotas::BorrowRound;
pub use quotas::OutOfTokens;
pub use quotas::Quotas;
pub use quotas::TokenQuestion;
