//! The two kinds of instance, [`Daemon`] and [`Gateway`]: their tasks, peer request handlers and
//! graceful shutdown.

mod daemon;
mod daemon_peer_service;
mod gateway;
mod gateway_peer_service;
mod gateway_tasks;
mod graceful_stop;

pub use daemon::Daemon;
pub use gateway::Gateway;
