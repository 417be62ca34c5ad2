//! The daemon: its tasks, its answers to peers, and its planned stop.

mod daemon;
mod daemon_peer_service;
mod gateway;
mod gateway_peer_service;
mod graceful_stop;

pub use daemon::Daemon;
pub use gateway::Gateway;
