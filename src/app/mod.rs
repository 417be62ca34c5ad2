//! The daemon: its tasks, its answers to peers, and its planned stop.

mod daemon;
mod peer_answers;
mod stop;

pub use daemon::Daemon;
