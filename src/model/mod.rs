//! What operators declare: services, their backend servers and kinds of request.

mod backend_server;
mod check;
mod request_kind;
mod service;
mod versioned;

pub use backend_server::BackendServer;
pub use check::BACKEND_SERVERS_MAX;
pub use check::check_service;
pub use request_kind::RequestKind;
pub use service::Preference;
pub use service::Service;
pub use versioned::EARLIER_CHANGES_MAX;
pub use versioned::Versioned;
