//! A daemon process that can be killed, frozen and stopped by signals.

use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use sorrelwick::conf::Settings;

use super::unique_addresses;

/// Index of the user time among the fields of /proc/PID/stat after the command name.
const USER_TICKS_AT: usize = 11;
/// Index of the system time among the same fields.
const SYSTEM_TICKS_AT: usize = 12;
const MS_PER_TICK: u64 = 10;
const KB_PER_PAGE: u64 = 4;

/// CPU time and memory used by a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    pub cpu_ms: u64,
    pub resident_kb: u64,
}

/// A daemon process; killed on drop.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    pub settings: Settings,
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl DaemonProcess {
    /// Starts `program` with these settings on unique addresses; the settings file is written to `dir`.
    ///
    /// # Errors
    /// If the file cannot be written or the program cannot be started.
    pub fn spawn(program: &Path, dir: &Path, mut settings: Settings) -> std::io::Result<Self> {
        let [caller, operator, peer, status] = unique_addresses();
        settings.listen.caller = caller;
        settings.listen.operator = operator;
        settings.listen.peer = peer;
        settings.listen.status = status;
        let file = dir.join(format!("{}.json", settings.instance.name));
        std::fs::write(&file, serde_json::to_vec_pretty(&settings)?)?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self { child, settings })
    }

    /// CPU time and memory used so far; zeros if the process has ended.
    #[must_use]
    pub fn usage(&self) -> ProcessUsage {
        let read = |file: &str| {
            let path = format!("/proc/{}/{file}", self.child.id());
            std::fs::read_to_string(path).unwrap_or_default()
        };
        let stat = read("stat");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
        let statm = read("statm");
        let pages = statm.split_whitespace().nth(1).and_then(|f| f.parse::<u64>().ok());
        ProcessUsage {
            cpu_ms: (ticks(USER_TICKS_AT) + ticks(SYSTEM_TICKS_AT)) * MS_PER_TICK,
            resident_kb: pages.unwrap_or(0) * KB_PER_PAGE,
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").arg(name).arg(id).status();
        debug_assert!(sent.is_ok(), "kill can be run");
    }

    /// Suspends the process (SIGSTOP).
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Resumes a frozen process (SIGCONT).
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Requests a graceful stop (SIGTERM).
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Kills the process (SIGKILL).
    pub fn kill_now(&self) {
        self.signal("-KILL");
    }

    /// The exit code, -1 if a signal ended the process; `None` while it runs.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }
}
