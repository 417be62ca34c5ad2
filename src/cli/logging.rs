//! Starts the log.

use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;

use super::stdout_lines::StdoutLines;
use crate::conf::LogFormat;
use crate::conf::LogSettings;

/// Starts logging: structured lines on standard output, or lines for people on standard error.
/// The level may be changed by the returned handle.
///
/// # Errors
/// When the level cannot be read or another logger is in place.
pub fn start_logging(settings: &LogSettings) -> Result<LoggerHandle, FlexiLoggerError> {
    // The libraries' own state changes are of no use to operators.
    let spec = format!(
        "{}, h2=warn, hyper=warn, tonic=warn, salvo=warn, opentelemetry=warn",
        settings.level
    );
    let logger = Logger::try_with_str(spec)?;
    let logger = match settings.format {
        LogFormat::Human => logger.format(flexi_logger::detailed_format),
        LogFormat::Json => logger.log_to_writer(Box::new(StdoutLines::default())),
    };
    logger.start()
}
