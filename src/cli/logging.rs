//! Starts the log.

use flexi_logger::FlexiLoggerError;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;

use super::json_line_writer::JsonLineWriter;
use crate::conf::LogFormat;
use crate::conf::Settings;

/// What is logged at a level. The libraries' own state changes are of no use to operators.
///
/// # Errors
/// When the level cannot be read.
pub fn log_spec(level: &str) -> Result<LogSpecification, FlexiLoggerError> {
    LogSpecification::parse(format!(
        "{level}, h2=warn, hyper=warn, tonic=warn, salvo=warn, opentelemetry=warn"
    ))
}

/// Starts logging: structured lines on standard output, or lines for people on standard error.
/// The level may be changed by the returned handle.
///
/// # Errors
/// When the level cannot be read or another logger is in place.
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
