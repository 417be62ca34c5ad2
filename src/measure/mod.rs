//! Probes of backend servers, within the measuring budget of each service. The budgets are divided
//! among the instances by shards.

mod grants;
mod prober;
mod roster;
mod server_checker;
mod shard;
mod shard_witnesses;
mod token_buckets;

pub use grants::grant_tokens;
pub use prober::run_prober;
pub use roster::apply_platform_list;
pub use roster::run_roster;
pub use server_checker::DaemonServerChecker;
pub use shard::Shard;
pub use shard::run_shard;
pub use shard_witnesses::ShardWitnesses;
pub use token_buckets::TokenBuckets;
pub use token_buckets::tokens_of_shard;
