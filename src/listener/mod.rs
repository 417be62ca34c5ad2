//! HTTP listeners with graceful shutdown.

mod http_listener;

pub use http_listener::CallerAddress;
pub use http_listener::ConnLimits;
pub use http_listener::Handler;
pub use http_listener::HttpListener;
