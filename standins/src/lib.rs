//! Stand-ins for the systems around sorrelwick: the platform, backend servers and callers.
//!
//! Only for tests, examples and measurements; none of this code runs in production.

pub mod backend;
pub mod bed;
pub mod caller;
pub mod load;
pub mod panics;
pub mod platform;
mod rebind;
pub mod routed;
pub mod trial;
