//! Quotas of workspaces, over all instances together.
//!
//! The tokens of a workspace lie at a few homes, each of which gets its part of the rate; who needs more
//! asks these for some of theirs. Tokens are moved, never made, so the sum over all instances keeps the bound
//! whatever they believe of each other.

mod quota_bound;
mod quota_bucket;
mod quota_share;
mod quotas;

pub use quota_bound::QuotaTolerance;
pub use quota_share::QuotaHome;
pub use quota_share::QuotaPlacement;
pub use quotas::OutOfTokens;
pub use quotas::Quotas;
