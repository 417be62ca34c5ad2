//! Domain types: services and request kinds declared by operators, backend servers listed by a
//! platform, and the load they report.

mod backend_server;
mod check;
mod load_report;
mod report_source;
mod request_kind;
mod server_row;
mod service;
mod versioned_service;

pub use backend_server::BackendServer;
pub use check::BACKEND_SERVERS_MAX;
pub use check::check_service;
pub use check::is_connectable;
pub use check::is_request_path;
pub use load_report::LoadReport;
pub use report_source::ReportSource;
pub use request_kind::RequestKind;
pub use server_row::ServerRow;
pub use server_row::ServerState;
pub use service::Preference;
pub use service::Service;
pub use versioned_service::EARLIER_CHANGES_MAX;
pub use versioned_service::VersionedService;
