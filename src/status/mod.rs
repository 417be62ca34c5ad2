//! Health, readiness and metrics endpoints.

mod metrics;
mod status_listener;

pub use metrics::Metrics;
pub use status_listener::StatusListener;
