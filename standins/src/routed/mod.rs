//! Test environments for the gateway: an in-memory event store with injectable faults, stand-in backend
//! servers, and fleets of instances.

mod cold_phase;
mod crash_rule;
mod gateway_fleet;
mod member_parts;
mod memory_event_store;
mod memory_links;
mod plain_dialect;
mod pool_parts;
mod raw_call;
mod raw_server;
mod relay_fleet;

pub use cold_phase::ColdPhase;
pub use crash_rule::CrashRule;
pub use gateway_fleet::FleetInstance;
pub use gateway_fleet::GatewayFleet;
pub use gateway_fleet::fleet_settings;
pub use gateway_fleet::routes_with_workspaces;
pub use gateway_fleet::two_routes;
pub use member_parts::member_row;
pub use memory_event_store::MemoryEventStore;
pub use memory_event_store::StoreCopy;
pub use memory_event_store::StoreFault;
pub use memory_links::MemoryLinks;
pub use plain_dialect::CONFIG_KEY;
pub use plain_dialect::EVACUATIONS_PREFIX;
pub use plain_dialect::PlainDialect;
pub use pool_parts::ready_row;
pub use pool_parts::spec_now;
pub use raw_call::RawResponse;
pub use raw_call::raw_call;
pub use raw_call::raw_call_from;
pub use raw_server::Behaviour;
pub use raw_server::LARGE_BYTES;
pub use raw_server::RawServer;
pub use raw_server::ReportedLimit;
pub use relay_fleet::FleetSize;
pub use relay_fleet::InstanceFault;
pub use relay_fleet::LastWrite;
pub use relay_fleet::RelayFleet;
pub use relay_fleet::RelayNet;
pub use relay_fleet::RelayPeers;
pub use relay_fleet::peer_address;
pub use relay_fleet::random_faults;
