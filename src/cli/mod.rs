//! The command lines and entry points of both programs.

mod daemon_args;
mod json_line_writer;
mod logging;
mod run_daemon;
mod run_tool;
mod tool_args;

pub use daemon_args::DaemonArgs;
pub use logging::log_spec;
pub use logging::start_logging;
pub use run_daemon::run_daemon;
pub use run_daemon::run_gateway;
pub use run_tool::run_tool;
pub use tool_args::ServiceCommand;
pub use tool_args::ToolArgs;
pub use tool_args::ToolCommand;
