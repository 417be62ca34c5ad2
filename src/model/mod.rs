//! What operators declare and platforms list: services, backend servers and their load, kinds of
//! request.

mod backend_server;
mod check;
mod heard;
mod load_report;
mod request_kind;
mod server_row;
mod service;
mod versioned;

pub use backend_server::BackendServer;
pub use check::BACKEND_SERVERS_MAX;
pub use check::check_service;
pub use heard::Heard;
pub use load_report::LoadReport;
pub use request_kind::RequestKind;
pub use server_row::ServerRow;
pub use server_row::ServerState;
pub use service::Preference;
pub use service::Service;
pub use versioned::EARLIER_CHANGES_MAX;
pub use versioned::Versioned;
