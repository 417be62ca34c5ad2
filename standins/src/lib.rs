//! Small stand-ins for what surrounds sorrelwick: the platform, backend servers and callers.
//!
//! They are there for tests, examples and measurements; nothing of them runs in production.

pub mod backend;
pub mod bed;
pub mod caller;
pub mod load;
pub mod platform;
mod rebind;
pub mod routed;
pub mod trial;
