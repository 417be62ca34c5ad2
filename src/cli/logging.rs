//! Sets up logging.

use flexi_logger::FlexiLoggerError;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;

use super::json_line_writer::JsonLineWriter;
use crate::conf::LogFormat;
use crate::conf::Settings;

/// The log specification for a level. Libraries log only warnings and errors: their state changes
/// are of no use to operators.
///
/// # Errors
/// If the level is invalid.
pub fn log_spec(level: &str) -> Result<LogSpecification, FlexiLoggerError> {
    LogSpecification::parse(format!(
        "{level}, h2=warn, hyper=warn, tonic=warn, salvo=warn, opentelemetry=warn"
    ))
}

/// Starts logging: JSON lines on standard output, or human-readable lines on standard error.
/// The returned handle can change the level.
///
/// # Errors
/// If the level is invalid or another logger is already set.
pub fn start_logging(settings: &Settings) -> Result<LoggerHandle, FlexiLoggerError> {
    let logger = Logger::with(log_spec(&settings.log.level)?);
    let logger = match settings.log.format {
        LogFormat::Human => logger.format(flexi_logger::detailed_format),
        LogFormat::Json => {
            logger.log_to_writer(Box::new(JsonLineWriter::new(&settings.instance.name)))
        }
    };
    logger.start()
}
