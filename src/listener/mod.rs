//! HTTP listeners with graceful shutdown.

mod guarded_body;
mod http_listener;
mod timed_stream;

pub use guarded_body::GuardedBody;
pub use http_listener::CallerAddress;
pub use http_listener::ConnLimits;
pub use http_listener::Handler;
pub use http_listener::HttpListener;
