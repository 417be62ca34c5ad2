//! Reads the structured log lines of instances.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use serde_json::Map;
use serde_json::Value;

use crate::errors::Code;
use crate::errors::CodedError;

/// The file name that stands for standard input.
const STDIN: &str = "-";

/// One line of an instance's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// RFC 3339 in UTC, as logged; its text order is the order of time.
    pub time: String,
    pub instance: String,
    pub event: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. A log collector may put a prefix before the JSON object; its last word is the
    /// instance if the line itself names none.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let (prefix, json) = text.split_at(start);
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let field = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        let from_prefix = || prefix.split_whitespace().next_back().unwrap_or("?").to_owned();
        Some(Self {
            time: field("time")?,
            instance: field("instance").unwrap_or_else(from_prefix),
            event: field("event")?,
            fields,
        })
    }

    /// A field as text; empty if missing.
    #[must_use]
    pub fn text(&self, name: &str) -> String {
        match self.fields.get(name) {
            None | Some(Value::Null) => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
        }
    }

    /// A field as an unsigned integer, if it is one.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Whether a boolean field is true.
    #[must_use]
    pub fn flag(&self, name: &str) -> bool {
        self.fields.get(name).and_then(Value::as_bool).unwrap_or(false)
    }
}

/// Reads all log lines of the files, `-` for standard input, and passes them to `take`. Lines of
/// other programs are skipped. Returns the number of log lines read.
///
/// # Errors
/// `LogUnreadable`, with the file.
pub fn read_log_lines(files: &[PathBuf], mut take: impl FnMut(LogLine)) -> Result<u64, CodedError> {
    let mut read = 0;
    for path in files {
        let lines = if path == Path::new(STDIN) {
            read_from(std::io::stdin().lock(), &mut take)
        } else {
            File::open(path).and_then(|file| read_from(BufReader::new(file), &mut take))
        };
        let unreadable =
            |err| CodedError::new(Code::LogUnreadable, format!("{}: {err}", path.display()));
        read += lines.map_err(unreadable)?;
    }
    Ok(read)
}

fn read_from(mut reader: impl BufRead, on_line: &mut impl FnMut(LogLine)) -> std::io::Result<u64> {
    let mut read = 0;
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes)? > 0 {
        if let Some(line) = LogLine::parse(&String::from_utf8_lossy(&bytes)) {
            read += 1;
            on_line(line);
        }
        bytes.clear();
    }
    Ok(read)
}
