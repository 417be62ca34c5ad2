//! The daemon's life from command line to exit code.

use std::path::Path;
use std::process::ExitCode;

use clap::Parser;
use flexi_logger::LoggerHandle;
use log::error;
use log::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::DaemonArgs;
use super::start_logging;
use crate::app::Daemon;
use crate::conf::DEFAULTS;
use crate::conf::Settings;
use crate::conf::load_settings;
use crate::errors::Coded;

/// Exit code for settings that are refused.
const EXIT_SETTINGS: u8 = 2;

fn tell(faults: &[Coded]) -> ExitCode {
    for fault in faults {
        eprintln!("{fault}");
    }
    ExitCode::from(EXIT_SETTINGS)
}

/// Runs the daemon until it is stopped by a signal.
#[must_use]
pub fn run_daemon() -> ExitCode {
    let args = DaemonArgs::parse();
    if args.print_defaults {
        print!("{DEFAULTS}");
        return ExitCode::SUCCESS;
    }
    let Some(path) = args.settings else {
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match load_settings(&path) {
        Ok(settings) => settings,
        Err(faults) => return tell(&faults),
    };
    if args.check {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    let logger = match start_logging(&settings.log) {
        Ok(logger) => logger,
        Err(err) => {
            eprintln!("log: {err}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("runtime: {err}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(serve(settings, &path, logger))
}

async fn serve(settings: Settings, path: &Path, logger: LoggerHandle) -> ExitCode {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    );
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = signals else {
        error!("signal handlers cannot be set");
        return ExitCode::FAILURE;
    };
    let daemon = match Daemon::spawn(settings).await {
        Ok(daemon) => daemon,
        Err(err) => {
            error!("{err}");
            return ExitCode::FAILURE;
        }
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(path, &logger),
        }
    }
    // Further signals are received and ignored: a second one must not cut off requests.
    daemon.stop().await;
    info!("stopped");
    ExitCode::SUCCESS
}

/// Takes over what can change while running: the log level. Everything else needs a restart,
/// since peers and callers hold what was told at the start.
fn reload(path: &Path, logger: &LoggerHandle) {
    match load_settings(path) {
        Ok(settings) => match logger.parse_new_spec(&settings.log.level) {
            Ok(()) => info!("log level is {}; other settings need a restart", settings.log.level),
            Err(err) => error!("log level: {err}"),
        },
        Err(faults) => faults.iter().for_each(|fault| error!("settings not taken over: {fault}")),
    }
}
