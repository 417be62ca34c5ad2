//! Health, readiness and metrics for whoever watches the instance.

mod metrics;
mod page;

pub use metrics::Metrics;
pub use page::StatusPage;
