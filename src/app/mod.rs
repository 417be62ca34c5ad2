//! The daemon: its tasks, its answers to peers, and its planned stop.

mod daemon;
mod gateway;
mod gateway_peers;
mod peer_answers;
mod stop;

pub use daemon::Daemon;
pub use gateway::Gateway;
