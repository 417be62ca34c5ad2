//! Clients of the platform: a key-value store with leases and watches, and its lists of machines.

mod any_store;
mod consul_store;
mod event_store;
mod http_client;
mod memory_store;
mod page_reader;
mod platform;
mod revision;
mod unreadable_entries;
mod uri_escape;

pub use any_store::AnyStore;
pub use consul_store::ConsulStore;
pub use event_store::EraLease;
pub use event_store::EventStore;
pub use event_store::Freshness;
pub use event_store::Item;
pub use event_store::ItemEvent;
pub use event_store::Page;
pub use event_store::REWRITE_TIME_US;
pub use event_store::WatchResult;
pub use http_client::HttpClient;
pub use http_client::HttpReply;
pub use memory_store::MemoryStore;
pub use page_reader::PageReader;
pub use platform::Entry;
pub use platform::Lease;
pub use platform::Listing;
pub use platform::Roster;
pub use platform::RosterEntry;
pub use platform::Store;
pub use platform::StoreError;
pub use revision::Revision;
pub use unreadable_entries::UnreadableEntries;
pub use uri_escape::uri_escape;
