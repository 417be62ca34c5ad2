//! The entry points of the daemon and the gateway, from command line to exit code.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use flexi_logger::LoggerHandle;
use log::error;
use log::info;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::DaemonArgs;
use super::log_spec;
use super::start_logging;
use crate::app::Daemon;
use crate::app::Gateway;
use crate::conf::DEFAULTS;
use crate::conf::Settings;
use crate::conf::load_settings;
use crate::errors::CodedError;
use crate::gateway::Dialect;
use crate::store::EventStore;

/// Exit code for missing or invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// Interval of checks whether the settings file has changed, for changes without a SIGHUP.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// A running instance that can be shut down gracefully.
trait StoppableInstance {
    /// Shuts down; returns once no request is in flight.
    fn stop(self) -> impl Future<Output = ()>;
}

impl StoppableInstance for Daemon {
    async fn stop(self) {
        Self::stop(self).await;
    }
}

impl StoppableInstance for Gateway {
    async fn stop(self) {
        Self::stop(self).await;
    }
}

/// The settings and the logger of the instance to start.
struct Startup {
    settings: Settings,
    path: PathBuf,
    logger: LoggerHandle,
}

fn report_settings_faults(faults: &[CodedError]) -> ExitCode {
    for fault in faults {
        eprintln!("{fault}");
    }
    ExitCode::from(EXIT_SETTINGS)
}

fn report_startup_error(what: &str, err: impl std::fmt::Display) -> ExitCode {
    eprintln!("{what}: {err}");
    ExitCode::FAILURE
}

/// Reads command line and settings and starts logging. Without `--settings`, the environment
/// variable `variable` names the settings file. Returns an exit code as the error if the process
/// should end here, after a failure or for `--check` and `--print-defaults`.
fn load_startup(variable: Option<&str>) -> Result<Startup, ExitCode> {
    let args = DaemonArgs::parse();
    if args.print_defaults {
        print!("{DEFAULTS}");
        return Err(ExitCode::SUCCESS);
    }
    let from_variable = || variable.and_then(std::env::var_os).map(PathBuf::from);
    let Some(path) = args.settings.or_else(from_variable) else {
        eprintln!("--settings FILE is missing");
        return Err(ExitCode::from(EXIT_SETTINGS));
    };
    let settings = load_settings(&path).map_err(|faults| report_settings_faults(&faults))?;
    if args.check {
        println!("{}: settings are valid", path.display());
        return Err(ExitCode::SUCCESS);
    }
    let logger = start_logging(&settings).map_err(|err| report_startup_error("log", err))?;
    Ok(Startup { settings, path, logger })
}

/// Runs a daemon until a signal stops it.
#[must_use]
pub fn run_daemon() -> ExitCode {
    let startup = match load_startup(None) {
        Ok(startup) => startup,
        Err(code) => return code,
    };
    match Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(async {
            let daemon = Daemon::spawn(startup.settings).await;
            serve(daemon, &startup.path, &startup.logger).await
        }),
        Err(err) => report_startup_error("runtime", err),
    }
}

/// Runs a gateway until a signal stops it. The environment variable `variable` names the settings
/// file; `open_store` opens the platform's store.
///
/// It runs on a single thread, since an instance has only a fraction of a core.
#[must_use]
pub fn run_gateway<D: Dialect, S: EventStore>(
    dialect: D,
    variable: &str,
    open_store: impl FnOnce(std::net::SocketAddr, Duration) -> S,
) -> ExitCode {
    let startup = match load_startup(Some(variable)) {
        Ok(startup) => startup,
        Err(code) => return code,
    };
    let Some(gateway) = &startup.settings.gateway else {
        return report_startup_error("gateway", "the section is missing in the settings");
    };
    let store = open_store(gateway.store, Duration::from_millis(gateway.store_call_timeout_ms));
    match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(async {
            let gateway = Gateway::spawn(startup.settings, dialect, store).await;
            serve(gateway, &startup.path, &startup.logger).await
        }),
        Err(err) => report_startup_error("runtime", err),
    }
}

async fn serve(
    spawned: Result<impl StoppableInstance, CodedError>,
    path: &Path,
    logger: &LoggerHandle,
) -> ExitCode {
    let instance = match spawned {
        Ok(instance) => instance,
        Err(err) => {
            error!("{err}");
            return ExitCode::FAILURE;
        }
    };
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    );
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = signals else {
        error!("signal handlers could not be installed");
        return ExitCode::FAILURE;
    };
    let mut modified = modified_at(path);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(path, logger),
            () = tokio::time::sleep(RELOAD_INTERVAL) => {
                let now = modified_at(path);
                if now != modified {
                    modified = now;
                    reload(path, logger);
                }
            }
        }
    }
    // The handlers stay installed, so that a second signal is ignored and cuts off no requests.
    instance.stop().await;
    info!(event = "stopped"; "stopped");
    ExitCode::SUCCESS
}

fn modified_at(path: &Path) -> Option<std::time::SystemTime> {
    std::fs::metadata(path).and_then(|meta| meta.modified()).ok()
}

/// Applies the only setting that can change while running, the log level. The others need a
/// restart: peers and callers rely on what the instance advertised at its start.
fn reload(path: &Path, logger: &LoggerHandle) {
    match load_settings(path) {
        Ok(settings) => match log_spec(&settings.log.level) {
            Ok(spec) => {
                logger.set_new_spec(spec);
                info!(
                    event = "settings-reloaded", level = settings.log.level.as_str();
                    "other settings than the log level need a restart"
                );
            }
            Err(err) => error!("log level not changed: {err}"),
        },
        Err(faults) => faults.iter().for_each(|fault| error!("settings not reloaded: {fault}")),
    }
}
