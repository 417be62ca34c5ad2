//! Health, readiness and metrics for whoever watches the instance.

mod metrics;
mod status_listener;

pub use metrics::Metrics;
pub use status_listener::StatusListener;
