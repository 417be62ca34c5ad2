//! Request quotas of workspaces, enforced across all instances.
//!
//! The token bucket of a workspace is split over a few homes (instances that callers are directed
//! to), each refilled at a fraction of the rate. An instance that runs out borrows tokens from
//! these homes. Tokens are moved, never created, so the total stays within the bound whatever
//! instances believe of each other.

mod quota_bucket;
mod quota_placement;
mod quota_tolerance;
mod quotas;

pub use quota_placement::QuotaHome;
pub use quota_placement::QuotaPlacement;
pub use quota_tolerance::QuotaTolerance;
pub use quotas::OutOfTokens;
pub use quotas::Quotas;
