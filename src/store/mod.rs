//! The platform: a key-value store with leases and watches, and the list of instances.

mod any_store;
mod consul_store;
mod memory_store;
mod platform;

pub use any_store::AnyStore;
pub use consul_store::ConsulStore;
pub use memory_store::MemoryStore;
pub use platform::Entry;
pub use platform::Lease;
pub use platform::Listed;
pub use platform::Listing;
pub use platform::Roster;
pub use platform::Store;
pub use platform::StoreError;
