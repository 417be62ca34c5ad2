//! Writes structured log lines to standard output without ever blocking the process.

use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::LevelFilter;
use log::Record;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use parking_lot::Mutex;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;
use serde_json::Map;

/// A write of up to this size (`PIPE_BUF`) to a pipe is atomic, so a line written while the pipe is
/// writable does not block.
const LINE_MAX_BYTES: usize = 4_096;
/// Lines written per second at most. A request logs about three; this is ten times what an instance
/// writes on a busy day, so that lines are dropped only in a log storm.
const LINES_PER_S_MAX: u64 = 1_000;
/// Length of the window of the rate limit.
const SECOND_MS: u64 = 1_000;
/// Numbers are rounded to multiples of 1 / this, to three decimals.
const DECIMAL_SCALE: f64 = 1_000.0;
/// Characters that are kept of each text field if the line would be too long.
const SHORTENED_TEXT_CHARS: usize = 200;

/// Writes each record as one line of JSON, or drops and counts it if the line would block or exceed
/// the rate limit.
#[derive(Debug)]
pub struct JsonLineWriter {
    /// Name of the instance, which every line carries.
    instance: String,
    window: Mutex<RateWindow>,
    /// Lines dropped since the last one that was written.
    dropped: AtomicU64,
}

/// Number of lines in the current one-second window.
#[derive(Debug, Default)]
struct RateWindow {
    started_ms: u64,
    lines: u64,
}

/// Collects the key-value pairs of a record as JSON fields.
struct Fields<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            // More decimals are noise.
            ((number * DECIMAL_SCALE).round() / DECIMAL_SCALE).into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

impl JsonLineWriter {
    /// Creates a writer whose lines carry `instance` as their source.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        Self { instance: instance.into(), window: Mutex::default(), dropped: AtomicU64::new(0) }
    }

    fn may_write(&self) -> bool {
        let now_ms = crate::clock::now_ms();
        let mut window = self.window.lock();
        if now_ms.saturating_sub(window.started_ms) >= SECOND_MS {
            *window = RateWindow { started_ms: now_ms, lines: 0 };
        }
        window.lines += 1;
        window.lines <= LINES_PER_S_MAX && stdout_is_writable()
    }
}

/// Whether a line can be written to standard output without blocking.
fn stdout_is_writable() -> bool {
    let stdout = rustix::stdio::stdout();
    let mut wanted = [PollFd::new(&stdout, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut wanted, Some(&at_once)).is_ok_and(|ready| ready > 0)
        && wanted[0].revents().contains(PollFlags::OUT)
}

fn line(instance: &str, now: &mut DeferredNow, record: &Record<'_>, dropped: u64) -> Vec<u8> {
    let mut fields = Map::new();
    fields.insert("time".into(), now.now().to_rfc3339().into());
    fields.insert("instance".into(), instance.into());
    fields.insert("level".into(), record.level().as_str().into());
    let text = record.args().to_string();
    if !text.is_empty() {
        fields.insert("message".into(), text.into());
    }
    if dropped > 0 {
        fields.insert("lines_dropped_before".into(), dropped.into());
    }
    // A value that cannot be converted stops the visit; the line keeps the fields before it.
    let _ = record.key_values().visit(&mut Fields(&mut fields));
    let mut line = serde_json::to_vec(&fields).unwrap_or_default();
    if line.len() >= LINE_MAX_BYTES {
        truncate_texts(&mut fields);
        line = serde_json::to_vec(&fields).unwrap_or_default();
    }
    line.push(b'\n');
    line
}

/// Truncates long text fields. Truncating the line itself would leave invalid JSON.
fn truncate_texts(fields: &mut Map<String, serde_json::Value>) {
    for value in fields.values_mut() {
        if let serde_json::Value::String(text) = value {
            *text = text.chars().take(SHORTENED_TEXT_CHARS).collect();
        }
    }
}

impl LogWriter for JsonLineWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        if !self.may_write() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let line = line(&self.instance, now, record, dropped);
        let mut stdout = std::io::stdout().lock();
        stdout.write_all(&line)?;
        stdout.flush()
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
}
