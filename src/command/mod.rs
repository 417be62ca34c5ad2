//! The commands of the operators' tool.

mod changes;
mod declaration;
mod explain;
mod fleet;
mod log_lines;
mod plan;
mod service;
mod tool_client;

pub use changes::Change;
pub use changes::changes_between;
pub use declaration::read_declaration;
pub use declaration::read_directory;
pub use explain::explain;
pub use fleet::status;
pub use fleet::timeline;
pub use plan::apply;
pub use plan::plan;
pub use service::delete;
pub use service::get;
pub use service::list;
pub use service::put_file;
pub use service::set_budget;
pub use service::set_drain;
pub use tool_client::ToolClient;
